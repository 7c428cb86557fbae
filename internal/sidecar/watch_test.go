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

// The tests in this file run on a fake clock, with pipes in place of sockets.

// A change counts as notified at the later of two limits after the watch fell silent.
const (
	silentLimit = 6 * time.Second       // from the silence
	waitedLimit = 2 * time.Second       // from the end of the wait of the call
	slack       = 50 * time.Millisecond // added to each limit, as on sockets
)

// startScripted starts a loop that knows one endpoint and watches a scripted discovery.
func startScripted(t *testing.T, alter func(settings map[string]any)) (*loop, *scriptedDiscovery) {
	t.Helper()
	dir, dial := newScriptedDiscovery(t)
	return startWatching(t, dial, alter), dir
}

// startWatching starts a loop that knows the endpoint as ready. It uses the last seed that is given, if any.
func startWatching(t *testing.T, dial dialFunc, alter func(settings map[string]any), seed ...uint64) *loop {
	t.Helper()
	return startWatchingWith(t, dial, func(cfg *config.Config) {
		for _, last := range seed {
			cfg.Seed = last
		}
	}, alter)
}

// startWatchingWith is startWatching with a configuration that change may change.
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

// unreachable reports whether an endpoint has no target, so that an attempt that is decided now is not sent.
func unreachable(l *loop, name string) bool {
	got := make(chan bool)
	l.events.post(func(int64) {
		id := l.endpoints.idByName[name]
		got <- id == 0 || l.endpoints.byID[id].target == nil
	})
	return <-got
}

// deployments are settings that differ in discovery and in the grace for drains.
var deployments = map[string]func(map[string]any){
	"subscribed, grace 2 s":   func(s map[string]any) { contract(s)["drain-grace"] = 2_000_000 },
	"subscribed, grace 0.5 s": func(s map[string]any) { contract(s)["drain-grace"] = 500_000 },
	"pushed, grace 0.5 s": func(s map[string]any) {
		s["discovery"] = "automatic"
		contract(s)["drain-grace"] = 500_000
	},
}

// contract returns the contract of the settings, with ask-within at 10 s.
func contract(s map[string]any) map[string]any {
	c := s["contract"].(map[string]any)
	c["ask-within"] = 10_000_000
	return c
}

// requireDrained fails the test if the endpoint is still a target at the end of the grace for a change that counts as
// notified at the given time.
func requireDrained(t *testing.T, l *loop, notified time.Time) {
	t.Helper()
	grace := time.Duration(l.cfg.Settings.Contract.DrainGrace) * time.Microsecond
	time.Sleep(time.Until(notified.Add(grace + slack)))
	if !unreachable(l, "s-1") {
		t.Errorf("the endpoint is a target %v after its drain counts as notified, want none", time.Since(notified))
	}
}

// An open watch falls silent, then an endpoint begins to drain and keeps running. Nothing is sent there once the change
// counts as notified and the grace is over.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	for name, alter := range deployments {
		for _, after := range []time.Duration{0, 3 * time.Second, 11 * time.Second} { // of the watch
			t.Run(name+", silent after "+after.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l, dir := startScripted(t, alter)
					dir.awaitOpenCall()
					time.Sleep(after)
					dir.awaitOpenCall() // after a sleep there may be no open call that could fall silent
					silenced, open := time.Now(), dir.silenceOpenCalls()
					if !open.silenced {
						t.Fatalf("got call %+v, want an open one", open)
					}
					dir.drainEndpoint()
					if unreachable(l, "s-1") {
						t.Fatal("the endpoint is no target before the change arrived, want one")
					}
					limits := []time.Time{silenced.Add(silentLimit), open.at.Add(open.wait + waitedLimit)}
					requireDrained(t, l, slices.MaxFunc(limits, time.Time.Compare))
				})
			})
		}
	}
}

