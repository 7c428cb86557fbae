package sidecar

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Termination ends the process after SIGTERM in phases. None waits for another one's time limit: each request has its
// answer by its own deadline, and no request is taken that could not have it.
//
//	leaving    from SIGTERM for drainPeriod: connections and requests are taken as before; each answer ends its
//	           connection, and so does a pause between requests
//	closed     admission is closed: connections without a request end, a request that is read now is refused before
//	           any attempt, and a body that is passed on is stopped short of its last byte
//	answering  requests in hand are answered by their deadlines
//	ended      nothing is in hand: what is left is closed

const (
	defaultDrainPeriod = 600 * time.Millisecond // after SIGTERM: clients go on connecting for 0.4 s, and what comes up to 0.7 s after it is owed an answer
	killAfter          = 700 * time.Millisecond // SIGKILL comes so long after SIGTERM and the longest deadline,
	maxKillDeadline    = 3 * time.Second        // of which no more than this counts
	killMargin         = 150 * time.Millisecond // ahead of SIGKILL for ending what is half read
	responseGrace      = 500 * time.Millisecond // after its client's time is up a request may still be answered
	endGrace           = 600 * time.Millisecond // with nothing in hand, for clients to end their side: over closeDrain
)

// requestAdmission says whether requests are taken. It closes once, at termination.
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

// terminatingResponse answers what is read once admission is closed. Nothing of it was sent anywhere: another process
// can serve it at once.
var terminatingResponse = finalResponse{code: http.StatusServiceUnavailable}

// rejectTerminating answers a request that was read whole, and ends its connection.
func rejectTerminating(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeFinalResponse(w, terminatingResponse)
}

// terminate ends the service without losing a request.
func (s *server) terminate() {
	s.terminating.Store(true)
	begun := time.Now()
	s.logPhase("shutdown started", begun)
	closing := begun.Add(s.drainPeriod)
	if !s.replaced() {
		time.Sleep(time.Until(closing))
	}
	if err := s.clients.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn("closing the listener failed", "error", err) // what is in hand is owed its answer all the same
	}
	s.logPhase("listener closed", begun)
	time.Sleep(time.Until(closing))
	s.admission.close()
	s.logPhase("admission closed", begun)
	s.awaitInFlight(begun, time.Now())
	s.logPhase("shutdown complete", begun)
	s.http.Close()
	requests, stages := s.loop.stages.Summary()
	s.log.Info("stage latencies", "requests", requests, "median/p99_us", stages)
}

// awaitInFlight waits until every request in hand has its answer and every connection has ended. What clients leave
// half written is refused shortly before SIGKILL may come, counted from begun.
func (s *server) awaitInFlight(begun, closed time.Time) {
	partialUntil := begun.Add(min(s.loop.current.Load().LongestClientTimeout(), maxKillDeadline) + killAfter - killMargin)
	idle := time.Time{} // since when nothing is in hand
	// The first wait is for a connection that is being accepted just now.
	for time.Sleep(sweepInterval); s.clients.Count() > 0; time.Sleep(sweepInterval) {
		now := time.Now()
		s.clients.CloseIdle(0, 0)
		if now.After(partialUntil) {
			s.clients.RejectPartial()
		}
		if due, any := s.inFlight.latestDeadline(closed); any {
			idle = time.Time{}
			if now.After(due.Add(responseGrace)) {
				s.abortInFlight()
				return
			}
			continue
		}
		if idle.IsZero() {
			idle = now
		}
		if now.Sub(idle) > endGrace && now.Sub(partialUntil) > endGrace {
			return
		}
	}
}

// logPhase records that a phase of termination begins, and what there is at that moment.
func (s *server) logPhase(phase string, begun time.Time) {
	s.log.Info(phase, "after_ms", time.Since(begun).Milliseconds(), "connections", s.clients.Count(),
		"requests", s.inFlight.count(), "replaced", s.replaced())
}

// abortInFlight records each request that the end of the process leaves without its whole answer, and has its client see that
// it is not whole.
func (s *server) abortInFlight() {
	for _, r := range s.inFlight.all() {
		r.conn.ResetOnClose()
		s.log.Error("request aborted by shutdown", "id", r.id, "class", r.class,
			"age_ms", time.Since(r.arrivedAt).Milliseconds(), "remaining_ms", time.Until(r.deadline).Milliseconds(),
			"connection_age_ms", time.Since(r.conn.AcceptedAt).Milliseconds(), "requests_on_connection", r.conn.Requests)
	}
}
