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
	begin, end func(service *scriptedDiscovery)
	queueDelay time.Duration // how long discovery queues each call after it has recovered, if the sidecar subscribes
}

// withLock runs change while it holds the lock of s.
func (s *scriptedDiscovery) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// setDown sets whether new calls are answered with status 503.
func (s *scriptedDiscovery) setDown(down bool) {
	s.withLock(func() { s.down = down })
}

// Ways in which an outage begins and ends. silenceOnce leaves the open calls without an answer, and resetOnce resets
// their connections; later calls are answered. While discovery refuses, new calls get status 503. While discovery
// refuses with a delay, new calls get status 503 after 1 s. While discovery hangs, new calls are never answered.
var (
	silenceOnce = func(service *scriptedDiscovery) { service.silenceOpenCalls() }
	resetOnce   = func(service *scriptedDiscovery) { service.resetConnections() }
	doNothing   = func(*scriptedDiscovery) {}

	beginRefusing = func(service *scriptedDiscovery) { service.setDown(true); service.resetConnections() }
	endRefusing   = func(service *scriptedDiscovery) { service.setDown(false) }

	beginDelayedRefusing = func(service *scriptedDiscovery) {
		service.withLock(func() { service.down, service.queueDelay = true, time.Second })
		service.resetConnections()
	}
	endDelayedRefusing = func(service *scriptedDiscovery) {
		service.withLock(func() { service.down, service.queueDelay = false, 0 })
	}

	beginHanging = func(service *scriptedDiscovery) { service.setResponsive(false); service.resetConnections() }
	endHanging   = func(service *scriptedDiscovery) { service.setResponsive(true) }
)

// outages are the outages under test, by name. If the name says overloaded, discovery queues calls after it has
// recovered.
var outages = map[string]outage{
	"silent once":             {silenceOnce, doNothing, 0},
	"silent once, overloaded": {silenceOnce, doNothing, 2 * time.Second},
	"reset once":              {resetOnce, doNothing, 0},
	"refused":                 {beginRefusing, endRefusing, 0},
	"refused, overloaded":     {beginRefusing, endRefusing, 2 * time.Second},
	"refused late":            {beginDelayedRefusing, endDelayedRefusing, 0},
	"hanging":                 {beginHanging, endHanging, 0},
	"hanging, overloaded":     {beginHanging, endHanging, 2 * time.Second},
}

// After an outage of any kind, a change applies within 6 s of the moment at which discovery has the change and can be
// reached again.
func TestChangesApplyInTimeAfterAnOutage(t *testing.T) {
	const maxDelay = 6 * time.Second
	variants := map[string]func(map[string]any){}
	for name, alter := range discoveryVariants {
		variants[name] = alter
	}
	for name, us := range map[string]int{"1 s": 1_000_000, "60 s": 60_000_000} {
		variants["subscribed, ask-within "+name] = func(s map[string]any) {
			s["contract"].(map[string]any)["ask-within"] = us
		}
	}
	for outageName, o := range outages {
		for name, alter := range variants {
			t.Run(outageName+", "+name, func(t *testing.T) {
				for seed := range uint64(12) {
					synctest.Test(t, func(t *testing.T) {
						service, dial := newScriptedDiscovery(t)
						l := startWatching(t, dial, alter, seed)
						service.awaitOpenCall()
						time.Sleep(time.Duration(seed) * 170 * time.Millisecond)
						o.begin(service)
						// The seeds vary the length of the outage, so that it ends in every phase of a call
						// and of a backoff.
						time.Sleep(time.Duration(seed%6) * (6*time.Second + 510*time.Millisecond))
						if l.cfg.Settings.SubscribeToDiscovery {
							service.withLock(func() { service.queueDelay = o.queueDelay })
						}
						service.drainEndpoint()
						o.end(service)
						recovered := time.Now()
						for !hasNoTarget(l, "s-1") {
							if took := time.Since(recovered); took > maxDelay {
								t.Fatalf("seed %d: got no change %v after recovery, want it within %v", seed, took, maxDelay)
							}
							time.Sleep(20 * time.Millisecond)
						}
					})
				}
			})
		}
	}
}

