package sidecar

import (
	"context"
	"errors"
	"log/slog"
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
//	                  except while another process of the sidecar is ready, which then accepts them
//	admission closed  connections without a request are closed, requests read from now on are rejected before any
//	                  attempt, and streamed bodies are stopped before their last byte is forwarded
//	answering         requests in flight are answered by their deadlines; responses that have begun are relayed for
//	                  as long as their endpoints send them, up to the time of SIGKILL
//	ended             nothing is in flight: the remaining connections are closed

const (
	// defaultDrainPeriod is the drain period outside tests. Clients continue to connect for 0.4 s after SIGTERM, and
	// requests that arrive up to 0.7 s after SIGTERM must get a response. Requests that arrive after the drain period
	// get a rejection as their response.
	defaultDrainPeriod = 600 * time.Millisecond

	killDelay        = 700 * time.Millisecond // SIGKILL follows SIGTERM after the longest client timeout plus killDelay
	maxClientTimeout = 3 * time.Second        // upper limit of the longest client timeout in the time of SIGKILL
	killMargin       = 150 * time.Millisecond // time before SIGKILL at which partial requests are rejected
	responseGrace    = 500 * time.Millisecond // how long requests in flight are awaited after their deadlines and SIGKILL

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

// unsentResponse is the response to a request that has not run and never will: one that was read after admission had
// closed, or one whose body was not forwarded in time. The client may send it again immediately.
var unsentResponse = finalResponse{code: http.StatusServiceUnavailable}

// terminate shuts the server down in the phases described above. It returns when the last phase has ended.
func (s *server) terminate() {
	s.terminating.Store(true)
	s.withdrawReadiness()
	started := time.Now()
	s.logPhase("shutdown started", started)
	s.acceptUntil(started.Add(s.drainPeriod), started)
	if err := s.clients.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn("closing the listener failed", "error", err) // shutdown continues: requests in flight need responses
	}
	s.logPhase("listener closed", started)
	s.admission.close()
	s.logPhase("admission closed", started)
	s.awaitInFlight(newAnsweringPhase(s, started, time.Now()))
	s.logPhase("shutdown complete", started)
	s.http.Close()
	requests, stages := s.loop.stages.Summary()
	s.log.Info("stage latencies", "requests", requests, "median/p99_us", stages)
}

// acceptUntil accepts connections until the time end, except while another process of the sidecar is ready. That process
// may end, too, so its state is looked at again and again.
func (s *server) acceptUntil(end, shutdownStarted time.Time) {
	paused := false
	for remaining := time.Until(end); remaining > 0; remaining = time.Until(end) {
		if replaced := s.hasReadyPeer(); replaced != paused {
			paused = replaced
			s.clients.SetPaused(paused)
			s.logPhase("accepting changed", shutdownStarted)
		}
		time.Sleep(min(sweepInterval, remaining))
	}
}

// awaitInFlight waits until the answering phase has ended or every connection is closed.
func (s *server) awaitInFlight(phase *answeringPhase) {
	// The loop starts with a pause because a connection that is just being accepted may not be in the count yet.
	for time.Sleep(sweepInterval); s.clients.Count() > 0; time.Sleep(sweepInterval) {
		if phase.step(time.Now()) {
			return
		}
	}
}

// logPhase logs the start of a phase of shutdown, with the numbers of open connections and requests.
func (s *server) logPhase(phase string, started time.Time) {
	s.log.Info(phase, "after_ms", time.Since(started).Milliseconds(), "connections", s.clients.Count(),
		"requests", s.inFlight.count(), "replaced", s.hasReadyPeer())
}

// logInFlight logs each request in flight.
func (s *server) logInFlight(level slog.Level, message string) {
	for _, r := range s.inFlight.all() {
		s.log.Log(context.Background(), level, message, "id", r.id, "class", r.class,
			"age_ms", time.Since(r.arrivedAt).Milliseconds(), "remaining_ms", time.Until(r.deadline).Milliseconds(),
			"connection_age_ms", time.Since(r.conn.AcceptedAt).Milliseconds(), "requests_on_connection", r.conn.Requests,
			"relaying", r.conn.Relaying())
	}
}
