//go:build go1.25

package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
)

// The tests in this file run on the fake clock of testing/synctest, with in-process pipes in place of sockets.

// After the sidecar is notified of a drain, it may send requests to the endpoint only for the drain grace, which is the
// setting drain-grace. A watch is silent if discovery does not answer its open call. The drain grace then begins
// without an answer, as if the sidecar had been notified of the change at the later of two times: silenceLimit after
// the silence began, and waitEndLimit after the end of the wait that the open call had asked for.
const (
	silenceLimit    = 6 * time.Second       // time from the beginning of the silence to the notification
	waitEndLimit    = 2 * time.Second       // time from the end of the open call's wait to the notification
	timingTolerance = 50 * time.Millisecond // time by which a limit may be exceeded; the same as in tests with sockets
)

// startWithScriptedDiscovery starts a loop that knows the endpoint s-1 and watches a scripted discovery service. It
// returns both.
func startWithScriptedDiscovery(t *testing.T, alter func(settings map[string]any)) (*loop, *scriptedDiscovery) {
	t.Helper()
	service, dial := newScriptedDiscovery(t)
	return startWatching(t, dial, alter), service
}

// startWatching starts a loop that knows the endpoint s-1 as ready and dials discovery with the function dial. seed, if
// given, replaces the seed of the configuration; of several values, the last one is used.
func startWatching(t *testing.T, dial dialFunc, alter func(settings map[string]any), seed ...uint64) *loop {
	t.Helper()
	return startWatchingWith(t, dial, func(cfg *config.Config) {
		for _, last := range seed {
			cfg.Seed = last
		}
	}, alter)
}

// startWatchingWith is like startWatching, but calls change, which may change any part of the configuration.
func startWatchingWith(
	t *testing.T,
	dial dialFunc,
	change func(*config.Config),
	alter func(settings map[string]any),
) *loop {
	t.Helper()
	cfg := newConfig(t, "127.0.0.1:1", alter, ready("s-1", "127.0.0.1:1"))
	cfg.KnownEndpoints.Version, cfg.DiscoveryDial = 1, dial
	change(cfg)
	ctx, stop := context.WithCancel(context.Background())
	l, err := newLoop(ctx, cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go l.run()
	t.Cleanup(func() {
		stop()
		l.watcher.client.HTTP.CloseIdleConnections()
		synctest.Wait()
	})
	return l
}

// hasNoTarget reports whether the endpoint of this name has no target. If so, an attempt that the balancer decides on
// now is not sent to the endpoint.
func hasNoTarget(l *loop, name string) bool {
	got := make(chan bool)
	l.events.post(func(int64) {
		id := l.endpoints.idByName[name]
		got <- id == 0 || l.endpoints.byID[id].target == nil
	})
	return <-got
}

// discoveryVariants are changes of the settings, by name. They differ in the mode of discovery (the sidecar subscribes,
// or lists are pushed to an agent on the machine) and in the drain grace.
var discoveryVariants = map[string]func(map[string]any){
	"subscribed, grace 2 s":   func(s map[string]any) { contractWithPollInterval10s(s)["drain-grace"] = 2_000_000 },
	"subscribed, grace 0.5 s": func(s map[string]any) { contractWithPollInterval10s(s)["drain-grace"] = 500_000 },
	"pushed, grace 0.5 s": func(s map[string]any) {
		s["discovery"] = "automatic"
		contractWithPollInterval10s(s)["drain-grace"] = 500_000
	},
}

// contractWithPollInterval10s sets ask-within in the contract of the settings to 10 s, and returns the contract.
func contractWithPollInterval10s(s map[string]any) map[string]any {
	c := s["contract"].(map[string]any)
	c["ask-within"] = 10_000_000
	return c
}

// requireDrained waits until the drain grace and timingTolerance have passed since notified, which is the time when the
// sidecar is regarded as notified of the drain of s-1. It fails the test if the endpoint s-1 still has a target then.
func requireDrained(t *testing.T, l *loop, notified time.Time) {
	t.Helper()
	grace := time.Duration(l.cfg.Settings.Contract.DrainGrace) * time.Microsecond
	time.Sleep(time.Until(notified.Add(grace + timingTolerance)))
	if !hasNoTarget(l, "s-1") {
		t.Errorf("s-1 has a target %v after the sidecar counts as notified of its drain, want none", time.Since(notified))
	}
}

// An open watch falls silent, then an endpoint begins to drain and keeps running. The sidecar must not wait for the
// silent call, because nothing may be sent to the endpoint once the drain grace has passed since the notification.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	for name, alter := range discoveryVariants {
		for _, silentAfter := range []time.Duration{0, 3 * time.Second, 11 * time.Second} { // time since the watch began
			t.Run(name+", silent after "+silentAfter.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l, service := startWithScriptedDiscovery(t, alter)
					service.awaitOpenCall()
					time.Sleep(silentAfter)
					service.awaitOpenCall() // the sleep may have ended between two calls, when none is open
					silenced, openCall := time.Now(), service.silenceOpenCalls()
					if !openCall.silenced {
						t.Fatalf("got call %+v, want an open one", openCall)
					}
					service.drainEndpoint()
					if hasNoTarget(l, "s-1") {
						t.Fatal("s-1 has no target before its drain has arrived, want one")
					}
					limits := []time.Time{silenced.Add(silenceLimit), openCall.at.Add(openCall.wait + waitEndLimit)}
					requireDrained(t, l, slices.MaxFunc(limits, time.Time.Compare))
				})
			})
		}
	}
}