// If all sidecars lose discovery at the same moment, their calls stay spread over time while it is down. The calls are
// so few that discovery can answer all pending ones when it recovers.
func TestDiscoveryCallsOfAFleetStaySpread(t *testing.T) {
	const sidecars, span = 350, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		service, dial := newScriptedDiscovery(t)
		for seed := range uint64(sidecars) {
			startWatching(t, dial, discoveryVariants["subscribed, grace 2 s"], seed)
		}
		time.Sleep(5 * time.Second)
		beginRefusing(service)
		time.Sleep(10 * time.Second)
		service.withLock(func() { service.calls = nil })
		time.Sleep(span)
		service.mu.Lock()
		defer service.mu.Unlock()
		callsPerInterval := map[int64]int{} // number of calls by interval of 0.1 s
		for _, c := range service.calls {
			callsPerInterval[c.at.UnixMilli()/100]++
		}
		maxCalls := 0
		for _, n := range callsPerInterval {
			maxCalls = max(maxCalls, n)
		}
		callRate := float64(len(service.calls)) / span.Seconds() / sidecars
		if callRate > 0.75 || float64(maxCalls) > 3*callRate*sidecars/10 {
			t.Errorf("got %.2f calls/s per sidecar, want at most 0.75, and %d of all sidecars in 0.1 s, want at most %.0f",
				callRate, maxCalls, 3*callRate*sidecars/10)
		}
		if len(service.calls) == 0 {
			t.Error("got no calls, want some")
		}
	})
}

// A new process that has a known list is ready at once, whatever the state of discovery. A process without such a list
// is ready soon after discovery can be reached. Endpoints that have drained since the known list was written get no
// requests once discovery has recovered.
func TestReadyInTime(t *testing.T) {
	const readyLimit = 10 * time.Second
	hang := func(service *scriptedDiscovery) { service.setResponsive(false) }
	refuse := func(service *scriptedDiscovery) { service.setDown(true) }
	overload := func(service *scriptedDiscovery) {
		service.withLock(func() { service.queueDelay = 2500 * time.Millisecond })
	}
	for outageName, c := range map[string]struct {
		knowsList     bool // whether the configuration has a known list
		begin         func(service *scriptedDiscovery)
		recoveryDelay time.Duration // time from the start until discovery recovers; 0 if it can always be reached
		readyWithin   time.Duration // longest time from the start until the process is ready
	}{
		"known list, discovery hangs":         {true, hang, 30 * time.Second, 0},
		"known list, discovery refuses":       {true, refuse, 30 * time.Second, 0},
		"no list":                             {false, doNothing, 0, readyLimit},
		"no list, discovery overloaded":       {false, overload, 0, readyLimit},
		"no list, discovery hangs for 3 s":    {false, hang, 3 * time.Second, readyLimit},
		"no list, discovery refuses for 3 s":  {false, refuse, 3 * time.Second, readyLimit},
		"no list, discovery hangs for 20 s":   {false, hang, 20 * time.Second, 26 * time.Second},
		"no list, discovery refuses for 20 s": {false, refuse, 20 * time.Second, 26 * time.Second},
	} {
		for name, alter := range discoveryVariants {
			t.Run(outageName+", "+name, func(t *testing.T) {
				for seed := range uint64(8) {
					synctest.Test(t, func(t *testing.T) {
						service, dial := newScriptedDiscovery(t)
						c.begin(service)
						if strings.HasPrefix(name, "pushed") {
							service.queueDelay = 0 // pushed lists come from an agent, which does not queue calls
						}
						began := time.Now()
						l := startWatchingWith(t, dial, func(cfg *config.Config) {
							if cfg.Seed = seed; !c.knowsList {
								cfg.KnownEndpoints = discovery.List{}
							}
						}, alter)
						time.AfterFunc(c.recoveryDelay, func() {
							if c.recoveryDelay > 0 {
								service.setResponsive(true)
								service.setDown(false)
							}
						})
						synctest.Wait()
						for !l.hasReadyEndpoint.Load() {
							if took := time.Since(began); took > c.readyWithin {
								t.Fatalf("seed %d: not ready %v after the start, want readiness within %v",
									seed, took, c.readyWithin)
							}
							time.Sleep(50 * time.Millisecond)
						}
						if !c.knowsList {
							return
						}
						// Drains that began after the known list was written apply once discovery has recovered.
						service.drainEndpoint()
						time.Sleep(time.Until(began.Add(c.recoveryDelay + 6*time.Second)))
						if !hasNoTarget(l, "s-1") {
							t.Errorf("seed %d: s-1, which drained during the outage, still has a target", seed)
						}
					})
				}
			})
		}
	}
}
