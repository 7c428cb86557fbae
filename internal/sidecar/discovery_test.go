package sidecar

import (
	"encoding/json"
	"fmt"
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

// count returns how many list updates of a kind the balancer has received.
func (s *balancerRecorder) count(kind balancer.ListUpdate) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, recorded := range s.lists {
		if recorded == kind {
			n++
		}
	}
	return n
}

// longWaits makes calls to discovery wait longer than a test takes: 11 to 15 s.
func longWaits(cfg *config.Config) { cfg.DiscoveryWait = 15 * time.Second }

// The watch resumes from the known version, 0 included: without a version, discovery would send the complete list each
// time and never wait.
func TestWatchResumesFromTheKnownVersion(t *testing.T) {
	e := newServingEndpoint(t)
	w := startWithConfig(t, nil, longWaits, ready("s-1", e.Address))
	w.await("the waiting call", func() bool { return w.discovery.callCount() == 2 })
	w.discovery.mu.Lock()
	calls := slices.Clone(w.discovery.calls)
	w.discovery.mu.Unlock()
	if calls[0] != "after=0&wait_ms=0" || !regexp.MustCompile(`^after=0&wait_ms=1[1-5]\d{3}$`).MatchString(calls[1]) {
		t.Errorf("got calls %q, want one that does not wait and one that waits 11 to 15 s, after version 0", calls)
	}
	// A change reaches the balancer; the next call asks for newer versions.
	second := newServingEndpoint(t)
	w.discovery.change(func() {
		w.discovery.list = completeList(7, ready("s-2", second.Address))
	})
	w.await("the call after the change", func() bool { return w.discovery.callCount() == 3 })
	w.await("the change", func() bool { return w.recorder.count(balancer.ListFull) == 1 })
	if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("got %+v, want 200", got)
	}
	if n, _ := second.Counts(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	w.discovery.mu.Lock()
	defer w.discovery.mu.Unlock()
	if last := w.discovery.calls[2]; !strings.HasPrefix(last, "after=7&wait_ms=1") {
		t.Errorf("the call after the change: got %q, want one after version 7", last)
	}
}

// While discovery is down or sends malformed lists, the balancer is notified and the last list stays in use. Once
// discovery recovers, its list replaces the last one.
func TestDiscoveryOutageAndRecovery(t *testing.T) {
	for name, malformed := range map[string]string{
		"down":          "",
		"not JSON":      "<html>",
		"wrong type":    `{"seq":"x"}`,
		"unknown state": `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"?"}]}`,
		"truncated":     `{"seq":9,"whole":true,"hosts":[`,
		"no version":    `{"whole":true,"hosts":[]}`,
		"no address":    `{"seq":9,"whole":true,"hosts":[{"host":"s","health":"Ready","dial":"x"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, second := newServingEndpoint(t), newServingEndpoint(t)
			w := start(t, nil, ready("s-1", e.Address))
			w.await("the watch", func() bool { return w.discovery.callCount() >= 2 })
			w.discovery.change(func() { w.discovery.down, w.discovery.malformed = malformed == "", malformed })
			// The open call fails, and so do those after it.
			w.await("two failures", func() bool { return w.recorder.count(balancer.ListFailed) >= 2 })
			if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("without discovery: got %+v, want 200", got)
			}
			w.discovery.change(func() {
				w.discovery.down, w.discovery.malformed = false, ""
				w.discovery.list = completeList(1, ready("s-2", second.Address))
			})
			w.await("the new list", func() bool { return w.recorder.count(balancer.ListFull) >= 1 })
			if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("after recovery: got %+v, want 200", got)
			}
			if n, _ := second.Counts(); n != 1 {
				t.Errorf("the endpoint of the new list got %d requests, want 1", n)
			}
		})
	}
}

// An unusable entry invalidates neither the other entries of its list nor the drains in it. Nothing more is sent to the
// endpoint that it names, which may no longer be ready.
func TestUnusableEntryDoesNotInvalidateTheList(t *testing.T) {
	e := newServingEndpoint(t)
	readyEntry, draining := entry("s-1", "Ready", e.Address), entry("s-2", "Terminating", e.Address)
	for name, c := range map[string]struct {
		text     string
		unusable int
		targets  string // names of endpoints that may get requests, of s-1, s-2 and s-3, all ready before
	}{
		"unknown state":      {entry("s-3", "Paused", e.Address), 1, "s-1"},
		"no address":         {entry("s-3", "Ready", "nowhere"), 1, "s-1"},
		"wrong type":         {`{"host":"s-3","dial":"` + e.Address + `","health":"Ready","born_ms":"noon"}`, 1, "s-1"},
		"out of range":       {`{"host":"s-3","dial":"` + e.Address + `","health":"Ready","block":70000}`, 1, "s-1"},
		"not an object":      {`"s-3"`, 1, "s-1 s-3"},
		"no name":            {`{"dial":"` + e.Address + `","health":"Ready"}`, 1, "s-1 s-3"},
		"name of wrong type": {`{"host":3,"dial":"` + e.Address + `","health":"Ready"}`, 1, "s-1 s-3"},
		"two entries":        {entry("s-3", "Paused", "") + `,null`, 2, "s-1"},
	} {
		for _, complete := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, complete %v", name, complete), func(t *testing.T) {
				w := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address), ready("s-3", e.Address))
				w.await("the watch", func() bool { return w.discovery.callCount() >= 2 })
				w.discovery.change(func() {
					w.discovery.list.Version = 9
					w.discovery.malformed = fmt.Sprintf(
						`{"seq":9,"whole":%v,"hosts":[%s,%s,%s]}`, complete, readyEntry, c.text, draining)
				})
				var targets []string
				var version uint64
				w.await("the list", func() bool {
					w.runInLoop(func() {
						targets, version = nil, w.loop.watcher.position.CurrentVersion
						for name, id := range w.loop.endpoints.idByName {
							if w.loop.endpoints.byID[id].target != nil {
								targets = append(targets, name)
							}
						}
					})
					return version == 9
				})
				slices.Sort(targets)
				want := c.targets
				if complete { // endpoints that a complete list does not name are removed
					want = "s-1"
				}
				if got := strings.Join(targets, " "); got != want {
					t.Errorf("got targets %q, want %q", got, want)
				}
				var list discovery.List
				if err := json.Unmarshal([]byte(w.discovery.malformed), &list); err != nil || list.Unusable != c.unusable ||
					list.FirstError == nil {
					t.Errorf("got %d unusable entries (%v, %v), want %d", list.Unusable, list.FirstError, err, c.unusable)
				}
			})
		}
	}
}

// entry returns the text of an entry.
func entry(name, health, dial string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m1","health":%q,"share":1}`, name, dial, health)
}

