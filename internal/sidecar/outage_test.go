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

// outage is a way in which discovery can be out of reach, and back.
type outage struct {
	begin, end func(dir *scriptedDiscovery)
	queueDelay time.Duration // that calls wait for once it is back, where lists are asked for
}

func (s *scriptedDiscovery) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

var outages = map[string]outage{
	"silent once": {
		func(dir *scriptedDiscovery) { dir.silenceOpenCalls() },
		func(*scriptedDiscovery) {},
		0,
	},
	"silent once, overbooked": {
		func(dir *scriptedDiscovery) { dir.silenceOpenCalls() },
		func(dir *scriptedDiscovery) {},
		2 * time.Second,
	},
	"reset once": {
		func(dir *scriptedDiscovery) { dir.resetConnections() },
		func(*scriptedDiscovery) {},
		0,
	},
	"refused": {func(dir *scriptedDiscovery) { dir.set(func() { dir.down = true }); dir.resetConnections() },
		func(dir *scriptedDiscovery) { dir.set(func() { dir.down = false }) }, 0},
	"refused, overbooked": {
		func(dir *scriptedDiscovery) { dir.set(func() { dir.down = true }); dir.resetConnections() },
		func(dir *scriptedDiscovery) { dir.set(func() { dir.down = false }) },
		2 * time.Second,
	},
	"refused late": {func(dir *scriptedDiscovery) {
		dir.set(func() { dir.down, dir.queueDelay = true, time.Second })
		dir.resetConnections()
	},
		func(dir *scriptedDiscovery) { dir.set(func() { dir.down, dir.queueDelay = false, 0 }) }, 0},
	"hanging": {
		func(dir *scriptedDiscovery) { dir.setResponsive(false); dir.resetConnections() },
		func(dir *scriptedDiscovery) { dir.setResponsive(true) },
		0,
	},
	"hanging, overbooked": {func(dir *scriptedDiscovery) { dir.setResponsive(false); dir.resetConnections() },
		func(dir *scriptedDiscovery) { dir.setResponsive(true) }, 2 * time.Second},
}

// After any outage, a change applies at the latest 6 s after discovery has it and can be reached, of which the tests
// do without the first second.
func TestChangesApplyInTimeAfterAnOutage(t *testing.T) {
	const within = 6 * time.Second
	settings := map[string]func(map[string]any){}
	for name, alter := range deployments {
		settings[name] = alter
	}
	for name, us := range map[string]int{"1 s": 1_000_000, "60 s": 60_000_000} {
		settings["asked, ask-within "+name] = func(s map[string]any) {
			s["contract"].(map[string]any)["ask-within"] = us
		}
	}
	for what, o := range outages {
		for name, alter := range settings {
			t.Run(what+", "+name, func(t *testing.T) {
				for seed := range uint64(12) {
					synctest.Test(t, func(t *testing.T) {
						dir, dial := newScriptedDiscovery(t)
						l := startWatching(t, dial, alter, seed)
						dir.awaitOpenCall()
						time.Sleep(time.Duration(seed) * 170 * time.Millisecond)
						o.begin(dir)
						// How long it is out of reach falls into every part of a call and a pause.
						time.Sleep(time.Duration(seed%6) * (6*time.Second + 510*time.Millisecond))
						if l.cfg.Settings.SubscribeToDiscovery {
							dir.set(func() { dir.queueDelay = o.queueDelay })
						}
						dir.drainEndpoint()
						o.end(dir)
						reached := time.Now()
						for !unreachable(l, "s-1") {
							if took := time.Since(reached); took > within {
								t.Fatalf(
									"seed %d: a change is not heard of %v after discovery could be reached",
									seed,
									took,
								)
							}
							time.Sleep(20 * time.Millisecond)
						}
					})
				}
			})
		}
	}
}

