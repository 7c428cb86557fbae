package sidecar

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/sidecartest"
	"oakproxy/internal/upstream"
)

// count returns how many lists of a kind the balancer was given.
func (s *balancerRecorder) count(kind balancer.ListUpdate) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.lists {
		if k == kind {
			n++
		}
	}
	return n
}

// longWaits makes calls of discovery wait for longer than a test takes: 11 to 15 s.
func longWaits(cfg *config.Config) { cfg.DiscoveryWait = 15 * time.Second }

// The watch resumes from the version known, 0 included: called without one, discovery would send the complete list
// each time and never wait.
func TestWatchResumesFromTheKnownVersion(t *testing.T) {
	e := newServingEndpoint(t)
	w := startWith(t, nil, longWaits, ready("s-1", e.Address))
	w.await("the waiting call", func() bool { return w.discovery.count() == 2 })
	w.discovery.mu.Lock()
	calls := slices.Clone(w.discovery.calls)
	w.discovery.mu.Unlock()
	if calls[0] != "after=0&wait_ms=0" || !regexp.MustCompile(`^after=0&wait_ms=1[1-5]\d{3}$`).MatchString(calls[1]) {
		t.Errorf("calls %q", calls)
	}
	// A change reaches the balancer; the next call asks for what is newer.
	second := newServingEndpoint(t)
	w.discovery.change(func() {
		w.discovery.list = discovery.List{Version: 7, Complete: true, Entries: []discovery.Entry{ready("s-2", second.Address)}}
	})
	w.await("the call after the change", func() bool { return w.discovery.count() == 3 })
	w.await("the change", func() bool { return w.recorder.count(balancer.ListFull) == 1 })
	if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("response %+v", got)
	}
	if n, _ := second.Seen(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	w.discovery.mu.Lock()
	defer w.discovery.mu.Unlock()
	if last := w.discovery.calls[2]; !strings.HasPrefix(last, "after=7&wait_ms=1") {
		t.Errorf("the call after the change: %q", last)
	}
}

// While discovery is down or sends malformed lists, the balancer is notified and the last list serves. When it is
// back, its list replaces the old one.
func TestDiscoveryOutageAndRecovery(t *testing.T) {
	for name, broken := range map[string]string{
		"down": "", "not JSON": "<html>", "wrong type": `{"seq":"x"}`, "unknown state": `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"?"}]}`,
		"cut short": `{"seq":9,"whole":true,"hosts":[`, "no version": `{"whole":true,"hosts":[]}`, "no address": `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"Ready","dial":"x"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, second := newServingEndpoint(t), newServingEndpoint(t)
			w := start(t, nil, ready("s-1", e.Address))
			w.await("the watch", func() bool { return w.discovery.count() >= 2 })
			w.discovery.change(func() { w.discovery.down, w.discovery.malformed = broken == "", broken })
			// The open call fails, and so do those after it.
			w.await("the failure and one more", func() bool { return w.recorder.count(balancer.ListFailed) >= 2 })
			if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("without discovery: %+v", got)
			}
			w.discovery.change(func() {
				w.discovery.down, w.discovery.malformed = false, ""
				w.discovery.list = discovery.List{
					Version:  1,
					Complete: true,
					Entries:  []discovery.Entry{ready("s-2", second.Address)},
				}
			})
			w.await("the new list", func() bool { return w.recorder.count(balancer.ListFull) >= 1 })
			if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("with discovery back: %+v", got)
			}
			if n, _ := second.Seen(); n != 1 {
				t.Errorf("the endpoint of the new list got %d requests, want 1", n)
			}
		})
	}
}

// An unusable entry costs neither the other entries of its list nor the drains in it, and nothing more is sent to an
// endpoint that it names: that may no longer be ready.
func TestUnusableEntryDoesNotInvalidateTheList(t *testing.T) {
	e := newServingEndpoint(t)
	good, drains := entry("s-1", "Ready", e.Address), entry("s-2", "Terminating", e.Address)
	for name, c := range map[string]struct {
		text string
		lost int
		aims string // endpoints that something may go to, of s-1, s-2 and s-3, all ready before
	}{
		"unknown state":      {entry("s-3", "Paused", e.Address), 1, "s-1"},
		"no address":         {entry("s-3", "Ready", "nowhere"), 1, "s-1"},
		"another type":       {`{"host":"s-3","dial":"` + e.Address + `","health":"Ready","born_ms":"noon"}`, 1, "s-1"},
		"beyond its range":   {`{"host":"s-3","dial":"` + e.Address + `","health":"Ready","block":70000}`, 1, "s-1"},
		"no object":          {`"s-3"`, 1, "s-1 s-3"},
		"no name":            {`{"dial":"` + e.Address + `","health":"Ready"}`, 1, "s-1 s-3"},
		"name of wrong type": {`{"host":3,"dial":"` + e.Address + `","health":"Ready"}`, 1, "s-1 s-3"},
		"two of them":        {entry("s-3", "Paused", "") + `,null`, 2, "s-1"},
	} {
		for _, whole := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, whole %v", name, whole), func(t *testing.T) {
				w := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address), ready("s-3", e.Address))
				w.await("the watch", func() bool { return w.discovery.count() >= 2 })
				w.discovery.change(func() {
					w.discovery.list.Version = 9
					w.discovery.malformed = fmt.Sprintf(
						`{"seq":9,"whole":%v,"hosts":[%s,%s,%s]}`,
						whole,
						good,
						c.text,
						drains,
					)
				})
				var aims []string
				var seq uint64
				w.await("the list", func() bool {
					w.runInLoop(func() {
						aims, seq = nil, w.loop.watcher.position.Newest
						for name, id := range w.loop.endpoints.ids {
							if w.loop.endpoints.byID[id].target != nil {
								aims = append(aims, name)
							}
						}
					})
					return seq == 9
				})
				slices.Sort(aims)
				want := c.aims
				if whole { // what a complete list does not name is removed
					want = "s-1"
				}
				if got := strings.Join(aims, " "); got != want {
					t.Errorf("something may go to %q, want %q", got, want)
				}
				var list discovery.List
				if err := json.Unmarshal([]byte(w.discovery.malformed), &list); err != nil || list.Unusable != c.lost ||
					list.FirstError == nil {
					t.Errorf("lost %d (%v, %v), want %d", list.Unusable, list.FirstError, err, c.lost)
				}
			})
		}
	}
}

func entry(name, health, dial string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m1","health":%q,"share":1}`, name, dial, health)
}