// With pushed lists the balancer does not subscribe: the sidecar watches its agent by itself, and resumes after a
// failure.
func TestPushedListsAreWatchedWithoutSubscription(t *testing.T) {
	e, second := newServingEndpoint(t), newServingEndpoint(t)
	w := start(t, func(s map[string]any) { s["discovery"] = "automatic" }, ready("s-1", e.Address))
	w.await("the watch", func() bool { return w.discovery.callCount() >= 2 })
	w.discovery.change(func() { w.discovery.down = true })
	w.await("the failure", func() bool { return w.recorder.count(balancer.ListFailed) >= 1 })
	w.discovery.change(func() {
		w.discovery.down = false
		w.discovery.list = completeList(3, ready("s-2", second.Address))
	})
	w.await("the new list", func() bool { return w.recorder.count(balancer.ListFull) >= 1 })
}

// A sidecar that knows no endpoint is not ready until discovery has listed one.
func TestReadyWithTheFirstEndpointList(t *testing.T) {
	e := newServingEndpoint(t)
	w := &harness{t: t, discovery: newFakeDiscovery(t)}
	w.discovery.down = true
	w.launch(newConfig(t, w.discovery.address, nil))
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
		t.Errorf("without any list: got %d, want 503", code)
	}
	w.discovery.change(func() {
		w.discovery.down = false
		w.discovery.list = completeList(1, ready("s-1", e.Address))
	})
	w.await("ready", func() bool { return status() == http.StatusOK })
	if first := w.discovery.calls[0]; first != "" {
		t.Errorf("without any list: got first call %q, want one for the complete list", first)
	}
}