// While discovery is out of reach, the calls of a fleet that lost it at once stay spread, and few enough for it to
// answer all that wait when it is back.
func TestDiscoveryCallsOfAFleetStaySpread(t *testing.T) {
	const sidecars, span = 350, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		dir, dial := newScriptedDiscovery(t)
		for seed := range uint64(sidecars) {
			startWatching(t, dial, deployments["asked, grace 2 s"], seed)
		}
		time.Sleep(5 * time.Second)
		dir.set(func() { dir.down = true })
		dir.resetConnections()
		time.Sleep(10 * time.Second)
		dir.set(func() { dir.calls = nil })
		time.Sleep(span)
		dir.mu.Lock()
		defer dir.mu.Unlock()
		slots := map[int64]int{}
		for _, c := range dir.calls {
			slots[c.at.UnixMilli()/100]++
		}
		busiest := 0
		for _, n := range slots {
			busiest = max(busiest, n)
		}
		mean := float64(len(dir.calls)) / span.Seconds() / sidecars
		if mean > 0.75 || float64(busiest) > 3*mean*sidecars/10 {
			t.Errorf("%.2f calls a second of each sidecar, up to %d of all within 0.1 s", mean, busiest)
		}
		if len(dir.calls) == 0 {
			t.Error("no calls at all")
		}
	})
}

// A new process is ready at once if it knows a list, whatever discovery does, and if it knows none, soon after
// discovery can be reached. Endpoints that have drained since then get nothing.
func TestReadyInTime(t *testing.T) {
	const within = 10 * time.Second
	for what, c := range map[string]struct {
		known bool
		begin func(dir *scriptedDiscovery)
		after time.Duration // discovery is back
		want  time.Duration // ready by then, from the start or from that
	}{
		"an old list, discovery hangs":           {true, func(dir *scriptedDiscovery) { dir.setResponsive(false) }, 30 * time.Second, 0},
		"an old list, discovery refuses":         {true, func(dir *scriptedDiscovery) { dir.set(func() { dir.down = true }) }, 30 * time.Second, 0},
		"no list":                                {false, func(*scriptedDiscovery) {}, 0, within},
		"no list, discovery overbooked":          {false, func(dir *scriptedDiscovery) { dir.set(func() { dir.queueDelay = 2500 * time.Millisecond }) }, 0, within},
		"no list, discovery hangs for a while":   {false, func(dir *scriptedDiscovery) { dir.setResponsive(false) }, 3 * time.Second, within},
		"no list, discovery refuses for a while": {false, func(dir *scriptedDiscovery) { dir.set(func() { dir.down = true }) }, 3 * time.Second, within},
		"no list, discovery hangs for long":      {false, func(dir *scriptedDiscovery) { dir.setResponsive(false) }, 20 * time.Second, 20*time.Second + 6*time.Second},
		"no list, discovery refuses for long":    {false, func(dir *scriptedDiscovery) { dir.set(func() { dir.down = true }) }, 20 * time.Second, 26 * time.Second},
	} {
		for name, alter := range deployments {
			t.Run(what+", "+name, func(t *testing.T) {
				for seed := range uint64(8) {
					synctest.Test(t, func(t *testing.T) {
						dir, dial := newScriptedDiscovery(t)
						c.begin(dir)
						if strings.HasPrefix(name, "pushed") {
							dir.queueDelay = 0 // an agent has its list at hand
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
								dir.set(func() { dir.down = false })
							}
						})
						synctest.Wait()
						for !l.endpointsKnown.Load() {
							if took := time.Since(began); took > c.want {
								t.Fatalf("seed %d: not ready %v after the start", seed, took)
							}
							time.Sleep(50 * time.Millisecond)
						}
						if !c.known {
							return
						}
						// Ready from an old list: what has drained since is heard of as soon as can be.
						dir.drainEndpoint()
						time.Sleep(time.Until(began.Add(c.after + 6*time.Second)))
						if !unreachable(l, "s-1") {
							t.Errorf("seed %d: sends go to what drained before discovery was back", seed)
						}
					})
				}
			})
		}
	}
}