// Where lists are pushed the balancer does not subscribe: the sidecar watches its agent by itself, and begins again
// after a failure.
func TestPushedListsAreWatchedWithoutSubscription(t *testing.T) {
	e, second := newServingEndpoint(t), newServingEndpoint(t)
	w := start(t, func(s map[string]any) { s["discovery"] = "automatic" }, ready("s-1", e.Address))
	w.await("the watch", func() bool { return w.discovery.count() >= 2 })
	w.discovery.change(func() { w.discovery.down = true })
	w.await("the failure", func() bool { return w.recorder.count(balancer.ListFailed) >= 1 })
	w.discovery.change(func() {
		w.discovery.down = false
		w.discovery.list = discovery.List{Version: 3, Complete: true, Entries: []discovery.Entry{ready("s-2", second.Address)}}
	})
	w.await("the new list", func() bool { return w.recorder.count(balancer.ListFull) >= 1 })
}

// A sidecar that knows no endpoint is not ready until discovery has listed one.
func TestReadyWithTheFirstEndpointList(t *testing.T) {
	e := newServingEndpoint(t)
	w := &harness{t: t, discovery: newFakeDiscovery(t)}
	w.discovery.down = true
	w.launch(configure(t, w.discovery.address, nil))
	status := func() int {
		response, err := http.Get(w.url + "/health/ready")
		if err != nil {
			return 0
		}
		response.Body.Close()
		return response.StatusCode
	}
	w.await("a first response", func() bool { return status() != 0 })
	if code := status(); code != http.StatusServiceUnavailable {
		t.Errorf("without any list: %d, want 503", code)
	}
	w.discovery.change(func() {
		w.discovery.down = false
		w.discovery.list = discovery.List{Version: 1, Complete: true, Entries: []discovery.Entry{ready("s-1", e.Address)}}
	})
	w.await("ready", func() bool { return status() == http.StatusOK })
	if last := w.discovery.calls[0]; last != "" {
		t.Errorf("without any list the first call was %q, want one for the complete list", last)
	}
}

// What discovery lists of an endpoint reaches the balancer, and an endpoint keeps its id across lists. One that has
// restarted is a new target.
func TestEndpointKeepsItsIDAcrossLists(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	var before, after *upstream.Endpoint
	w.runInLoop(func() { before = w.loop.endpoints.byID[1].target })
	born := time.Now().UnixMilli() - 500
	restarted := ready("s-1", e.Address)
	restarted.StartUnixMS = born
	strange := discovery.Entry{
		Name:        "s-9",
		Address:     "127.0.0.1:1",
		Zone:        "nowhere",
		MachineKind: "odd",
		Cell:        4,
		Health:      "Terminating",
	}
	got := make(chan []balancer.Endpoint, 1)
	w.runInLoop(func() {
		w.loop.balancer = &listRecorder{decider: w.recorder, got: got}
		w.loop.updateEndpoints(
			w.loop.clock.now(),
			balancer.ListDelta,
			discovery.List{Version: 2, Entries: []discovery.Entry{restarted, strange}},
		)
		w.loop.balancer = w.recorder
		after = w.loop.endpoints.byID[1].target
	})
	entries := <-got
	want := []balancer.Endpoint{
		{
			ID:          1,
			Name:        hashName("s-1"),
			Zone:        0,
			MachineKind: 0,
			State:       balancer.Ready,
			Weight:      1,
			StartTime:   born * 1000,
		},
		{
			ID:          2,
			Name:        hashName("s-9"),
			Zone:        config.UnknownIndex,
			MachineKind: config.UnknownIndex,
			Cell:        4,
			State:       balancer.Draining,
		}}
	if !slices.Equal(entries, want) {
		t.Errorf("entries %+v, want %+v", entries, want)
	}
	if before == after || !w.loop.upstream.Retired(before) || w.loop.upstream.Retired(after) {
		t.Error("the endpoint that restarted kept its old target")
	}
	if now := w.loop.clock.now(); entries[0].StartTime > now || now-entries[0].StartTime > time.Minute.Microseconds() {
		t.Errorf("started at %d by a clock that shows %d", entries[0].StartTime, now)
	}
}

