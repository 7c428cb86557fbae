package balancer

import (
	"fmt"
	"math"
	"testing"
)

// slowStartBudget is how many requests of mean work a cold endpoint bears where it may get n: with what is put down to chance.
func slowStartBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// worstWindow returns the most that a cold endpoint got of its budget, over all windows, and where that was.
func (f *fleet) worstWindow(budget func(n float64) float64) (worst float64, where string) {
	c := f.settings.Contract
	for id, at := range f.received {
		first := 0
		for i, now := range at {
			for at[first] <= now-c.OverloadWindow {
				first++
			}
			warmth := f.warmupFraction(id, at[first])
			if warmth == 1 {
				continue
			}
			n := c.OverloadFactor * warmth * float64(c.OverloadWindow) / f.work
			got := float64(i - first + 1)
			if part := got / budget(n); part > worst {
				worst, where = part, fmt.Sprintf("endpoint %d got %.0f by %.2f s, N is %.1f", id, got, float64(now)/1e6, n)
			}
		}
	}
	return worst, where
}

// restartEndpoints has the first n endpoints start anew, all at once.
func (f *fleet) restartEndpoints(n int) {
	for i := range n {
		f.list[i].StartTime = f.now
	}
	for _, m := range f.members {
		m.b.HandleEndpoints(f.now, ListDelta, f.list[:n])
	}
}

// restartBalancers has every balancer begin anew, with nothing but the list.
func (f *fleet) restartBalancers(t *testing.T, seed uint64) {
	t.Helper()
	for i := range f.members {
		fresh := &member{f: f, attempts: map[uint64]int{}}
		var err error
		if fresh.b, err = New(f.settings, seed+uint64(i), fresh); err != nil {
			t.Fatal(err)
		}
		fresh.b.Start(f.now)
		fresh.b.HandleEndpoints(f.now, ListCached, f.list)
		fresh.b.HandleEndpoints(f.now, ListFull, f.list)
		f.members[i] = fresh
	}
}

// The budget of a cold endpoint binds in the smallest fleets, too: where one process sends all, where most or all
// endpoints are cold, under a burst, and where the processes start with the endpoints and know nothing.
func TestSmallFleetsKeepTheSlowStartBudget(t *testing.T) {
	const warmUp, end = 4 * second, 12 * second
	for _, work := range []float64{25_000, 150_000} {
		for _, balancers := range []int{1, 2, 5, 24} {
			for _, endpoints := range []int{2, 5, 12} {
				for _, cold := range []int{1, endpoints / 2, endpoints - 1, endpoints} {
					for _, load := range []float64{0.5, 1, 2.5} {
						for _, anew := range []bool{false, true} {
							name := fmt.Sprintf("%d processes (anew %v), %d of %d endpoints cold, load %.1f, work %.0f ms", balancers, anew, cold,
								endpoints, load, work/1000)
							t.Run(name, func(t *testing.T) {
								t.Parallel()
								s := slowStartSettings(work)
								list := uniformList(endpoints)
								f := newFleet(t, s, balancers, work, list)
								f.traffic(load*float64(endpoints)*float64(second)/work, end)
								f.run(warmUp)
								f.restartEndpoints(cold)
								if anew {
									f.restartBalancers(t, 100)
								}
								f.run(end)
								worst, where := f.worstWindow(slowStartBudget)
								if worst > 1 {
									t.Errorf("%.2f of the budget: %s", worst, where)
								}
								t.Logf("%.2f of the budget at most: %s", worst, where)
							})
						}
					}
				}
			}
		}
	}
}