// An idle sidecar makes one call after another. Each call waits as long as possible, but not so long that a change
// would apply too late if the call fell silent. Jitter in the waits keeps the calls of several sidecars apart. The list
// is never older than ask-within.
func TestIdleWatchCallsRarely(t *testing.T) {
	for name, alter := range discoveryVariants {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, service := startWithScriptedDiscovery(t, alter)
				maxAge := time.Duration(l.cfg.Settings.Contract.PollInterval) * time.Microsecond
				time.Sleep(20 * maxAge)
				waits := map[time.Duration]bool{}
				service.mu.Lock()
				calls := slices.Clone(service.calls)
				service.mu.Unlock()
				for _, c := range calls[1:] {
					if waits[c.wait] = true; c.wait < 1500*time.Millisecond || c.wait > 2*time.Second ||
						c.wait+discovery.WatchGrace > maxAge {
						t.Errorf("got a call that waits %v, want 1.5 s to 2 s and a list that is at most %v old",
							c.wait, maxAge)
					}
				}
				if n := len(calls); n < 100 || n > 120 || len(waits) < 50 {
					t.Errorf("got %d calls with %d different waits in %v, want 100 to 120 with at least 50",
						n, len(waits), 20*maxAge)
				}
			})
		})
	}
}

// With pushed lists, the sidecar is regarded as notified of a change as soon as the agent has the change, whether or
// not a watch is open. A drain applies within the drain grace even if the watch was reset or the process is new.
func TestPushedDrainsApplyWithoutAWatch(t *testing.T) {
	for name, grace := range map[string]int{"grace 2 s": 2_000_000, "grace 0.5 s": 500_000} {
		pushed := func(s map[string]any) {
			s["discovery"], contractWithPollInterval10s(s)["drain-grace"] = "automatic", grace
		}
		run := func(event string, f func(t *testing.T)) {
			t.Run(event+", "+name, func(t *testing.T) { synctest.Test(t, f) })
		}
		run("reset", func(t *testing.T) {
			l, service := startWithScriptedDiscovery(t, pushed)
			service.awaitOpenCall()
			service.resetConnections()
			service.drainEndpoint()
			requireDrained(t, l, time.Now())
		})
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 3700 * time.Millisecond} {
			run("new process, agent recovers after "+after.String(), func(t *testing.T) {
				service, dial := newScriptedDiscovery(t)
				service.setResponsive(false)
				l := startWatching(t, dial, pushed)
				time.Sleep(after)
				synctest.Wait()
				service.setResponsive(true)
				service.drainEndpoint()
				requireDrained(t, l, time.Now())
			})
		}
		run("new process", func(t *testing.T) {
			service, dial := newScriptedDiscovery(t)
			service.drainEndpoint()
			requireDrained(t, startWatching(t, dial, pushed), time.Now())
		})
	}
}

// A reload may move discovery to another address. Four seconds after SIGHUP, the sidecar is regarded as notified of
// any change that the new discovery service has, even if the first call to that service is never answered and later
// calls are queued.
func TestReloadedDiscoveryIsWatchedInTime(t *testing.T) {
	for name, alter := range discoveryVariants {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				oldService, dialOld := newScriptedDiscovery(t)
				newService, dialNew := newScriptedDiscovery(t)
				newService.drainEndpoint()
				newService.setResponsive(false)
				l := startWatching(t, func(ctx context.Context, network, address string) (net.Conn, error) {
					if address == "127.0.0.1:2" {
						return dialNew(ctx, network, address)
					}
					return dialOld(ctx, network, address)
				}, alter)
				if l.cfg.Settings.SubscribeToDiscovery {
					newService.queueDelay = 500 * time.Millisecond
				}
				oldService.awaitOpenCall()
				signaled := time.Now()
				moved := *l.cfg
				moved.DiscoveryAddress = "127.0.0.1:2"
				l.events.post(func(int64) { l.reload(&moved) })
				synctest.Wait()
				newService.mu.Lock()
				calls := len(newService.calls)
				newService.mu.Unlock()
				if calls != 1 {
					t.Fatalf("got %d immediate calls to the new address, want 1", calls)
				}
				time.Sleep(10 * time.Millisecond)
				newService.setResponsive(true)
				requireDrained(t, l, signaled.Add(4*time.Second))
			})
		})
	}
}

