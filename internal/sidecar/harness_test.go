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
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/sidecartest"
)

// ready is discovery's entry for an endpoint.
func ready(name, address string) discovery.Entry {
	return discovery.Entry{Name: name, Address: address, Zone: "a", MachineKind: "m1", Health: "Ready", Weight: 1}
}

// harness is a running sidecar with its surroundings.
type harness struct {
	t         *testing.T
	url       string
	loop      *loop
	server    *server
	recorder  *balancerRecorder
	discovery *fakeDiscovery
	stop      context.CancelFunc // as SIGTERM does
	ended     chan error

	wrap func(net.Listener) net.Listener // of clients; may be nil
}

// configure returns a configuration that knows the given list.
func configure(
	t *testing.T,
	discoveryAddress string,
	alter func(settings map[string]any),
	hosts ...discovery.Entry,
) *config.Config {
	t.Helper()
	var settings map[string]any
	if err := json.Unmarshal([]byte(sidecartest.SettingsText), &settings); err != nil {
		t.Fatal(err)
	}
	if alter != nil {
		alter(settings)
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"known":  discovery.List{Complete: true, Entries: hosts}, "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// start runs a sidecar that knows these endpoints, and waits until it is ready.
func start(t *testing.T, alter func(settings map[string]any), hosts ...discovery.Entry) *harness {
	t.Helper()
	return startWith(t, alter, nil, hosts...)
}

// startWith does that with a configuration that a test has changed.
func startWith(
	t *testing.T,
	alter func(settings map[string]any),
	change func(*config.Config),
	hosts ...discovery.Entry,
) *harness {
	t.Helper()
	w := &harness{t: t, discovery: newFakeDiscovery(t, hosts...)}
	cfg := configure(t, w.discovery.address, alter, hosts...)
	if change != nil {
		change(cfg)
	}
	w.launch(cfg)
	w.untilReady()
	return w
}

// startWithListener does that with a listener of clients that a test has wrapped.
func startWithListener(t *testing.T, wrap func(net.Listener) net.Listener, hosts ...discovery.Entry) *harness {
	t.Helper()
	w := &harness{t: t, discovery: newFakeDiscovery(t, hosts...), wrap: wrap}
	w.launch(configure(t, w.discovery.address, nil, hosts...))
	w.untilReady()
	return w
}

func (w *harness) untilReady() {
	w.t.Helper()
	w.await("ready", func() bool {
		response, err := http.Get(w.url + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// launch runs a sidecar until the test ends.
func (w *harness) launch(cfg *config.Config) {
	w.t.Helper()
	listener, err := net.Listen("tcp", cfg.ListenAddress)
	if err != nil {
		w.t.Fatal(err)
	}
	if w.wrap != nil {
		listener = w.wrap(listener)
	}
	w.ended = make(chan error, 1)
	w.url = "http://" + listener.Addr().String()
	loopCtx, stopLoop := context.WithCancel(context.Background())
	w.loop, err = newLoop(loopCtx, cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		w.t.Fatal(err)
	}
	w.loop.upstream.ReuseDelay = 0 // most tests use a connection again at once
	w.recorder = &balancerRecorder{decider: w.loop.balancer}
	w.loop.balancer = w.recorder
	w.server = newServer(w.loop)
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() {
		w.ended <- w.server.serve(ctx, listener)
		stopLoop()
	}()
	w.t.Cleanup(func() {
		stop()
		w.server.http.Close()
		// Left to its drain, the sidecar would go on calling a discovery whose port may be another test's by then.
		stopLoop()
	})
}

// await waits for something to become true.
func (w *harness) await(what string, is func() bool) {
	w.t.Helper()
	sidecartest.Await(w.t, what, is)
}

// runInLoop runs f in the loop and waits for it.
func (w *harness) runInLoop(f func()) {
	w.t.Helper()
	done := make(chan struct{})
	w.loop.events.post(func(balancer.Micros) {
		f()
		close(done)
	})
	<-done
}

var lastID atomic.Uint32 // of requests made by request

// request makes a client's request of a class.
func (w *harness) request(class, body string, timeLeft time.Duration) *http.Request {
	w.t.Helper()
	method := http.MethodPost
	if class == "read" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, w.url+"/"+class+"/x%2Fy?q=1", strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
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
	code   int
	header http.Header
	body   string
	err    error
}

func (w *harness) send(r *http.Request) reply {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport, Timeout: sidecartest.WaitTimeout}).Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), err}
}

// timedOut reports whether a read or write ended by its deadline.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// newServingEndpoint starts an endpoint that serves each request.
func newServingEndpoint(t *testing.T) *sidecartest.Endpoint {
	t.Helper()
	return sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
}
