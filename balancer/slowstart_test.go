package balancer

import (
	"fmt"
	"math"
	"testing"
)

// slowStartBudget is how many requests of mean work a warming endpoint bears that may get n: with what is put down to
// chance.
func slowStartBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// worstWindow returns the largest share of its budget that a warming endpoint got, over all windows, and where that
// was.
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

// restartEndpoints restarts the first n endpoints, all at once.
func (f *fleet) restartEndpoints(n int) {
	for i := range n {
		f.list[i].StartTime = f.now
	}
	for _, m := range f.members {
		m.b.HandleEndpoints(f.now, ListDelta, f.list[:n])
	}
}

// restartBalancers restarts every balancer, with nothing but the endpoint list.
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

// The budget of a warming endpoint holds in the smallest fleets, too: if one balancer sends all requests, if most or
// all endpoints are warming up, under a burst, and if the balancers start with the endpoints and know nothing.
func TestSmallFleetsKeepTheSlowStartBudget(t *testing.T) {
	const warmUp, end = 4 * second, 12 * second
	for _, work := range []float64{25_000, 150_000} {
		for _, balancers := range []int{1, 2, 5, 24} {
			for _, endpoints := range []int{2, 5, 12} {
				for _, cold := range []int{1, endpoints / 2, endpoints - 1, endpoints} {
					for _, load := range []float64{0.5, 1, 2.5} {
						for _, anew := range []bool{false, true} {
							name := fmt.Sprintf("%d processes (anew %v), %d of %d endpoints warming, load %.1f, work %.0f ms", balancers, anew, cold,
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

// A quiet balancer takes minutes to earn the tokens of one request to a warming endpoint: all must not start from
// nothing.
func TestQuietBalancersTogetherServeWarmingEndpoints(t *testing.T) {
	allowed, all := 0, 200
	for seed := range all {
		b, err := New(testSettings(), uint64(seed), &recorder{})
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.HandleEndpoints(0, ListCached, ready(10))
		for i := range Micros(10) {
			b.slowStart.sentWorkRate.add(i*second, 80_000) // one request a second
		}
		b.HandleEndpoints(10*second, ListDelta, []Endpoint{{ID: 11, Weight: 1, StartTime: 10 * second}})
		for i := range Micros(6) {
			b.slowStart.sentWorkRate.add((10+i)*second, 80_000)
			b.slowStart.maySend((10+i)*second, b.membership.byID[11], 80_000)
		}
		if b.slowStart.maySend(15*second, b.membership.byID[11], 80_000) {
			allowed++
		}
	}
	// In 5 s a warm endpoint gets half a request of each; this one 0.2 to 0.6 of seven tenths of that.
	if allowed < 5 || allowed > 60 {
		t.Errorf("%d of %d quiet balancers may send to a warming endpoint within 5 s", allowed, all)
	}
}

// Of many balancers with few requests each, none earns a request to each warming endpoint. Together they must still
// send these what they can serve, and to none of them too much.
func TestManyQuietBalancersUseWarmingEndpoints(t *testing.T) {
	const warm, cold, balancers = 20, 20, 80
	counts := map[uint32]int{}
	for seed := range uint64(balancers) {
		s := testSettings()
		s.Balancers = balancers
		r := &recorder{}
		b, err := New(s, seed, r)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.HandleEndpoints(0, ListCached, ready(warm))
		id := uint64(0)
		run := func(from, to Micros) {
			for now := from; now < to; now += second / 10 {
				for _, e := range b.membership.endpoints { // the warm ones are busy
					if float64(id%uint64(warm+cold)) == float64(e.ID%(warm+cold)) {
						b.HandleProbe(now, e.ID, OK, 500, []float32{3 * float32(indicator(e.ID <= warm))})
					}
				}
				id++
				sends := len(r.sends)
				b.HandleRequest(now, testRequest(id, 0, now))
				for _, s := range r.sends[sends:] {
					if from > 0 {
						counts[s.endpoint]++
					}
					b.HandleOutcome(now, Outcome{ID: s.id, Endpoint: s.endpoint, Status: OK,
						Latency: 100_000, Answered: true})
				}
			}
		}
		run(0, 5*second)
		var news []Endpoint
		for i := range uint32(cold) {
			news = append(news, Endpoint{ID: warm + 1 + i, Weight: 1, StartTime: 5 * second})
		}
		b.HandleEndpoints(5*second, ListDelta, news)
		run(5*second, 8*second)
	}
	var all, largest int
	for id, n := range counts {
		if id > warm {
			all += n
			largest = max(largest, n)
		}
	}
	// 800 requests a second, 40 at a warm endpoint; warm-up fraction goes from 0.2 to 0.44 in these 3 s, 0.32 on average.
	fair := 0.32 * 40 * 3
	if got := float64(all) / cold; got < 0.3*fair || got > fair {
		t.Errorf("a warming endpoint got %.1f on average, its warm-up fraction makes %.1f", got, fair)
	}
	if float64(largest) > 2*fair {
		t.Errorf("one warming endpoint got %d, its warm-up fraction makes %.1f", largest, fair)
	}
}

// Warming endpoints that answer as quickly as warm ones get more than their least warm-up fraction allows, once enough
// of them did; slow ones get little more.
func TestWarmingShareFollowsMeasuredLatency(t *testing.T) {
	got := func(answers int, took Micros) float64 {
		s := testSettings()
		s.Balancers = 1
		b, _ := start(t, s, ready(10))
		now := Micros(0)
		serve := func(e *endpoint, took Micros) {
			r := b.ledger.newRequest(now, testRequest(uint64(now)+1, 0, now))
			r.work = 80_000
			a := attempt{endpoint: e, sentAt: now, warming: e.warming, queueingFactor: 1, predictedWithoutTrend: r.work}
			b.estimates.learnServiceTime(now+took, r, &a, latencySample{latency: float64(took)})
			now += 1000
		}
		for _, e := range b.membership.endpoints {
			serve(e, 80_000)
		}
		b.HandleEndpoints(now, ListDelta, []Endpoint{{ID: 11, Weight: 1, StartTime: now}})
		cold := b.membership.byID[11]
		cold.serviceTimeRatio = ewma{1, true}
		for range answers {
			serve(cold, took)
		}
		b.slowStart.tokens, b.slowStart.tokensAt = 0, now
		b.slowStart.sentWorkRate = decayingRate{10_000_000, now}
		b.slowStart.refill(now+second/10, 1)
		return b.slowStart.tokens
	}
	initial := got(0, 0)
	if few := got(2, 80_000); few < initial || few > 1.3*initial {
		t.Errorf("after two quick answers %v, at first %v", few, initial)
	}
	if quick := got(60, 80_000); quick < 1.5*initial || quick > 2.1*initial {
		t.Errorf("quick ones get %v, at first %v", quick, initial)
	}
	if slow := got(60, 400_000); slow > 1.4*initial {
		t.Errorf("slow ones get %v, at first %v", slow, initial)
	}
}

// A warming endpoint that is too busy or too far away to be sent to does not keep requests from the other warming ones.
func TestBusyWarmingEndpointDoesNotBlockOthers(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	b, r := start(t, s, ready(1))
	now := Micros(0)
	b.slowStart.sentWorkRate = decayingRate{10_000_000, now}
	b.HandleEndpoints(now, ListDelta, []Endpoint{{ID: 2, Weight: 1, StartTime: 1}, {ID: 3, Weight: 1, StartTime: 1}})
	got := map[uint32]int{}
	for id := range uint64(200) {
		now += 20_000
		b.slowStart.sentWorkRate = decayingRate{10_000_000, now} // the same throughout: what is rejected must not count
		for e, load := range []float32{40, 40, 0} {
			b.HandleProbe(now, uint32(e+1), OK, 1000, []float32{load})
		}
		sends := len(r.sends)
		b.HandleRequest(now, testRequest(id+1, 0, now))
		for _, s := range r.sends[sends:] {
			got[s.endpoint]++
			o := Outcome{ID: s.id, Endpoint: s.endpoint, Status: OK, Latency: 80_000, Answered: true}
			if s.endpoint != 3 {
				o.Status, o.Latency = Timeout, second
			}
			b.HandleOutcome(now, o)
		}
	}
	if got[3] < 20 {
		t.Errorf("sends by endpoint %v, want many at the third, which is idle", got)
	}
}

// warmingSends counts requests to warming endpoints over the overload window just after their start, beside ten warm
// ones under a steady load.
func warmingSends(t *testing.T, rate int, colds int) (cold []int, warm float64) {
	t.Helper()
	s := testSettings()
	list := ready(10)
	b, r := start(t, s, list)
	id, seen := uint64(0), 0
	counts := map[uint32]int{}
	run := func(from, to Micros) {
		for now := from; now < to; now += second / Micros(rate) {
			for e := range uint32(12) {
				b.HandleProbe(now, e+1, OK, 500, []float32{0})
			}
			id++
			b.HandleRequest(now, testRequest(id, 0, now))
			for ; seen < len(r.sends); seen++ {
				counts[r.sends[seen].endpoint]++
				b.HandleOutcome(now, Outcome{ID: r.sends[seen].id, Endpoint: r.sends[seen].endpoint, Status: OK,
					Latency: 30_000, Answered: true})
			}
		}
	}
	run(0, 5*second)
	clear(counts)
	for i := range colds {
		b.HandleEndpoints(5*second, ListDelta, []Endpoint{{ID: uint32(11 + i), State: Ready, StartTime: 5 * second}})
	}
	run(5*second, 6*second)
	for e, n := range counts {
		if e >= 11 {
			cold = append(cold, n)
		} else {
			warm += float64(n) / 10
		}
	}
	return cold, warm
}

func TestWarmingEndpointGetsItsSlowStartShare(t *testing.T) {
	for _, c := range []struct{ rate, colds int }{{100, 1}, {500, 1}, {500, 2}, {2000, 2}} {
		cold, warm := warmingSends(t, c.rate, c.colds)
		for _, n := range cold {
			// Warmth goes from 0.2 to 0.28 in this second; one request may round up.
			if float64(n) > 0.28*warm+1 {
				t.Errorf("rate %d: a warming endpoint got %d, a warm one %.1f", c.rate, n, warm)
			}
		}
	}
}

func TestSingleEndpointRestarts(t *testing.T) {
	b, r := start(t, testSettings(), ready(1)[:1])
	b.HandleEndpoints(second, ListDelta, []Endpoint{{ID: 1, State: Ready, StartTime: second}})
	for i := range uint64(400) {
		now := second + Micros(i)*10_000
		b.HandleRequest(now, testRequest(i, 0, now))
		if n := len(r.sends); n > 0 && b.ledger.requests[i] != nil {
			b.HandleOutcome(now, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 10_000, Answered: true})
		}
	}
	if n := len(r.sends); n < 20 || n > 250 {
		t.Errorf("%d of 400 sent to the only endpoint, which is warming", n)
	}
}
