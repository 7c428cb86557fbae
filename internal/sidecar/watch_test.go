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

// The tests here run on a fake clock, with pipes in place of sockets.

const (
	silentLimit = 6 * time.Second       // by the protocol, after a watch fell silent,
	waitedLimit = 2 * time.Second       // or after the wait of its call, if that is later
	slack       = 50 * time.Millisecond // that every limit is longer by on sockets
)

// startScripted starts a loop that knows one endpoint and watches a scripted discovery.
func startScripted(t *testing.T, alter func(settings map[string]any)) (*loop, *scriptedDiscovery) {
	t.Helper()
	dir, dial := newScriptedDiscovery(t)
	return startWatching(t, dial, alter), dir
}

// startWatching starts a loop that knows the endpoint as ready, with a seed of its own if one is given.
func startWatching(t *testing.T, dial dialer, alter func(settings map[string]any), seed ...uint64) *loop {
	t.Helper()
	return startWatchingWith(t, dial, func(cfg *config.Config) {
		for _, own := range seed {
			cfg.Seed = own
		}
	}, alter)
}

// startWatchingWith is startWatching with a configuration that the test has changed.
func startWatchingWith(
	t *testing.T,
	dial dialer,
	change func(*config.Config),
	alter func(settings map[string]any),
) *loop {
	t.Helper()
	cfg := configure(t, "127.0.0.1:1", alter, ready("s-1", "127.0.0.1:1"))
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

// unreachable reports whether an attempt that is decided now would not be sent: its endpoint has no target.
func unreachable(l *loop, name string) bool {
	got := make(chan bool)
	l.events.post(func(int64) {
		id := l.endpoints.ids[name]
		got <- id == 0 || l.endpoints.byID[id].target == nil
	})
	return <-got
}

// deployments are the ways in which the settings can word the rule on drains.
var deployments = map[string]func(map[string]any){
	"asked, grace 2 s":    func(s map[string]any) { contract(s)["drain-grace"] = 2_000_000 },
	"asked, grace 0.5 s":  func(s map[string]any) { contract(s)["drain-grace"] = 500_000 },
	"pushed, grace 0.5 s": func(s map[string]any) { s["discovery"] = "automatic"; contract(s)["drain-grace"] = 500_000 },
}

func contract(s map[string]any) map[string]any {
	c := s["contract"].(map[string]any)
	c["ask-within"] = 10_000_000
	return c
}

// requireDrained fails the test if an attempt may still be sent to the endpoint once the grace for a change that
// counts as notified at that time is over.
func requireDrained(t *testing.T, l *loop, notified time.Time) {
	t.Helper()
	grace := time.Duration(l.cfg.Settings.Contract.DrainGrace) * time.Microsecond
	time.Sleep(time.Until(notified.Add(grace + slack)))
	if !unreachable(l, "s-1") {
		t.Errorf("sends still go to the endpoint %v after its drain counts as notified", time.Since(notified))
	}
}

// An open watch falls silent, then an endpoint begins to drain and stays up: nothing is sent there once the change
// counts as notified and the grace is over.
func TestSilentWatchIsReopenedInTime(t *testing.T) {
	for name, alter := range deployments {
		for _, after := range []time.Duration{0, 3 * time.Second, 11 * time.Second} { // of the watch
			t.Run(name+", silent after "+after.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l, dir := startScripted(t, alter)
					dir.awaitOpenCall()
					time.Sleep(after)
					dir.awaitOpenCall() // between two calls there is a pause, in which none could fall silent
					fell, open := time.Now(), dir.silenceOpenCalls()
					if !open.silent {
						t.Fatalf("the watch is not open: %+v", open)
					}
					dir.drainEndpoint()
					if unreachable(l, "s-1") {
						t.Fatal("nothing may go to the endpoint before the change was heard of")
					}
					requireDrained(
						t,
						l,
						slices.MaxFunc(
							[]time.Time{fell.Add(silentLimit), open.at.Add(open.wait + waitedLimit)},
							time.Time.Compare,
						),
					)
				})
			})
		}
	}
}

// An idle sidecar makes one call after the other, each as long as the silence that still lets a change apply in time,
// and out of step with other sidecars. Its list is never older than ask-within.
func TestIdleWatchCallsRarely(t *testing.T) {
	for name, alter := range deployments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, dir := startScripted(t, alter)
				within := time.Duration(l.cfg.Settings.Contract.PollInterval) * time.Microsecond
				time.Sleep(20 * within)
				waits := map[time.Duration]bool{}
				dir.mu.Lock()
				calls := slices.Clone(dir.calls)
				dir.mu.Unlock()
				for _, c := range calls[1:] {
					if waits[c.wait] = true; c.wait < 1500*time.Millisecond || c.wait > 2*time.Second ||
						c.wait+discovery.WatchGrace > within {
						t.Errorf("a call waits %v where a list may be %v old", c.wait, within)
					}
				}
				if n := len(calls); n < 100 || n > 120 || len(waits) < 50 {
					t.Errorf("%d calls with %d different waits in %v", n, len(waits), 20*within)
				}
			})
		})
	}
}

