package sidecar

import (
	"errors"
	"net/http"
	"os"

	"oakproxy/balancer"
	"oakproxy/internal/downstream"
)

// forward passes a request to the loop and ends it in exactly one way: it writes the loop's final response, rejects the
// request because its body cannot be read or admission has closed, or aborts the connection of a client that is gone or
// too slow with its body.
func (s *server) forward(x *exchange) {
	openReq := newOpenRequest(x, s.loop.clock.timeAt(x.request.Deadline))
	var uploadFailed <-chan error
	var admissionClosed <-chan struct{}
	upload := x.message.Upload
	if upload != nil {
		uploadFailed, admissionClosed = upload.ClientFailure, s.admission.closed
		openReq.isUpload, openReq.timeAfterBody = true, upload.TimeLeft
	}
	if !s.inFlight.add(openReq) {
		rejectInvalid(x.w, x.in,
			downstream.NewRequestError(http.StatusConflict, "a request with this X-Correlation-Id is open"))
		return
	}
	defer s.inFlight.remove(openReq)
	if upload != nil {
		defer upload.Finish()
	}
	r := &request{response: make(chan finalResponse, 1), message: x.message,
		clientClosed: x.conn.ClientClosed, times: x.times}
	s.admit(r, x.request)
	for {
		select {
		case response := <-r.response:
			s.respond(x, r, openReq, response)
			return
		case <-admissionClosed:
			admissionClosed = nil
			if upload.Stop() { // false if the last byte may have been sent; the request then still awaits its response
				s.abandon(r)
				rejectTerminating(x.w)
				s.inFlight.remove(openReq)
				s.drainUpload(x.w, x.conn, upload)
				return
			}
		case err := <-uploadFailed:
			s.abandon(r)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				panic(http.ErrAbortHandler)
			}
			rejectInvalid(x.w, x.in, downstream.NewBadRequest("the body could not be read"))
			return
		case <-x.clientLeft:
			s.abandon(r)
			panic(http.ErrAbortHandler)
		case <-x.in.Context().Done():
			s.abandon(r)
			// The client may have closed only its sending side and may still be reading. If the handler returned,
			// net/http would write a complete, empty response, which no endpoint has sent. The panic closes the
			// connection instead.
			panic(http.ErrAbortHandler)
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
