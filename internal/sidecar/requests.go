package sidecar

import (
	"context"
	"net/http"

	"oakproxy/balancer"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/stages"
	"oakproxy/internal/upstream"
)

// requestTable holds the requests that the balancer's actions may still refer to: those without a final response and
// those with attempts in flight. Only its methods change whether a request is finished and how many attempts it has in
// flight, and they remove the request with the last of these changes, whatever event has caused it. The loop's
// goroutine owns the table.
type requestTable struct {
	byID   map[uint64]*request
	lastID uint64 // id given last; ids start at 1
}

func newRequestTable() requestTable { return requestTable{byID: map[uint64]*request{}} }

// add gives a request a new id and adds it to the table.
func (t *requestTable) add(r *request) {
	t.lastID++
	r.id = t.lastID
	t.byID[r.id] = r
}

// finish marks a request as finished, after which it gets no new attempt. It cancels the attempts that are not sent
// yet, even if the settings do not allow cancelling attempts: no endpoint knows of an attempt that was not sent.
func (t *requestTable) finish(r *request) {
	r.finished = true
	for i := range r.attempts {
		r.attempts[i].cancelUnsent()
	}
	t.removeIfDone(r)
}

// beginAttempt adds an attempt to a request. The attempt is in flight until endAttempt is called for it.
func (t *requestTable) beginAttempt(r *request, a attempt) {
	r.attempts = append(r.attempts, a)
	r.inFlight++
}

// endAttempt records that one of the attempts of a request has an outcome.
func (t *requestTable) endAttempt(r *request, status balancer.Status) {
	r.inFlight--
	r.mayHaveExecuted = r.mayHaveExecuted || !status.NeverExecuted()
	t.removeIfDone(r)
}

// removeIfDone removes a request from the table if it is finished and has no attempt in flight.
func (t *requestTable) removeIfDone(r *request) {
	if _, found := t.byID[r.id]; found && r.finished && r.inFlight == 0 {
		delete(t.byID, r.id)
		r.memory.Release()
		if !r.mayHaveExecuted {
			r.releaseClientID()
		}
	}
}

// request is an entry of the request table. The request's HTTP handler creates it and passes it to the loop. From then
// on, the loop's goroutine owns it. The handler only receives the final response from the channel response, and after
// that uses the field times.
type request struct {
	id           uint64
	message      *upstream.Request     // the request to forward
	memory       *httpmsg.SharedMemory // memory of message, of which the table is an owner
	deadline     balancer.Micros       // time by which the final response is due
	response     chan finalResponse    // channel for the final response, with room for it; sent to at most once
	finished     bool                  // whether a final response was chosen, or the client is gone; see requestTable.finish
	attempts     []attempt
	inFlight     int         // number of attempts without an outcome; see requestTable.beginAttempt
	clientClosed func() bool // function that reports whether the client has closed its connection
	times        stages.RequestTimes

	mayHaveExecuted bool   // whether an attempt has an outcome that does not prove that it was never executed
	releaseClientID func() // allows the client's id to be used again; called if the request was never executed
}

// attempt is a started attempt of a request.
type attempt struct {
	cancel context.CancelFunc
	gate   *upstream.Gate
}

// cancelUnsent cancels the attempt unless its first byte may already have been sent.
func (a *attempt) cancelUnsent() {
	if a.gate.Close() {
		a.cancel()
	}
}

// recordTimes stores the times of the successful attempt if all stages of the request can be measured: it was the first
// and only attempt, and the request's body was not streamed.
func (r *request) recordTimes(times stages.AttemptTimes) {
	if !r.finished && len(r.attempts) == 1 && r.message.Upload == nil {
		r.times.Attempt = times
	}
}

// finalResponse is the only response that a request's client gets. Its holder must call close.
type finalResponse struct {
	code        int             // HTTP status code
	retryAfter  balancer.Micros // value of Retry-After; 0 means that the header is not sent
	header      http.Header
	body        []byte
	remainder   *upstream.BodyStream // rest of the body, which is still arriving; nil if body is complete
	length      int64                // bytes of body and remainder together, -1 if unknown; unused without a remainder
	releaseBody func()               // function that releases the memory reserved for body; may be nil
}

// close releases the resources of the response. It must be called exactly once for each response, even for one that is
// never written to a client.
func (f *finalResponse) close() {
	if f.remainder != nil {
		f.remainder.Close()
	}
	if f.releaseBody != nil {
		f.releaseBody()
	}
}