// Where lists are pushed, what the agent has counts as notified, whether or not a watch is open.
func TestPushedDrainsApplyWithoutAWatch(t *testing.T) {
	for name, grace := range map[string]int{"grace 2 s": 2_000_000, "grace 0.5 s": 500_000} {
		pushed := func(s map[string]any) { s["discovery"], contract(s)["drain-grace"] = "automatic", grace }
		bubbles := func(what string, f func(t *testing.T)) {
			t.Run(what+", "+name, func(t *testing.T) { synctest.Test(t, f) })
		}
		bubbles("reset", func(t *testing.T) {
			l, dir := startScripted(t, pushed)
			dir.awaitOpenCall()
			dir.resetConnections()
			dir.drainEndpoint()
			requireDrained(t, l, time.Now())
		})
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 3700 * time.Millisecond} {
			bubbles("new process, agent back after "+after.String(), func(t *testing.T) {
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
		bubbles("new process", func(t *testing.T) {
			dir, dial := newScriptedDiscovery(t)
			dir.drainEndpoint()
			requireDrained(t, startWatching(t, dial, pushed), time.Now())
		})
	}
}

// What the new discovery lists counts as notified 4 s after SIGHUP, also where the first call to it is never answered
// and others are queued there.
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
				signal := time.Now()
				moved := *l.cfg
				moved.DiscoveryAddress = "127.0.0.1:2"
				l.events.post(func(int64) { l.reload(&moved) })
				synctest.Wait()
				next.mu.Lock()
				calls := len(next.calls)
				next.mu.Unlock()
				if calls != 1 {
					t.Fatalf("%d calls to the new address at once, want 1", calls)
				}
				time.Sleep(10 * time.Millisecond)
				next.setResponsive(true)
				requireDrained(t, l, signal.Add(4*time.Second))
			})
		})
	}
}

// A drain that comes in a malformed list counts as notified with it, though nothing says so: the call is repeated in
// time for the grace.
func TestMalformedListIsRequestedAgainInTime(t *testing.T) {
	for what, words := range map[string]string{
		"cut short": `{"seq":2,"whole":true,"hosts":[{"host":"s-1","hea`,
		"not JSON":  "<html>", "no list": `{}`, "another form": `{"seq":2,"whole":true,"hosts":{"s-1":"Terminating"}}`,
		"unusable":  `{"seq":2,"whole":true,"hosts":[{"host":"s-1","health":"Leaving"}]}`,
		"older":     `{"seq":0,"whole":true,"hosts":[]}`,
		"too large": `{"seq":2,"whole":true,"hosts":[],"` + strings.Repeat("x", discovery.MaxListBytes) + `":1}`,
	} {
		for name, alter := range deployments {
			t.Run(what+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l, dir := startScripted(t, alter)
					dir.awaitOpenCall()
					dir.replyToOpenCall(words)
					dir.drainEndpoint() // the open call's answer is the malformed one
					malformedAt(t, l, dir)
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
				malformedAt(t, startWatching(t, dial, deployments["asked, grace 0.5 s"], seed), dir)
			})
		})
	}
}

// malformedAt waits until the malformed list is sent, and for what is to follow.
func malformedAt(t *testing.T, l *loop, dir *scriptedDiscovery) {
	t.Helper()
	for dir.pendingReplies() > 0 {
		time.Sleep(time.Millisecond)
	}
	notified := time.Now()
	synctest.Wait()
	if unreachable(l, "s-1") {
		t.Fatal("the answer could be used")
	}
	requireDrained(t, l, notified)
	l.events.post(func(int64) {
		if l.watcher.calls.malformed == 0 {
			t.Errorf("calls %+v, want a malformed one", l.watcher.calls)
		}
	})
	synctest.Wait()
}

// An older list never undoes a drain of a newer one, and counts as a failed call. A discovery that numbers its
// versions anew is believed after a while, with its drains and those of before.
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
				lost := time.Now()
				dir.mu.Lock()
				dir.list.Version = 0
				if err := json.Unmarshal([]byte(older), &dir.list); err != nil {
					t.Error(err)
				}
				dir.mu.Unlock()
				dir.resetConnections()
				for time.Since(lost) < 30*time.Second { // less than four times ask-within
					time.Sleep(50 * time.Millisecond)
					if !unreachable(l, "s-1") || !unreachable(l, "s-2") {
						t.Fatalf("an older list was followed after %v", time.Since(lost))
					}
				}
				for unreachable(l, "s-2") && time.Since(lost) < time.Minute {
					time.Sleep(50 * time.Millisecond)
				}
				if unreachable(l, "s-2") || !unreachable(l, "s-1") {
					t.Errorf("%v after discovery began anew: what is new is used %v, what drained is not %v",
						time.Since(lost), !unreachable(l, "s-2"), unreachable(l, "s-1"))
				}
			})
		})
	}
}
