package sidecar

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Shutdown after SIGTERM has the following phases. No request waits for the time limit of another: each gets its
// response by its own deadline, and no request is admitted that could not get its response in time.
//
//	draining          lasts for the drain period from SIGTERM: requests are admitted as before, but a connection is
//	                  closed after its next response or when it is idle; new connections are accepted as before,
//	                  unless another process of the sidecar is ready, which then accepts them
//	admission closed  connections without a request are closed, requests read from now on are rejected before any
//	                  attempt, and streamed bodies are stopped before their last byte is forwarded
//	answering         requests in flight are answered by their deadlines
//	ended             nothing is in flight: the remaining connections are closed

const (
	// defaultDrainPeriod is the drain period outside tests. Clients continue to connect for 0.4 s after SIGTERM, and
	// requests that arrive up to 0.7 s after SIGTERM must get a response. Requests that arrive after the drain period
	// get a rejection as their response.
	defaultDrainPeriod = 600 * time.Millisecond

	killDelay        = 700 * time.Millisecond // SIGKILL follows SIGTERM after the longest client timeout plus killDelay
	maxClientTimeout = 3 * time.Second        // upper limit of the longest client timeout in the time of SIGKILL
	killMargin       = 150 * time.Millisecond // time before SIGKILL at which partial requests are rejected
	responseGrace    = 500 * time.Millisecond // how long after its deadline a request in flight may still be answered

	// closeGrace is the time for clients to close their connections once nothing is in flight. It is longer than
	// half-closing a connection takes.
	closeGrace = 600 * time.Millisecond
)

// requestAdmission records whether requests are admitted. Admission closes once, at shutdown. It is safe for concurrent
// use.
type requestAdmission struct {
	once   sync.Once
	closed chan struct{}
}

func newRequestAdmission() *requestAdmission { return &requestAdmission{closed: make(chan struct{})} }

func (a *requestAdmission) close() { a.once.Do(func() { close(a.closed) }) }

func (a *requestAdmission) isClosed() bool {
	select {
	case <-a.closed:
		return true
	default:
		return false
	}
}

// terminatingResponse is the response to requests read after admission has closed. No part of such a request was
// forwarded, so another process can serve it immediately.
var terminatingResponse = finalResponse{code: http.StatusServiceUnavailable}

// terminate shuts the server down in the phases described above. It returns when the last phase has ended.
func (s *server) terminate() {
	s.terminating.Store(true)
	started := time.Now()
	s.logPhase("shutdown started", started)
	drainEnd := started.Add(s.drainPeriod)
	if !s.hasReadyPeer() {
		time.Sleep(time.Until(drainEnd))
	}
	if err := s.clients.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn("closing the listener failed", "error", err) // shutdown continues: requests in flight need responses
	}
	s.logPhase("listener closed", started)
	time.Sleep(time.Until(drainEnd))
	s.admission.close()
	s.logPhase("admission closed", started)
	s.awaitInFlight(started, time.Now())
	s.logPhase("shutdown complete", started)
	s.http.Close()
	requests, stages := s.loop.stages.Summary()
	s.log.Info("stage latencies", "requests", requests, "median/p99_us", stages)
}

// awaitInFlight waits until every request in flight has its response and every connection is closed, within the time
// limits above. Requests that are still incomplete shortly before SIGKILL is due are rejected. The time of SIGKILL is
// computed from started, the start of the shutdown.
func (s *server) awaitInFlight(started, admissionClosedAt time.Time) {
	longestTimeout := min(s.loop.current.Load().LongestClientTimeout(), maxClientTimeout)
	partialDeadline := started.Add(longestTimeout + killDelay - killMargin)
	idleSince := time.Time{} // start of the period with nothing in flight; zero while a request is in flight
	// The loop starts with a pause because a connection that is just being accepted may not be in the count yet.
	for time.Sleep(sweepInterval); s.clients.Count() > 0; time.Sleep(sweepInterval) {
		now := time.Now()
		s.clients.ExpireIdle(0, 0)
		if now.After(partialDeadline) {
			s.clients.RejectPartial()
		}
		if latest, found := s.inFlight.latestDeadline(admissionClosedAt); found {
			idleSince = time.Time{}
			if now.After(latest.Add(responseGrace)) {
				s.abortInFlight()
				return
			}
			continue
		}
		if idleSince.IsZero() {
			idleSince = now
		}
		if now.Sub(idleSince) > closeGrace && now.Sub(partialDeadline) > closeGrace {
			return
		}
	}
}

// logPhase logs the start of a phase of shutdown, with the numbers of open connections and requests.
func (s *server) logPhase(phase string, started time.Time) {
	s.log.Info(phase, "after_ms", time.Since(started).Milliseconds(), "connections", s.clients.Count(),
		"requests", s.inFlight.count(), "replaced", s.hasReadyPeer())
}

// abortInFlight logs each request that has no complete response when the process ends. The request's connection will be
// reset when it is closed, so that the client does not mistake a partial response for a complete one.
func (s *server) abortInFlight() {
	for _, r := range s.inFlight.all() {
		r.conn.ResetOnClose()
		s.log.Error("request aborted by shutdown", "id", r.id, "class", r.class,
			"age_ms", time.Since(r.arrivedAt).Milliseconds(), "remaining_ms", time.Until(r.deadline).Milliseconds(),
			"connection_age_ms", time.Since(r.conn.AcceptedAt).Milliseconds(), "requests_on_connection", r.conn.Requests)
	}
}