// An idle sidecar makes one call after another. Each waits as long as lets a change apply in time after a silence, with
// jitter against other sidecars. Its list is never older than ask-within.
func TestIdleWatchCallsRarely(t *testing.T) {
	for name, alter := range deployments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, dir := startScripted(t, alter)
				maxAge := time.Duration(l.cfg.Settings.Contract.PollInterval) * time.Microsecond
				time.Sleep(20 * maxAge)
				waits := map[time.Duration]bool{}
				dir.mu.Lock()
				calls := slices.Clone(dir.calls)
				dir.mu.Unlock()
				for _, c := range calls[1:] {
					if waits[c.wait] = true; c.wait < 1500*time.Millisecond || c.wait > 2*time.Second ||
						c.wait+discovery.WatchGrace > maxAge {
						t.Errorf("got a call that waits %v, want 1.5 s to 2 s, with lists up to %v old", c.wait, maxAge)
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

// With pushed lists, a change that the agent has counts as notified, whether or not a watch is open.
func TestPushedDrainsApplyWithoutAWatch(t *testing.T) {
	for name, grace := range map[string]int{"grace 2 s": 2_000_000, "grace 0.5 s": 500_000} {
		pushed := func(s map[string]any) { s["discovery"], contract(s)["drain-grace"] = "automatic", grace }
		run := func(event string, f func(t *testing.T)) {
			t.Run(event+", "+name, func(t *testing.T) { synctest.Test(t, f) })
		}
		run("reset", func(t *testing.T) {
			l, dir := startScripted(t, pushed)
			dir.awaitOpenCall()
			dir.resetConnections()
			dir.drainEndpoint()
			requireDrained(t, l, time.Now())
		})
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 3700 * time.Millisecond} {
			run("new process, agent recovers after "+after.String(), func(t *testing.T) {
				dir, dial := newScriptedDiscovery(t)
				dir.setResponsive(false)
				l := startWatching(t, dial, pushed)
				time.Sleep(after)
				synctest.Wait()
				dir.setResponsive(true)
				dir.drainEndpoint()
				requireDrained(t, l, time.Now())
			})
		}
		run("new process", func(t *testing.T) {
			dir, dial := newScriptedDiscovery(t)
			dir.drainEndpoint()
			requireDrained(t, startWatching(t, dial, pushed), time.Now())
		})
	}
}

// A change that the new discovery has counts as notified 4 s after SIGHUP, also if the first call to it is never
// answered and other calls are queued there.
func TestReloadedDiscoveryIsWatchedInTime(t *testing.T) {
	for name, alter := range deployments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dir, dial := newScriptedDiscovery(t)
				next, dialNext := newScriptedDiscovery(t)
				next.drainEndpoint()
				next.setResponsive(false)
				l := startWatching(t, func(ctx context.Context, network, address string) (net.Conn, error) {
					if address == "127.0.0.1:2" {
						return dialNext(ctx, network, address)
					}
					return dial(ctx, network, address)
				}, alter)
				if l.cfg.Settings.SubscribeToDiscovery {
					next.queueDelay = 500 * time.Millisecond
				}
				dir.awaitOpenCall()
				signaled := time.Now()
				moved := *l.cfg
				moved.DiscoveryAddress = "127.0.0.1:2"
				l.events.post(func(int64) { l.reload(&moved) })
				synctest.Wait()
				next.mu.Lock()
				calls := len(next.calls)
				next.mu.Unlock()
				if calls != 1 {
					t.Fatalf("got %d immediate calls to the new address, want 1", calls)
				}
				time.Sleep(10 * time.Millisecond)
				next.setResponsive(true)
				requireDrained(t, l, signaled.Add(4*time.Second))
			})
		})
	}
}

// A drain in a malformed list counts as notified when the list is sent, although the list cannot be read: the call is
// repeated within the grace.
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
		for name, alter := range deployments {
			t.Run(fault+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l, dir := startScripted(t, alter)
					dir.awaitOpenCall()
					dir.replyToOpenCall(text)
					dir.drainEndpoint() // answers the open call with the malformed list
					requireMalformedListIsRepeated(t, l, dir)
				})
			})
		}
	}
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("first call, seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dir, dial := newScriptedDiscovery(t)
				dir.malformedReplies = []string{`{"seq":2`}
				dir.drainEndpoint()
				l := startWatching(t, dial, deployments["subscribed, grace 0.5 s"], seed)
				requireMalformedListIsRepeated(t, l, dir)
			})
		})
	}
}

// requireMalformedListIsRepeated waits until the malformed list is sent. It fails the test if the list was usable, if
// its drain does not apply in time, or if no malformed list is counted.
func requireMalformedListIsRepeated(t *testing.T, l *loop, dir *scriptedDiscovery) {
	t.Helper()
	for dir.pendingReplies() > 0 {
		time.Sleep(time.Millisecond)
	}
	notified := time.Now()
	synctest.Wait()
	if unreachable(l, "s-1") {
		t.Fatal("the endpoint is no target: the malformed list was used")
	}
	requireDrained(t, l, notified)
	l.events.post(func(int64) {
		if l.watcher.callCounts.malformed == 0 {
			t.Errorf("got calls %+v, want a malformed one", l.watcher.callCounts)
		}
	})
	synctest.Wait()
}

// An older list does not undo a drain of a newer one, and counts as a failed call. A discovery that restarts its
// version numbers is accepted after a while; earlier drains persist.
func TestOlderListsDoNotUndoDrains(t *testing.T) {
	const older = `{"seq":1,"whole":true,"hosts":[` +
		`{"host":"s-1","dial":"127.0.0.1:1","health":"Ready"},{"host":"s-2","dial":"127.0.0.1:1","health":"Ready"}]}`
	for name, alter := range deployments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, dir := startScripted(t, alter)
				dir.awaitOpenCall()
				dir.drainEndpoint()
				time.Sleep(time.Second)
				if !unreachable(l, "s-1") {
					t.Fatal("the drain did not arrive")
				}
				reset := time.Now()
				dir.mu.Lock()
				dir.list.Version = 0
				if err := json.Unmarshal([]byte(older), &dir.list); err != nil {
					t.Error(err)
				}
				dir.mu.Unlock()
				dir.resetConnections()
				for time.Since(reset) < 30*time.Second { // less than four times ask-within
					time.Sleep(50 * time.Millisecond)
					if !unreachable(l, "s-1") || !unreachable(l, "s-2") {
						t.Fatalf("an older list was applied after %v", time.Since(reset))
					}
				}
				for unreachable(l, "s-2") && time.Since(reset) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				if unreachable(l, "s-2") || !unreachable(l, "s-1") {
					t.Errorf("%v after the version numbers restarted: got new endpoint used %v, drained one unused %v, want both",
						time.Since(reset), !unreachable(l, "s-2"), unreachable(l, "s-1"))
				}
			})
		})
	}
}
