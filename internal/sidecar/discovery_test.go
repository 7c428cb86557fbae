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

// countLists returns the number of list updates of a kind that the balancer has received.
func (s *balancerRecorder) countLists(kind balancer.ListUpdate) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, recorded := range s.lists {
		if recorded == kind {
			n++
		}
	}
	return n
}

// withLongDiscoveryWait makes calls to discovery wait longer than a test takes: 11 to 15 s, because of the jitter.
func withLongDiscoveryWait(cfg *config.Config) { cfg.DiscoveryWait = 15 * time.Second }

// The watch resumes from the known version, even if that is 0. If it left out the version, discovery would answer each
// call at once with the complete list, and the watch would never wait for a change.
func TestWatchResumesFromTheKnownVersion(t *testing.T) {
	e := newServingEndpoint(t)
	h := startWithConfig(t, nil, withLongDiscoveryWait, ready("s-1", e.Address))
	h.await("the waiting call", func() bool { return h.discovery.callCount() == 2 })
	h.discovery.mu.Lock()
	calls := slices.Clone(h.discovery.calls)
	h.discovery.mu.Unlock()
	if calls[0] != "after=0&wait_ms=0" || !regexp.MustCompile(`^after=0&wait_ms=1[1-5]\d{3}$`).MatchString(calls[1]) {
		t.Errorf("got calls %q, want one with wait_ms=0 and one that waits 11 to 15 s, both after version 0", calls)
	}
	// A change reaches the balancer; the next call asks for newer versions.
	second := newServingEndpoint(t)
	h.discovery.change(func() {
		h.discovery.list = completeList(7, ready("s-2", second.Address))
	})
	h.await("the call after the change", func() bool { return h.discovery.callCount() == 3 })
	h.await("the changed list at the balancer", func() bool { return h.recorder.countLists(balancer.ListFull) == 1 })
	if got := h.send(h.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("got %+v, want 200", got)
	}
	if n, _ := second.Counts(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	h.discovery.mu.Lock()
	defer h.discovery.mu.Unlock()
	if last := h.discovery.calls[2]; !strings.HasPrefix(last, "after=7&wait_ms=1") {
		t.Errorf("the call after the change: got %q, want one after version 7", last)
	}
}

// While discovery is down or sends malformed lists, the balancer is notified of each failed call and the last list
// stays in use. Once discovery recovers, its list replaces the last one.
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
			h := start(t, nil, ready("s-1", e.Address))
			h.await("the watch to begin", func() bool { return h.discovery.callCount() >= 2 })
			h.discovery.change(func() { h.discovery.down, h.discovery.malformed = malformed == "", malformed })
			// The open call fails, and so do the calls after it.
			h.await("two failures", func() bool { return h.recorder.countLists(balancer.ListFailed) >= 2 })
			if got := h.send(h.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("without discovery: got %+v, want 200", got)
			}
			h.discovery.change(func() {
				h.discovery.down, h.discovery.malformed = false, ""
				h.discovery.list = completeList(1, ready("s-2", second.Address))
			})
			h.await("the new list", func() bool { return h.recorder.countLists(balancer.ListFull) >= 1 })
			if got := h.send(h.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
				t.Errorf("after recovery: got %+v, want 200", got)
			}
			if n, _ := second.Counts(); n != 1 {
				t.Errorf("the endpoint of the new list got %d requests, want 1", n)
			}
		})
	}
}

