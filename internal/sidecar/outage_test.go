//go:build go1.25

package sidecar

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
)

// outage is a way in which discovery becomes unreachable and recovers.
type outage struct {
	begin, end func(dir *scriptedDiscovery)
	queueDelay time.Duration // of calls after the recovery, where the sidecar subscribes
}

// set runs change under the lock.
func (s *scriptedDiscovery) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// setDown sets whether new calls are answered 503.
func (s *scriptedDiscovery) setDown(down bool) {
	s.set(func() { s.down = down })
}

// Ways in which an outage begins and ends.
var (
	silenceOnce = func(dir *scriptedDiscovery) { dir.silenceOpenCalls() }
	resetOnce   = func(dir *scriptedDiscovery) { dir.resetConnections() }
	nothing     = func(*scriptedDiscovery) {}

	beginRefusing = func(dir *scriptedDiscovery) { dir.setDown(true); dir.resetConnections() }
	endRefusing   = func(dir *scriptedDiscovery) { dir.setDown(false) }

	beginRefusingLate = func(dir *scriptedDiscovery) {
		dir.set(func() { dir.down, dir.queueDelay = true, time.Second })
		dir.resetConnections()
	}
	endRefusingLate = func(dir *scriptedDiscovery) {
		dir.set(func() { dir.down, dir.queueDelay = false, 0 })
	}

	beginHanging = func(dir *scriptedDiscovery) { dir.setResponsive(false); dir.resetConnections() }
	endHanging   = func(dir *scriptedDiscovery) { dir.setResponsive(true) }
)

var outages = map[string]outage{
	"silent once":             {silenceOnce, nothing, 0},
	"silent once, overloaded": {silenceOnce, nothing, 2 * time.Second},
	"reset once":              {resetOnce, nothing, 0},
	"refused":                 {beginRefusing, endRefusing, 0},
	"refused, overloaded":     {beginRefusing, endRefusing, 2 * time.Second},
	"refused late":            {beginRefusingLate, endRefusingLate, 0},
	"hanging":                 {beginHanging, endHanging, 0},
	"hanging, overloaded":     {beginHanging, endHanging, 2 * time.Second},
}

// After any outage, a change applies within 6 s of the time from which discovery has it and can be reached.
func TestChangesApplyInTimeAfterAnOutage(t *testing.T) {
	const within = 6 * time.Second
	settings := map[string]func(map[string]any){}
	for name, alter := range deployments {
		settings[name] = alter
	}
	for name, us := range map[string]int{"1 s": 1_000_000, "60 s": 60_000_000} {
		settings["subscribed, ask-within "+name] = func(s map[string]any) {
			s["contract"].(map[string]any)["ask-within"] = us
		}
	}
	for outageName, o := range outages {
		for name, alter := range settings {
			t.Run(outageName+", "+name, func(t *testing.T) {
				for seed := range uint64(12) {
					synctest.Test(t, func(t *testing.T) {
						dir, dial := newScriptedDiscovery(t)
						l := startWatching(t, dial, alter, seed)
						dir.awaitOpenCall()
						time.Sleep(time.Duration(seed) * 170 * time.Millisecond)
						o.begin(dir)
						// With the seeds, the outage ends in every phase of a call and of a backoff.
						time.Sleep(time.Duration(seed%6) * (6*time.Second + 510*time.Millisecond))
						if l.cfg.Settings.SubscribeToDiscovery {
							dir.set(func() { dir.queueDelay = o.queueDelay })
						}
						dir.drainEndpoint()
						o.end(dir)
						recovered := time.Now()
						for !unreachable(l, "s-1") {
							if took := time.Since(recovered); took > within {
								t.Fatalf("seed %d: got no change %v after recovery, want it within %v", seed, took, within)
							}
							time.Sleep(20 * time.Millisecond)
						}
					})
				}
			})
		}
	}
}