// The sidecar is regarded as notified of a drain when discovery sends the list that contains the drain, even if the
// list is malformed. The sidecar must therefore repeat the call so soon that the drain still applies within the drain
// grace.
func TestMalformedListIsRequestedAgainInTime(t *testing.T) {
	for fault, text := range map[string]string{
		"truncated": `{"seq":2,"whole":true,"hosts":[{"host":"s-1","hea`,
		"not JSON":  "<html>",
		"no list":   `{}`,
		"no array":  `{"seq":2,"whole":true,"hosts":{"s-1":"Terminating"}}`,
		"unusable":  `{"seq":2,"whole":true,"hosts":[{"host":"s-1","health":"Leaving"}]}`,
		"older":     `{"seq":0,"whole":true,"hosts":[]}`,
		"too large": `{"seq":2,"whole":true,"hosts":[],"` + strings.Repeat("x", discovery.MaxListBytes) + `":1}`,
	} {
		for name, alter := range discoveryVariants {
			t.Run(fault+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l, service := startWithScriptedDiscovery(t, alter)
					service.awaitOpenCall()
					service.replyToOpenCall(text)
					service.drainEndpoint() // ends the wait of the open call, which is answered with the malformed list
					requireMalformedListIsRepeated(t, l, service)
				})
			})
		}
	}
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("first call, seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service, dial := newScriptedDiscovery(t)
				service.malformedReplies = []string{`{"seq":2`}
				service.drainEndpoint()
				l := startWatching(t, dial, discoveryVariants["subscribed, grace 0.5 s"], seed)
				requireMalformedListIsRepeated(t, l, service)
			})
		})
	}
}

// requireMalformedListIsRepeated waits until discovery has sent the malformed list. It fails the test if the list was
// applied, if the drain of s-1 does not apply in time, or if no malformed list is counted.
func requireMalformedListIsRepeated(t *testing.T, l *loop, service *scriptedDiscovery) {
	t.Helper()
	for service.pendingReplies() > 0 {
		time.Sleep(time.Millisecond)
	}
	notified := time.Now()
	synctest.Wait()
	if hasNoTarget(l, "s-1") {
		t.Fatal("s-1 has no target: the malformed list was applied")
	}
	requireDrained(t, l, notified)
	l.events.post(func(int64) {
		if l.watcher.callCounts.malformed == 0 {
			t.Errorf("got call counts %+v, want a malformed answer among them", l.watcher.callCounts)
		}
	})
	synctest.Wait()
}

// A list with a lower version does not undo a drain of a newer list, and the call that returned it is counted as
// failed. If discovery has restarted its version numbers, its lists are accepted after a while, and earlier drains
// persist.
func TestOlderListsDoNotUndoDrains(t *testing.T) {
	const olderList = `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"s-1","dial":"127.0.0.1:1","health":"Ready"},{"host":"s-2","dial":"127.0.0.1:1","health":"Ready"}]}`
	for name, alter := range discoveryVariants {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, service := startWithScriptedDiscovery(t, alter)
				service.awaitOpenCall()
				service.drainEndpoint()
				time.Sleep(time.Second)
				if !hasNoTarget(l, "s-1") {
					t.Fatal("s-1 still has a target 1 s after its drain")
				}
				restarted := time.Now()
				service.mu.Lock()
				service.list.Version = 0
				if err := json.Unmarshal([]byte(olderList), &service.list); err != nil {
					t.Error(err)
				}
				service.mu.Unlock()
				service.resetConnections()
				for time.Since(restarted) < 30*time.Second { // an older list is accepted after 4 times ask-within, 40 s
					time.Sleep(50 * time.Millisecond)
					if !hasNoTarget(l, "s-1") || !hasNoTarget(l, "s-2") {
						t.Fatalf("an older list was applied after %v", time.Since(restarted))
					}
				}
				for hasNoTarget(l, "s-2") && time.Since(restarted) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				if hasNoTarget(l, "s-2") || !hasNoTarget(l, "s-1") {
					t.Errorf("%v after the version restart: got s-2 with target: %v, s-1 without: %v, want both true",
						time.Since(restarted), !hasNoTarget(l, "s-2"), hasNoTarget(l, "s-1"))
				}
			})
		})
	}
}