// An unusable entry must not invalidate its list: the other entries, including drains, still apply. If the unusable
// entry names an endpoint, no more requests are sent there, because the endpoint may no longer be ready.
func TestUnusableEntryDoesNotInvalidateTheList(t *testing.T) {
	e := newServingEndpoint(t)
	readyEntry, draining := entryJSON("s-1", "Ready", e.Address), entryJSON("s-2", "Terminating", e.Address)
	for name, c := range map[string]struct {
		text     string
		unusable int
		targets  string // those of s-1, s-2 and s-3, all ready before, that keep a target if the list is not complete
	}{
		"unknown state":      {entryJSON("s-3", "Paused", e.Address), 1, "s-1"},
		"no address":         {entryJSON("s-3", "Ready", "nowhere"), 1, "s-1"},
		"wrong type":         {`{"host":"s-3","dial":"` + e.Address + `","health":"Ready","born_ms":"noon"}`, 1, "s-1"},
		"out of range":       {`{"host":"s-3","dial":"` + e.Address + `","health":"Ready","block":70000}`, 1, "s-1"},
		"not an object":      {`"s-3"`, 1, "s-1 s-3"},
		"no name":            {`{"dial":"` + e.Address + `","health":"Ready"}`, 1, "s-1 s-3"},
		"name of wrong type": {`{"host":3,"dial":"` + e.Address + `","health":"Ready"}`, 1, "s-1 s-3"},
		"two entries":        {entryJSON("s-3", "Paused", "") + `,null`, 2, "s-1"},
	} {
		for _, complete := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, complete %v", name, complete), func(t *testing.T) {
				h := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address), ready("s-3", e.Address))
				h.await("the watch to begin", func() bool { return h.discovery.callCount() >= 2 })
				h.discovery.change(func() {
					h.discovery.list.Version = 9
					h.discovery.malformed = fmt.Sprintf(
						`{"seq":9,"whole":%v,"hosts":[%s,%s,%s]}`, complete, readyEntry, c.text, draining)
				})
				var targets []string
				var version uint64
				h.await("version 9 of the list to apply", func() bool {
					h.runInLoop(func() {
						targets, version = nil, h.loop.watcher.position.CurrentVersion
						for name, id := range h.loop.endpoints.idByName {
							if h.loop.endpoints.byID[id].target != nil {
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
				if err := json.Unmarshal([]byte(h.discovery.malformed), &list); err != nil || list.Unusable != c.unusable ||
					list.FirstError == nil {
					t.Errorf("got %d unusable entries (%v, %v), want %d", list.Unusable, list.FirstError, err, c.unusable)
				}
			})
		}
	}
}

// entryJSON returns the JSON text of an entry of an endpoint list.
func entryJSON(name, health, address string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m1","health":%q,"share":1}`, name, address, health)
}

// If lists are pushed to an agent on the machine, the balancer does not subscribe to discovery. The sidecar then
// watches the agent without being asked by the balancer, and resumes the watch after a failure.
func TestPushedListsAreWatchedWithoutSubscription(t *testing.T) {
	e, second := newServingEndpoint(t), newServingEndpoint(t)
	h := start(t, func(s map[string]any) { s["discovery"] = "automatic" }, ready("s-1", e.Address))
	h.await("the watch to begin", func() bool { return h.discovery.callCount() >= 2 })
	h.discovery.change(func() { h.discovery.down = true })
	h.await("a failed call of discovery", func() bool { return h.recorder.countLists(balancer.ListFailed) >= 1 })
	h.discovery.change(func() {
		h.discovery.down = false
		h.discovery.list = completeList(3, ready("s-2", second.Address))
	})
	h.await("the new list", func() bool { return h.recorder.countLists(balancer.ListFull) >= 1 })
}

// A sidecar that knows no endpoint is not ready until discovery has listed one.
func TestReadyWithTheFirstEndpointList(t *testing.T) {
	e := newServingEndpoint(t)
	h := &harness{t: t, discovery: newFakeDiscovery(t)}
	h.discovery.down = true
	h.launch(newConfig(t, h.discovery.address, nil))
	status := func() int {
		response, err := http.Get(h.url + "/health/ready")
		if err != nil {
			return 0
		}
		response.Body.Close()
		return response.StatusCode
	}
	h.await("a first response", func() bool { return status() != 0 })
	if code := status(); code != http.StatusServiceUnavailable {
		t.Errorf("without any list: got %d, want 503", code)
	}
	h.discovery.change(func() {
		h.discovery.down = false
		h.discovery.list = completeList(1, ready("s-1", e.Address))
	})
	h.await("the sidecar to be ready", func() bool { return status() == http.StatusOK })
	if first := h.discovery.calls[0]; first != "" {
		t.Errorf("without any list: got first call %q, want one for the complete list", first)
	}
}

// The attributes that discovery lists reach the balancer. An endpoint keeps its id across lists. An endpoint that has
// restarted keeps its id, too, but gets a new target.
func TestEndpointKeepsItsIDAcrossLists(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	var before, after *upstream.Endpoint
	h.runInLoop(func() { before = h.loop.endpoints.byID[1].target })
	startUnixMS := time.Now().UnixMilli() - 500
	restarted := ready("s-1", e.Address)
	restarted.StartUnixMS = startUnixMS
	unknown := discovery.Entry{
		Name:        "s-9",
		Address:     "127.0.0.1:1",
		Zone:        "nowhere",
		MachineKind: "odd",
		Cell:        4,
		Health:      "Terminating",
	}
	got := make(chan []balancer.Endpoint, 1)
	h.runInLoop(func() {
		h.loop.balancer = &listRecorder{balancerAPI: h.recorder, got: got}
		h.loop.updateEndpoints(
			h.loop.clock.now(),
			balancer.ListDelta,
			discovery.List{Version: 2, Entries: []discovery.Entry{restarted, unknown}},
		)
		h.loop.balancer = h.recorder
		after = h.loop.endpoints.byID[1].target
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
			StartTime:   startUnixMS * 1000,
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
	if before == after || !h.loop.upstream.Retired(before) || h.loop.upstream.Retired(after) {
		t.Error("the endpoint that restarted kept its old target, want a new one")
	}
	if now := h.loop.clock.now(); entries[0].StartTime > now || now-entries[0].StartTime > time.Minute.Microseconds() {
		t.Errorf("got start time %d at %d, want it within the last minute", entries[0].StartTime, now)
	}
}

// listRecorder sends the entries of each list update to got before it passes the update to the balancer.
type listRecorder struct {
	balancerAPI
	got chan []balancer.Endpoint
}

func (s *listRecorder) HandleEndpoints(now balancer.Micros, kind balancer.ListUpdate, entries []balancer.Endpoint) {
	s.got <- slices.Clone(entries)
	s.balancerAPI.HandleEndpoints(now, kind, entries)
}

// A reload with another address of discovery moves the watch. The new discovery is called for its complete list, and
// later responses of the old one are ignored. A request in flight is served.
func TestReloadMovesTheWatchToTheNewDiscovery(t *testing.T) {
	release := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockAll(release))
	second := newServingEndpoint(t)
	h := startWithConfig(t, nil, withLongDiscoveryWait, ready("s-1", e.Address))
	h.await("the watch to begin", func() bool { return h.discovery.callCount() == 2 })
	pending := make(chan reply)
	go func() { pending <- h.send(h.request("pay", "x", time.Minute)) }()
	h.awaitRequests(e, 1)

	old := h.discovery
	for range 2 { // the watch can move repeatedly
		moved := newFakeDiscovery(t, ready("s-2", second.Address))
		next := *h.loop.cfg
		next.DiscoveryAddress = moved.address
		lists := h.recorder.countLists(balancer.ListFull)
		h.runInLoop(func() { h.loop.reload(&next) })
		h.await("the list of the new discovery", func() bool { return h.recorder.countLists(balancer.ListFull) > lists })
		moved.mu.Lock()
		if first := moved.calls[0]; first != "" {
			t.Errorf("got first call %q, want one for the complete list", first)
		}
		moved.mu.Unlock()
		h.await("the watch of the new discovery", func() bool { return moved.callCount() == 2 })
		h.await("the end of the old client's connections", func() bool { return old.openConns.Load() == 0 })
		old = moved
		h.runInLoop(func() {
			watch := h.loop.watcher.client
			if h.loop.reload(&next); h.loop.watcher.client != watch {
				t.Error("a reload of an equal configuration began a new watch, want the same one")
			}
		})
	}
	if got := h.send(h.request("read", "", time.Minute)); got.code != http.StatusOK {
		t.Errorf("with the new list: got %+v, want 200", got)
	}
	if n, _ := second.Counts(); n != 1 {
		t.Errorf("the endpoint of the new list got %d requests, want 1", n)
	}
	close(release)
	if got := <-pending; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
}

// Endpoints come and go all day under new names. So that the endpoint table does not grow without limit, a removed
// endpoint is deleted from it once no attempt to the endpoint is in flight. The endpoint's id is never reused, so that
// a late outcome is not attributed to another endpoint.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	release := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockAll(release))
	h := start(t, nil, ready("s-1", e.Address))
	pending := make(chan reply)
	go func() { pending <- h.send(h.request("pay", "x", time.Minute)) }()
	h.awaitRequests(e, 1)
	update := func(complete bool, entries ...discovery.Entry) {
		h.runInLoop(func() {
			kind := balancer.ListDelta
			if complete {
				kind = balancer.ListFull
			}
			h.loop.updateEndpoints(h.loop.clock.now(), kind, discovery.List{Complete: complete, Entries: entries})
		})
	}
	for i := range 50 {
		update(true, ready(fmt.Sprintf("t-%d", i), e.Address))
	}
	gone := ready("t-49", "")
	gone.Health = "Gone"
	update(false, gone)
	update(false, gone)
	h.runInLoop(func() {
		endpoints := h.loop.endpoints
		if len(endpoints.byID) != 1 || len(endpoints.idByName) != 1 || endpoints.byID[1] == nil {
			t.Errorf("got %d endpoints and %d names, want the one with an attempt in flight",
				len(endpoints.byID), len(endpoints.idByName))
		}
	})
	close(release)
	if got := <-pending; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
	h.runInLoop(func() {
		endpoints := h.loop.endpoints
		if len(endpoints.byID) != 0 || len(endpoints.idByName) != 0 {
			t.Errorf("got %d endpoints and %d names, want none", len(endpoints.byID), len(endpoints.idByName))
		}
	})
	update(true, ready("s-1", e.Address))
	h.runInLoop(func() {
		if id := h.loop.endpoints.idByName["s-1"]; id != 52 {
			t.Errorf("the endpoint that is listed again: got id %d, want a new one, 52", id)
		}
	})
}
