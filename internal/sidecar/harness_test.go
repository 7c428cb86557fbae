package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/sidecartest"
)

// ready returns discovery's entry for an endpoint that is ready.
func ready(name, address string) discovery.Entry {
	return discovery.Entry{Name: name, Address: address, Zone: "a", MachineKind: "m1", Health: "Ready", Weight: 1}
}

// drainingEntry returns discovery's entry for an endpoint that is draining.
func drainingEntry(name, address string) discovery.Entry {
	entry := ready(name, address)
	entry.Health = "Terminating"
	return entry
}

// completeList returns a list from discovery that contains all endpoints.
func completeList(version uint64, entries ...discovery.Entry) discovery.List {
	return discovery.List{Version: version, Complete: true, Entries: entries}
}

// harness is a running sidecar with its discovery service.
type harness struct {
	t         *testing.T
	url       string // http://host:port of the clients' listener
	loop      *loop
	server    *server
	recorder  *balancerRecorder
	discovery *fakeDiscovery
	stop      context.CancelFunc // function that begins the shutdown, as SIGTERM does
	ended     chan error         // channel that receives the sidecar's result when it ends

	wrapListener func(net.Listener) net.Listener // function that wraps the clients' listener; may be nil
}

// newConfig returns a configuration whose known list, the endpoint list for the start, has these entries. editSettings
// changes the settings; it may be nil.
func newConfig(
	t *testing.T,
	discoveryAddress string,
	editSettings func(settings map[string]any),
	entries ...discovery.Entry,
) *config.Config {
	t.Helper()
	var settings map[string]any
	if err := json.Unmarshal([]byte(sidecartest.SettingsText), &settings); err != nil {
		t.Fatal(err)
	}
	if editSettings != nil {
		editSettings(settings)
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"known":  discovery.List{Complete: true, Entries: entries}, "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// start runs a sidecar whose configuration and discovery service list these entries, and waits until it is ready.
// editSettings changes the settings of the configuration; it may be nil.
func start(t *testing.T, editSettings func(settings map[string]any), entries ...discovery.Entry) *harness {
	t.Helper()
	return startWithConfig(t, editSettings, nil, entries...)
}

// startWithConfig is like start, but editConfig changes the configuration before the sidecar starts; it may be nil.
func startWithConfig(
	t *testing.T,
	editSettings func(settings map[string]any),
	editConfig func(*config.Config),
	entries ...discovery.Entry,
) *harness {
	t.Helper()
	h := &harness{t: t, discovery: newFakeDiscovery(t, entries...)}
	cfg := newConfig(t, h.discovery.address, editSettings, entries...)
	if editConfig != nil {
		editConfig(cfg)
	}
	h.launch(cfg)
	h.awaitReady()
	return h
}

// startWithListener is like start, but the clients' listener is the result of wrapListener.
func startWithListener(
	t *testing.T,
	wrapListener func(net.Listener) net.Listener,
	entries ...discovery.Entry,
) *harness {
	t.Helper()
	h := &harness{t: t, discovery: newFakeDiscovery(t, entries...), wrapListener: wrapListener}
	h.launch(newConfig(t, h.discovery.address, nil, entries...))
	h.awaitReady()
	return h
}

// awaitReady waits until the sidecar reports that it is ready.
func (h *harness) awaitReady() {
	h.t.Helper()
	h.await("the sidecar to be ready", func() bool {
		response, err := http.Get(h.url + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// launch runs a sidecar with this configuration until the test ends.
func (h *harness) launch(cfg *config.Config) {
	h.t.Helper()
	listener, err := net.Listen("tcp", cfg.ListenAddress)
	if err != nil {
		h.t.Fatal(err)
	}
	if h.wrapListener != nil {
		listener = h.wrapListener(listener)
	}
	h.ended = make(chan error, 1)
	h.url = "http://" + listener.Addr().String()
	loopCtx, stopLoop := context.WithCancel(context.Background())
	h.loop, err = newLoop(loopCtx, cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		h.t.Fatal(err)
	}
	h.loop.upstream.ReuseDelay = 0 // many tests reuse a connection immediately
	h.recorder = &balancerRecorder{balancerAPI: h.loop.balancer}
	h.loop.balancer = h.recorder
	h.server = newServer(h.loop)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() {
		h.ended <- h.server.serve(ctx, listener)
		stopLoop()
	}()
	h.t.Cleanup(func() {
		stop()
		h.server.http.Close()
		h.requireNothingHeld(loopCtx)
		// A sidecar that is draining would continue to call discovery, whose port might by then be used by another test.
		stopLoop()
	})
}

// requireNothingHeld fails the test if the loop or the balancer still holds a request a while after all clients'
// connections were closed. It checks nothing if the sidecar has ended: its loop handles no events any more.
func (h *harness) requireNothingHeld(loopCtx context.Context) {
	h.t.Helper()
	for deadline := time.Now().Add(sidecartest.WaitTimeout); loopCtx.Err() == nil; time.Sleep(time.Millisecond) {
		var inTable, inLedger int
		h.loop.events.runUrgent(func(now balancer.Micros) {
			inTable, inLedger = len(h.loop.requests.byID), h.loop.balancer.Stats(now).Held
		})
		if inTable == 0 && inLedger == 0 {
			return
		}
		if time.Now().After(deadline) {
			h.t.Errorf("the loop's table has %d requests and the balancer's ledger %d after their clients have gone, "+
				"want none", inTable, inLedger)
			return
		}
	}
}

// await waits until condition returns true, as sidecartest.Await does.
func (h *harness) await(description string, condition func() bool) {
	h.t.Helper()
	sidecartest.Await(h.t, description, condition)
}

// awaitRequests waits until an endpoint has read exactly want complete requests.
func (h *harness) awaitRequests(e *sidecartest.Endpoint, want int) {
	h.t.Helper()
	h.await(fmt.Sprintf("%d requests at the endpoint", want), func() bool {
		requests, _ := e.Counts()
		return requests == want
	})
}

// awaitOutcome waits until exactly one outcome has been reported to the balancer.
func (h *harness) awaitOutcome() {
	h.t.Helper()
	h.await("one outcome", func() bool { return len(h.recorder.statuses()) == 1 })
}

// awaitReleasedMemory waits until no memory is reserved for bodies.
func (h *harness) awaitReleasedMemory() {
	h.t.Helper()
	h.await("the body memory to be released", func() bool { return h.loop.upstream.Memory.Bodies.Used.Load() == 0 })
}

// awaitClientGone waits until the balancer is notified that a client disconnected.
func (h *harness) awaitClientGone() {
	h.t.Helper()
	h.await("the client to be gone", func() bool {
		h.recorder.mu.Lock()
		defer h.recorder.mu.Unlock()
		return slices.Contains(h.recorder.events, "gone")
	})
}

// runInLoop runs f in the loop's goroutine and waits until it has returned.
func (h *harness) runInLoop(f func()) {
	h.t.Helper()
	done := make(chan struct{})
	h.loop.events.post(func(balancer.Micros) {
		f()
		close(done)
	})
	<-done
}

// lastID is the number in the latest correlation id that harness.request assigned. All tests share it.
var lastID atomic.Uint32

// request returns a client's request of the class, with a new correlation id. The body is ignored for class read.
func (h *harness) request(class, body string, timeLeft time.Duration) *http.Request {
	h.t.Helper()
	method := http.MethodPost
	if class == "read" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, h.url+"/"+class+"/x%2Fy?q=1", strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("9b1f03aa%08x", lastID.Add(1)))
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	if class == "pay" || class == "close" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59")
	}
	return r
}

// reply is a final response as a client sees it.
type reply struct {
	code   int // status code; 0 means that there was no response
	header http.Header
	body   string
	err    error
}

// send sends a request on a connection of its own and reads its response.
func (h *harness) send(r *http.Request) reply {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport, Timeout: sidecartest.WaitTimeout}).Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), err}
}

// timedOut reports whether err means that the deadline of a read or write has passed.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// newServingEndpoint starts an endpoint that responds to every request with sidecartest.ServedResponse.
func newServingEndpoint(t *testing.T) *sidecartest.Endpoint {
	t.Helper()
	return sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
}
