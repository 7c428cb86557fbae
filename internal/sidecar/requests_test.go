package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"runtime"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/discovery"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
	"oakproxy/internal/upstream"
)

// steppedLoop is a loop whose events the test handles one after another, in its own goroutine. Attempts are sent to the
// endpoint. Timers and probes end only when the test says so.
type steppedLoop struct {
	*loop
	t       *testing.T
	entries []discovery.Entry
	timers  []uint32 // tokens of the timers that the balancer has started, in that order
	probes  []uint32 // ids of the endpoints that the balancer has probed, in that order
}

func (s *steppedLoop) StartTimer(_ balancer.Micros, token uint32) { s.timers = append(s.timers, token) }
func (s *steppedLoop) Probe(endpoint uint32)                      { s.probes = append(s.probes, endpoint) }
func (s *steppedLoop) Watch(bool)                                 {}

// newSteppedLoop returns a loop with two endpoints at one address, which sends probes when requests arrive.
func newSteppedLoop(t *testing.T, serve sidecartest.Handler) *steppedLoop {
	t.Helper()
	e := sidecartest.NewEndpoint(t, serve)
	s := &steppedLoop{t: t, entries: []discovery.Entry{ready("s-1", e.Address), ready("s-2", e.Address)}}
	cfg := newConfig(t, "127.0.0.1:1", func(settings map[string]any) {
		settings["limits"].(map[string]any)["probes"] = true
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	var err error
	if s.loop, err = newLoop(ctx, cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	if s.balancer, err = balancer.New(cfg.Settings, cfg.Seed, s); err != nil {
		t.Fatal(err)
	}
	s.balancer.Start(s.clock.now())
	s.updateEndpoints(s.clock.now(), balancer.ListFull, completeList(1, s.entries...))
	for _, token := range s.timers { // the first round of probes, in which the balancer decides when to probe
		s.balancer.HandleTimer(s.clock.now(), token)
	}
	return s
}

// arrive passes a request of a class to the loop, and reports whether the request then waits for probes. The class is
// an index in the settings of sidecartest.SettingsText.
func (s *steppedLoop) arrive(class uint8, body []byte) (r *request, waits bool) {
	now := s.clock.now()
	r = &request{response: make(chan finalResponse, 1), memory: httpmsg.NewSharedMemory(func() {}),
		releaseClientID: func() {},
		clientClosed:    func() bool { return false },
		message: &upstream.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Body: body,
			Header: http.Header{"X-Correlation-Id": {"1"}}}}
	s.admit(now, r, balancer.Request{Class: class, Deadline: now + time.Minute.Microseconds()})
	return r, s.balancer.Stats(now).Waiting == 1
}

// setDraining makes all endpoints drain, or ready again.
func (s *steppedLoop) setDraining(draining bool) {
	var list discovery.List
	for _, entry := range s.entries {
		if draining {
			entry = drainingEntry(entry.Name, entry.Address)
		}
		list.Entries = append(list.Entries, entry)
	}
	s.updateEndpoints(s.clock.now(), balancer.ListDelta, list)
}

// rejectWaiting makes the balancer reject the request that waits for probes, at the end of its wait.
func (s *steppedLoop) rejectWaiting() {
	s.setDraining(true)
	s.expireTimer()
}

// expireTimer ends the timer that was started last.
func (s *steppedLoop) expireTimer() { s.expireTimerAt(s.clock.now()) }

// expireTimerAt ends the timer that was started last, at the given time.
func (s *steppedLoop) expireTimerAt(now balancer.Micros) {
	s.balancer.HandleTimer(now, s.timers[len(s.timers)-1])
}

// failProbes ends all probes without an answer.
func (s *steppedLoop) failProbes() {
	for _, endpoint := range s.probes {
		s.balancer.HandleProbe(s.clock.now(), endpoint, balancer.Timeout, 0, nil)
	}
}

// awaitEvent handles the next event that another goroutine posts: the outcome of an attempt.
func (s *steppedLoop) awaitEvent() {
	s.t.Helper()
	select {
	case e := <-s.events.queued:
		e(s.clock.now())
	case <-time.After(sidecartest.WaitTimeout):
		s.t.Fatal("no attempt has ended")
	}
}

// Guards against requests that stay in a table after their end, as those did that were rejected after a wait for
// probes: each kept its body in memory for the life of the process.
func TestEndedRequestsLeaveAllTables(t *testing.T) {
	const read, order = 0, 3 // classes
	served := sidecartest.AlwaysRespond(sidecartest.ServedResponse)
	failed := sidecartest.AlwaysRespond(sidecartest.FailedResponse)
	for name, c := range map[string]struct {
		class uint8
		serve sidecartest.Handler
		end   func(s *steppedLoop, r *request) // ends the request, which waits for probes
		code  int                              // status of the final response; 0 if the client is gone
	}{
		"rejected after the wait": {read, served, func(s *steppedLoop, _ *request) { s.rejectWaiting() }, 503},
		"rejected after the probes": {read, served, func(s *steppedLoop, _ *request) {
			s.setDraining(true)
			s.failProbes()
		}, 503},
		"rejected after a reload removed its class": {order, served, func(s *steppedLoop, _ *request) {
			s.reload(newConfig(s.t, "127.0.0.1:1", func(settings map[string]any) {
				settings["classes"] = classes(settings)[:1]
			}))
			s.rejectWaiting()
		}, 503},
		"rejected at its deadline": {read, served, func(s *steppedLoop, r *request) { s.expireTimerAt(r.deadline) }, 503},
		"client gone during the wait": {read, served, func(s *steppedLoop, r *request) {
			s.handleClientGone(s.clock.now(), r)
		}, 0},
		"served": {order, served, func(s *steppedLoop, _ *request) {
			s.expireTimer()
			s.awaitEvent()
		}, 200},
		"failed": {order, failed, func(s *steppedLoop, _ *request) {
			s.expireTimer()
			s.awaitEvent()
		}, 502},
		"timed out": {order, sidecartest.NeverRespond, func(s *steppedLoop, r *request) {
			s.expireTimer()
			s.expireTimerAt(r.deadline)
			s.awaitEvent()
		}, 502},
		"client gone during an attempt": {order, sidecartest.NeverRespond, func(s *steppedLoop, r *request) {
			s.expireTimer()
			s.handleClientGone(s.clock.now(), r)
			s.awaitEvent()
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSteppedLoop(t, c.serve)
			r, waits := s.arrive(c.class, []byte("body"))
			if !waits {
				t.Fatal("the request does not wait for probes, want it to wait")
			}
			c.end(s, r)
			code := 0
			if len(r.response) > 0 {
				response := <-r.response
				response.close()
				code = response.code
			}
			if code != c.code {
				t.Errorf("got a final response with status %d, want %d", code, c.code)
			}
			stats := s.balancer.Stats(s.clock.now())
			if n := len(s.requests.byID); n+stats.Open+stats.Held+stats.Waiting+stats.InFlight != 0 {
				t.Errorf("the loop's table has %d requests; the balancer has %d open, %d in its ledger, %d waiting and "+
					"%d attempts in flight; want none", n, stats.Open, stats.Held, stats.Waiting, stats.InFlight)
			}
			if used := s.upstream.Memory.Bodies.Used.Load(); used != 0 {
				t.Errorf("%d bytes are reserved for bodies, want 0", used)
			}
		})
	}
}

// Guards against a process that is killed for its memory because it keeps the bodies of requests that it has rejected.
// The deployment page says that a sidecar over its memory limit is killed, and the smallest limit is 32 MB.
func TestRejectedRequestsStayWithinTheMemoryLimit(t *testing.T) {
	const (
		memoryLimit = 32 << 20
		rejections  = 2 * memoryLimit / httpmsg.MaxBufferedBytes
	)
	s := newSteppedLoop(t, sidecartest.NeverRespond)
	for rejected := 0; rejected < rejections; {
		s.setDraining(false)
		r, waits := s.arrive(0, make([]byte, httpmsg.MaxBufferedBytes))
		if !waits { // while it rejects many requests, the balancer sends probes for a part of the others only
			s.handleClientGone(s.clock.now(), r)
			if r.inFlight > 0 { // an attempt was sent; otherwise the request was rejected at once
				s.awaitEvent()
			}
			continue
		}
		s.rejectWaiting()
		if response := <-r.response; response.code != http.StatusServiceUnavailable {
			t.Fatalf("got a final response with status %d, want 503", response.code)
		}
		rejected++
	}
	runtime.GC()
	if heap := heapBytes(); heap > memoryLimit {
		t.Errorf("the heap has %d bytes after %d rejections, want at most %d", heap, rejections, memoryLimit)
	}
	runtime.KeepAlive(s)
}
