package sidecar

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Shutdown ends the sidecar after SIGTERM in phases. None waits for another one's time limit: each request has its
// response by its own deadline, and none is admitted that could not have it.
//
//	draining          from SIGTERM for the drain period: connections and requests are admitted as before; each
//	                  response ends its connection, and so does a pause between requests
//	admission closed  connections without a request end, a request that is read now is rejected before any attempt,
//	                  and a body that is streamed is stopped short of its last byte
//	answering         requests in flight are answered by their deadlines
//	ended             nothing is in flight: connections that remain are closed

const (
	// defaultDrainPeriod is the drain period. Clients go on connecting for 0.4 s after SIGTERM, and what comes up to
	// 0.7 s after it is owed a response.
	defaultDrainPeriod = 600 * time.Millisecond

	killDelay        = 700 * time.Millisecond // SIGKILL comes so long after SIGTERM and the longest client timeout
	maxClientTimeout = 3 * time.Second        // the most that counts of that timeout
	killMargin       = 150 * time.Millisecond // before SIGKILL, partial requests are rejected
	responseGrace    = 500 * time.Millisecond // after its deadline, a request in flight may still be answered
	closeGrace       = 600 * time.Millisecond // with nothing in flight, for clients to close: more than half-closing takes
)

// requestAdmission says whether requests are admitted. It closes once, at shutdown, and may be used by any goroutine.
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

// terminatingResponse answers what is read once admission is closed. Nothing of it was forwarded, and another process
// can serve it at once.
var terminatingResponse = finalResponse{code: http.StatusServiceUnavailable}

// terminate shuts the server down without losing a request.
func (s *server) terminate() {
	s.terminating.Store(true)
	started := time.Now()
	s.logPhase("shutdown started", started)
	drainEnd := started.Add(s.drainPeriod)
	if !s.hasReadyPeer() {
		time.Sleep(time.Until(drainEnd))
	}
	if err := s.clients.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn("closing the listener failed", "error", err) // what is in flight is owed its response all the same
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

// awaitInFlight waits until every request in flight has its response and every connection has ended. Requests that
// are still partial are rejected shortly before SIGKILL may come, counted from started.
func (s *server) awaitInFlight(started, admissionClosedAt time.Time) {
	longestTimeout := min(s.loop.current.Load().LongestClientTimeout(), maxClientTimeout)
	partialDeadline := started.Add(longestTimeout + killDelay - killMargin)
	idleSince := time.Time{} // when nothing was left in flight; zero while something is
	// The first wait is for a connection that is being accepted just now.
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

// logPhase logs that a phase of shutdown begins, and what is open at that moment.
func (s *server) logPhase(phase string, started time.Time) {
	s.log.Info(phase, "after_ms", time.Since(started).Milliseconds(), "connections", s.clients.Count(),
		"requests", s.inFlight.count(), "replaced", s.hasReadyPeer())
}

// abortInFlight logs each request that the end of the process leaves without its complete response. Its connection is
// reset when it is closed, so that its client does not take a partial response for a complete one.
func (s *server) abortInFlight() {
	for _, r := range s.inFlight.all() {
		r.conn.ResetOnClose()
		s.log.Error("request aborted by shutdown", "id", r.id, "class", r.class,
			"age_ms", time.Since(r.arrivedAt).Milliseconds(), "remaining_ms", time.Until(r.deadline).Milliseconds(),
			"connection_age_ms", time.Since(r.conn.AcceptedAt).Milliseconds(), "requests_on_connection", r.conn.Requests)
	}
}
