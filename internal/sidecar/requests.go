package sidecar

import (
	"context"
	"net/http"

	"oakproxy/balancer"
	"oakproxy/internal/stages"
	"oakproxy/internal/upstream"
)

// requestTable holds the requests that the balancer may still speak of: those without a final response, and those
// with attempts in flight. The loop's goroutine owns it.
type requestTable struct {
	byID   map[uint64]*request
	lastID uint64
}

func newRequestTable() requestTable { return requestTable{byID: map[uint64]*request{}} }

// add enters a request under a new id.
func (t *requestTable) add(r *request) {
	t.lastID++
	r.id = t.lastID
	t.byID[r.id] = r
}

// forgetIfDone removes a request that is finished and has no attempt in flight.
func (t *requestTable) forgetIfDone(r *request) {
	if r.finished && r.inFlight == 0 {
		delete(t.byID, r.id)
	}
}

// request is an entry of the request table. Its handler makes it and reads response and times; all else is the
// loop's once the request is admitted.
type request struct {
	id           uint64
	message      *upstream.Request
	deadline     balancer.Micros
	response     chan finalResponse // takes the one final response
	finished     bool               // the final response is given, or the client is gone
	attempts     []attempt
	inFlight     int         // attempts without outcome
	clientClosed func() bool // looks at the client's connection
	times        stages.RequestTimes
}

// attempt is an attempt that was started.
type attempt struct {
	cancel context.CancelFunc
	gate   *upstream.Gate
}

// cancelUnsent calls the attempt off unless its first byte may be out.
func (a *attempt) cancelUnsent() {
	if a.gate.Close() {
		a.cancel()
	}
}

// finish marks that nothing new may begin for the request. An attempt that is not sent yet is called off whether or
// not the settings let one be cancelled: no endpoint knows of it.
func (r *request) finish() {
	r.finished = true
	for i := range r.attempts {
		r.attempts[i].cancelUnsent()
	}
}

// recordTimes takes the times of the attempt that succeeded if the stages of the request are complete: it was the
// first and only attempt, and no body was streamed.
func (r *request) recordTimes(times stages.AttemptTimes) {
	if !r.finished && len(r.attempts) == 1 && r.message.Upload == nil {
		r.times.Attempt = times
	}
}

// finalResponse is the one response that a request's client gets. Whoever has it must call close.
type finalResponse struct {
	code        int
	retryAfter  balancer.Micros // 0 for no Retry-After
	header      http.Header
	body        []byte
	remainder   *upstream.BodyStream // what follows body, still arriving; nil if body is complete
	length      int64                // of body and remainder together, -1 if unknown; unused without a remainder
	releaseBody func()               // returns the memory reserved for body; may be nil
}

// close releases what the response holds. It must be called once for each, also for one that is never written.
func (f *finalResponse) close() {
	if f.remainder != nil {
		f.remainder.Close()
	}
	if f.releaseBody != nil {
		f.releaseBody()
	}
}