// While discovery is down, the calls of a fleet that lost it simultaneously stay spread, and few enough for discovery
// to answer all pending ones when it recovers.
func TestDiscoveryCallsOfAFleetStaySpread(t *testing.T) {
	const sidecars, span = 350, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		dir, dial := newScriptedDiscovery(t)
		for seed := range uint64(sidecars) {
			startWatching(t, dial, deployments["subscribed, grace 2 s"], seed)
		}
		time.Sleep(5 * time.Second)
		beginRefusing(dir)
		time.Sleep(10 * time.Second)
		dir.set(func() { dir.calls = nil })
		time.Sleep(span)
		dir.mu.Lock()
		defer dir.mu.Unlock()
		callsPerSlot := map[int64]int{} // in slots of 0.1 s
		for _, c := range dir.calls {
			callsPerSlot[c.at.UnixMilli()/100]++
		}
		busiest := 0
		for _, n := range callsPerSlot {
			busiest = max(busiest, n)
		}
		mean := float64(len(dir.calls)) / span.Seconds() / sidecars
		if mean > 0.75 || float64(busiest) > 3*mean*sidecars/10 {
			t.Errorf("got %.2f calls/s of each sidecar, want up to 0.75, and %d of all within 0.1 s, want up to %.0f",
				mean, busiest, 3*mean*sidecars/10)
		}
		if len(dir.calls) == 0 {
			t.Error("got no calls, want some")
		}
	})
}

// A new process with a known list is ready at once, whatever the state of discovery. One without is ready soon after
// discovery can be reached. Endpoints that have drained since the known list get nothing.
func TestReadyInTime(t *testing.T) {
	const within = 10 * time.Second
	hang := func(dir *scriptedDiscovery) { dir.setResponsive(false) }
	refuse := func(dir *scriptedDiscovery) { dir.setDown(true) }
	overload := func(dir *scriptedDiscovery) { dir.set(func() { dir.queueDelay = 2500 * time.Millisecond }) }
	for outageName, c := range map[string]struct {
		known bool // whether the process knows a list
		begin func(dir *scriptedDiscovery)
		after time.Duration // from the start to the recovery of discovery
		want  time.Duration // limit from the start to readiness
	}{
		"known list, discovery hangs":         {true, hang, 30 * time.Second, 0},
		"known list, discovery refuses":       {true, refuse, 30 * time.Second, 0},
		"no list":                             {false, nothing, 0, within},
		"no list, discovery overloaded":       {false, overload, 0, within},
		"no list, discovery hangs for 3 s":    {false, hang, 3 * time.Second, within},
		"no list, discovery refuses for 3 s":  {false, refuse, 3 * time.Second, within},
		"no list, discovery hangs for 20 s":   {false, hang, 20 * time.Second, 26 * time.Second},
		"no list, discovery refuses for 20 s": {false, refuse, 20 * time.Second, 26 * time.Second},
	} {
		for name, alter := range deployments {
			t.Run(outageName+", "+name, func(t *testing.T) {
				for seed := range uint64(8) {
					synctest.Test(t, func(t *testing.T) {
						dir, dial := newScriptedDiscovery(t)
						c.begin(dir)
						if strings.HasPrefix(name, "pushed") {
							dir.queueDelay = 0 // an agent does not queue calls
						}
						began := time.Now()
						l := startWatchingWith(t, dial, func(cfg *config.Config) {
							if cfg.Seed = seed; !c.known {
								cfg.KnownEndpoints = discovery.List{}
							}
						}, alter)
						time.AfterFunc(c.after, func() {
							if c.after > 0 {
								dir.setResponsive(true)
								dir.setDown(false)
							}
						})
						synctest.Wait()
						for !l.hasReadyEndpoint.Load() {
							if took := time.Since(began); took > c.want {
								t.Fatalf("seed %d: not ready %v after the start, want %v", seed, took, c.want)
							}
							time.Sleep(50 * time.Millisecond)
						}
						if !c.known {
							return
						}
						// Drains since the known list apply once discovery has recovered.
						dir.drainEndpoint()
						time.Sleep(time.Until(began.Add(c.after + 6*time.Second)))
						if !unreachable(l, "s-1") {
							t.Errorf("seed %d: the endpoint that drained during the outage is still a target", seed)
						}
					})
				}
			})
		}
	}
}