type listRecorder struct {
	decider
	got chan []balancer.Endpoint
}

func (s *listRecorder) HandleEndpoints(now balancer.Micros, kind balancer.ListUpdate, entries []balancer.Endpoint) {
	s.got <- slices.Clone(entries)
	s.decider.HandleEndpoints(now, kind, entries)
}

// A new configuration moves the watch: the new discovery is called for its complete list, and nothing that the old one
// sends later counts. A request in flight is served.
func TestReloadMovesTheWatchToTheNewDiscovery(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			<-answer
			io.WriteString(conn, sidecartest.Served)
		}
	})
	second := newServingEndpoint(t)
	w := startWith(t, nil, longWaits, ready("s-1", e.Address))
	w.await("the watch", func() bool { return w.discovery.count() == 2 })
	pending := make(chan reply)
	go func() { pending <- w.send(w.request("pay", "x", time.Minute)) }()
	w.await("the request in flight", func() bool { n, _ := e.Seen(); return n == 1 })

	old := w.discovery
	for range 2 { // it may come again
		moved := newFakeDiscovery(t, ready("s-2", second.Address))
		next := *w.loop.cfg
		next.DiscoveryAddress = moved.address
		lists := w.recorder.count(balancer.ListFull)
		w.runInLoop(func() { w.loop.reload(&next) })
		w.await("the new list", func() bool { return w.recorder.count(balancer.ListFull) > lists })
		moved.mu.Lock()
		if first := moved.calls[0]; first != "" {
			t.Errorf("the first call asked for %q, want the complete list", first)
		}
		moved.mu.Unlock()
		w.await("the new watch", func() bool { return moved.count() == 2 })
		w.await("the end of the old client's connections", func() bool { return old.conns.Load() == 0 })
		old = moved
		w.runInLoop(func() {
			watch := w.loop.watcher.client
			if w.loop.reload(&next); w.loop.watcher.client != watch {
				t.Error("a configuration that is in force already begins a new watch")
			}
		})
	}
	if got := w.send(w.request("read", "", time.Minute)); got.code != http.StatusOK {
		t.Errorf("through the new list: %+v", got)
	}
	if n, _ := second.Seen(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	close(answer)
	if got := <-pending; got.code != http.StatusOK {
		t.Errorf("the request in flight: %+v", got)
	}
}

// Endpoints come and go all day under new names. One that is removed is forgotten once nothing is in flight there; its
// id is never reused, so that a late outcome is not taken for another endpoint's.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			<-answer
			io.WriteString(conn, sidecartest.Served)
		}
	})
	w := start(t, nil, ready("s-1", e.Address))
	pending := make(chan reply)
	go func() { pending <- w.send(w.request("pay", "x", time.Minute)) }()
	w.await("the request in flight", func() bool { n, _ := e.Seen(); return n == 1 })
	list := func(whole bool, hosts ...discovery.Entry) {
		w.runInLoop(func() {
			kind := balancer.ListDelta
			if whole {
				kind = balancer.ListFull
			}
			w.loop.updateEndpoints(w.loop.clock.now(), kind, discovery.List{Complete: whole, Entries: hosts})
		})
	}
	for i := range 50 {
		list(true, ready(fmt.Sprintf("t-%d", i), e.Address))
	}
	gone := ready("t-49", "")
	gone.Health = "Gone"
	list(false, gone)
	list(false, gone)
	w.runInLoop(func() {
		if len(w.loop.endpoints.byID) != 1 || len(w.loop.endpoints.ids) != 1 || w.loop.endpoints.byID[1] == nil {
			t.Errorf(
				"%d endpoints and %d names are kept, want the one with an attempt out",
				len(w.loop.endpoints.byID),
				len(w.loop.endpoints.ids),
			)
		}
	})
	close(answer)
	if got := <-pending; got.code != http.StatusOK {
		t.Errorf("the request in flight: %+v", got)
	}
	w.runInLoop(func() {
		if len(w.loop.endpoints.byID) != 0 || len(w.loop.endpoints.ids) != 0 {
			t.Errorf(
				"%d endpoints and %d names are kept, want none",
				len(w.loop.endpoints.byID),
				len(w.loop.endpoints.ids),
			)
		}
	})
	list(true, ready("s-1", e.Address))
	w.runInLoop(func() {
		if id := w.loop.endpoints.ids["s-1"]; id != 52 {
			t.Errorf("the endpoint that is back has number %d, want a new one, 52", id)
		}
	})
}