// The attributes that discovery lists reach the balancer, and an endpoint keeps its id across lists. An endpoint that
// has restarted gets a new target.
func TestEndpointKeepsItsIDAcrossLists(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	var before, after *upstream.Endpoint
	w.runInLoop(func() { before = w.loop.endpoints.byID[1].target })
	started := time.Now().UnixMilli() - 500
	restarted := ready("s-1", e.Address)
	restarted.StartUnixMS = started
	unknown := discovery.Entry{
		Name:        "s-9",
		Address:     "127.0.0.1:1",
		Zone:        "nowhere",
		MachineKind: "odd",
		Cell:        4,
		Health:      "Terminating",
	}
	got := make(chan []balancer.Endpoint, 1)
	w.runInLoop(func() {
		w.loop.balancer = &listRecorder{balancerAPI: w.recorder, got: got}
		w.loop.updateEndpoints(
			w.loop.clock.now(),
			balancer.ListDelta,
			discovery.List{Version: 2, Entries: []discovery.Entry{restarted, unknown}},
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
			StartTime:   started * 1000,
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
		t.Errorf("got entries %+v, want %+v", entries, want)
	}
	if before == after || !w.loop.upstream.Retired(before) || w.loop.upstream.Retired(after) {
		t.Error("the endpoint that restarted kept its old target, want a new one")
	}
	if now := w.loop.clock.now(); entries[0].StartTime > now || now-entries[0].StartTime > time.Minute.Microseconds() {
		t.Errorf("got start time %d at %d, want it within the last minute", entries[0].StartTime, now)
	}
}

// listRecorder passes the entries that the balancer receives to a test.
type listRecorder struct {
	balancerAPI
	got chan []balancer.Endpoint
}

func (s *listRecorder) HandleEndpoints(now balancer.Micros, kind balancer.ListUpdate, entries []balancer.Endpoint) {
	s.got <- slices.Clone(entries)
	s.balancerAPI.HandleEndpoints(now, kind, entries)
}

// A new configuration moves the watch: the new discovery is called for its complete list, and later responses of the
// old one are ignored. A request in flight is served.
func TestReloadMovesTheWatchToTheNewDiscovery(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockAll(answer))
	second := newServingEndpoint(t)
	w := startWithConfig(t, nil, longWaits, ready("s-1", e.Address))
	w.await("the watch", func() bool { return w.discovery.callCount() == 2 })
	pending := make(chan reply)
	go func() { pending <- w.send(w.request("pay", "x", time.Minute)) }()
	w.awaitRequests(e, 1)

	old := w.discovery
	for range 2 { // the watch can move repeatedly
		moved := newFakeDiscovery(t, ready("s-2", second.Address))
		next := *w.loop.cfg
		next.DiscoveryAddress = moved.address
		lists := w.recorder.count(balancer.ListFull)
		w.runInLoop(func() { w.loop.reload(&next) })
		w.await("the new list", func() bool { return w.recorder.count(balancer.ListFull) > lists })
		moved.mu.Lock()
		if first := moved.calls[0]; first != "" {
			t.Errorf("got first call %q, want one for the complete list", first)
		}
		moved.mu.Unlock()
		w.await("the new watch", func() bool { return moved.callCount() == 2 })
		w.await("the end of the old client's connections", func() bool { return old.openConns.Load() == 0 })
		old = moved
		w.runInLoop(func() {
			watch := w.loop.watcher.client
			if w.loop.reload(&next); w.loop.watcher.client != watch {
				t.Error("an equal configuration begins a new watch, want the same one")
			}
		})
	}
	if got := w.send(w.request("read", "", time.Minute)); got.code != http.StatusOK {
		t.Errorf("by the new list: got %+v, want 200", got)
	}
	if n, _ := second.Counts(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	close(answer)
	if got := <-pending; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
}

// Endpoints are added and removed under new names all day. One that is removed is forgotten once no attempt is in
// flight there. Its id is never reused, so that a late outcome is not attributed to another endpoint.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockAll(answer))
	w := start(t, nil, ready("s-1", e.Address))
	pending := make(chan reply)
	go func() { pending <- w.send(w.request("pay", "x", time.Minute)) }()
	w.awaitRequests(e, 1)
	update := func(complete bool, entries ...discovery.Entry) {
		w.runInLoop(func() {
			kind := balancer.ListDelta
			if complete {
				kind = balancer.ListFull
			}
			w.loop.updateEndpoints(w.loop.clock.now(), kind, discovery.List{Complete: complete, Entries: entries})
		})
	}
	for i := range 50 {
		update(true, ready(fmt.Sprintf("t-%d", i), e.Address))
	}
	gone := ready("t-49", "")
	gone.Health = "Gone"
	update(false, gone)
	update(false, gone)
	w.runInLoop(func() {
		endpoints := w.loop.endpoints
		if len(endpoints.byID) != 1 || len(endpoints.idByName) != 1 || endpoints.byID[1] == nil {
			t.Errorf("got %d endpoints and %d names, want the one with an attempt in flight",
				len(endpoints.byID), len(endpoints.idByName))
		}
	})
	close(answer)
	if got := <-pending; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
	w.runInLoop(func() {
		endpoints := w.loop.endpoints
		if len(endpoints.byID) != 0 || len(endpoints.idByName) != 0 {
			t.Errorf("got %d endpoints and %d names, want none", len(endpoints.byID), len(endpoints.idByName))
		}
	})
	update(true, ready("s-1", e.Address))
	w.runInLoop(func() {
		if id := w.loop.endpoints.idByName["s-1"]; id != 52 {
			t.Errorf("the endpoint that is listed again: got id %d, want a new one, 52", id)
		}
	})
}
