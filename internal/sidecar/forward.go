package sidecar

import (
	"errors"
	"net/http"
	"os"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/downstream"
	"oakproxy/internal/requestids"
)

// waitEnd says how a handler's wait for the final response has ended.
type waitEnd uint8

const (
	waitClientLost      waitEnd = iota // the client is gone, or too slow with its body
	waitAdmissionClosed                // admission has closed before the last byte of the body was forwarded
	waitUploadOverdue                  // the body was not forwarded by the upload's forwarding deadline
	waitUnreadableBody                 // the body cannot be read
	waitAnswered                       // the loop has chosen the final response
)

// forward passes a request to the loop and ends it in exactly one way: it writes the loop's final response, rejects the
// request because its body cannot be read or admission has closed, or aborts the connection of a client that is gone or
// too slow with its body.
func (s *server) forward(x *exchange) {
	openReq := newOpenRequest(x, s.loop.clock.timeAt(x.request.Deadline))
	id := openReq.id
	upload := x.message.Upload
	if upload != nil {
		openReq.isUpload, openReq.timeAfterBody = true, upload.TimeLeft
	}
	if !s.inFlight.add(openReq) {
		rejectInvalid(x.w, x.in,
			downstream.NewRequestError(http.StatusConflict, "a request with this X-Correlation-Id is open"))
		return
	}
	defer s.inFlight.remove(openReq)
	switch s.ids.Claim(id, x.repeatIsHarmful()) {
	case requestids.Duplicate:
		rejectInvalid(x.w, x.in,
			downstream.NewRequestError(http.StatusConflict, "a request with this X-Correlation-Id may have run"))
		return
	case requestids.Full:
		rejectUnread(x.w, x.in,
			finalResponse{code: http.StatusServiceUnavailable, retryAfter: busyRetryAfter.Microseconds()})
		return
	}
	if upload != nil {
		defer upload.Finish()
	}
	r := &request{response: make(chan finalResponse, 1), message: x.message,
		memory: x.memory, clientClosed: x.conn.ClientClosed, times: x.times,
		releaseClientID: func() { s.ids.Release(id) }}
	r.memory.Retain()
	s.admit(r, x.request)
	response, end := s.awaitResponse(x, r)
	if upload != nil && upload.Overdue(time.Now()) {
		s.overdue.Add(1)
	}
	switch end {
	case waitAnswered:
		s.respond(x, r, openReq, response)
	case waitAdmissionClosed, waitUploadOverdue:
		rejectAndClose(x.w)
		s.inFlight.remove(openReq)
		s.drainUpload(x.w, x.conn, upload)
	case waitUnreadableBody:
		rejectInvalid(x.w, x.in, downstream.NewBadRequest("the body could not be read"))
	case waitClientLost:
		// The client may have closed only its sending side and may still be reading. If the handler returned, net/http
		// would write a complete, empty response, which no endpoint has sent. The panic closes the connection instead.
		panic(http.ErrAbortHandler)
	}
}

// repeatIsHarmful reports whether the request must not be executed twice.
func (x *exchange) repeatIsHarmful() bool {
	return x.request.ReceivedUnder.Classes[x.request.Class].Idempotency != balancer.Idempotent
}

// uploadDeadlineGrace is how much later than the attempt the handler ends an upload that is overdue. If the attempt has
// begun, it ends first, and the balancer learns that the endpoint is too slow.
const uploadDeadlineGrace = 20 * time.Millisecond

// awaitResponse waits for the loop's final response, and returns it if the wait ends with waitAnswered. In any other
// case, it makes the loop end the request. An upload must be forwarded by its forwarding deadline, whatever it waits for:
// probes, connections, other attempts or an endpoint.
func (s *server) awaitResponse(x *exchange, r *request) (response finalResponse, end waitEnd) {
	defer func() {
		if end != waitAnswered {
			s.abandon(r)
		}
	}()
	var uploadFailed <-chan error
	var admissionClosed <-chan struct{}
	var overdue <-chan time.Time
	upload := r.message.Upload
	if upload != nil {
		uploadFailed, admissionClosed = upload.ClientFailure, s.admission.closed
		timer := time.NewTimer(time.Until(upload.ForwardingDeadline()) + uploadDeadlineGrace)
		defer timer.Stop()
		overdue = timer.C
	}
	for {
		select {
		case response := <-r.response:
			return response, waitAnswered
		case <-admissionClosed:
			if upload.Stop() {
				return finalResponse{}, waitAdmissionClosed
			}
			admissionClosed = nil // the last byte may have been sent, so the request still awaits its response
		case <-overdue:
			wait := time.Until(upload.ForwardingDeadline()) + uploadDeadlineGrace
			if wait <= 0 && upload.Stop() {
				return finalResponse{}, waitUploadOverdue
			}
			overdue = nil // the last byte may have been sent, so the request still awaits its response
			if wait > 0 {
				overdue = time.After(wait)
			}
		case failure := <-uploadFailed:
			if errors.Is(failure, os.ErrDeadlineExceeded) {
				return finalResponse{}, waitClientLost
			}
			return finalResponse{}, waitUnreadableBody
		case <-x.clientLeft:
			return finalResponse{}, waitClientLost
		case <-x.in.Context().Done():
			return finalResponse{}, waitClientLost
		}
	}
}

// admit makes the loop pass a request to the balancer.
func (s *server) admit(r *request, in balancer.Request) {
	s.loop.events.post(func(now balancer.Micros) { s.loop.admit(now, r, in) })
}

// abandon makes the loop end a request whose handler no longer receives the final response.
func (s *server) abandon(r *request) {
	s.loop.events.post(func(now balancer.Micros) { s.loop.handleClientGone(now, r) })
}

// respond writes the final response. The request is in flight until the last byte of the response is written.
func (s *server) respond(x *exchange, r *request, openReq *openRequest, response finalResponse) {
	defer response.close()
	if upload := x.message.Upload; upload != nil {
		defer s.drainUpload(x.w, x.conn, upload)
	}
	s.writeResponse(x.w, x.conn, r, response)
	s.inFlight.remove(openReq)
}
