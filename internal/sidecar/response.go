package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"oakproxy/internal/downstream"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/upstream"
)

// writeResponse writes the final response, and relays the part of its body that is still arriving from the endpoint.
func (s *server) writeResponse(w http.ResponseWriter, conn *downstream.Conn, r *request, response finalResponse) {
	r.times.ResultReceived = time.Now()
	// Clients must send one request at a time. Bytes that follow this request are not served as another request, and
	// the connection is closed after the response. The reason is that only the client's framing says that these bytes
	// do not belong to this request, and the framing may be wrong.
	extraBytes := conn.BeginResponse()
	bodyPending := false
	if upload := r.message.Upload; upload != nil {
		bodyPending = !upload.ReachedEOF.Load() || !conn.FinishRequestRead(upload.Length)
	}
	if extraBytes || bodyPending || s.clients.OverUsedLimit(conn) || s.draining() {
		w.Header().Set("Connection", "close")
	}
	if response.remainder == nil {
		writeFinalResponse(w, response)
		s.recordStages(r)
		return
	}
	writeBeginning := func() { writeFinalResponse(w, response) }
	if err := downstream.Relay(w, conn, writeBeginning, response.remainder); err != nil {
		s.logCutOff(r, conn, err)
		panic(http.ErrAbortHandler)
	}
}

// logCutOff logs that a relayed response was cut off. If its client has left, that is no trouble of the endpoint.
func (s *server) logCutOff(r *request, conn *downstream.Conn, err error) {
	level := slog.LevelInfo
	if conn.ClientClosed() {
		level = slog.LevelDebug
	}
	s.log.Log(context.Background(), level, "relayed response cut off",
		"id", r.message.Header.Get("X-Correlation-Id"), "class", r.message.Header.Get("X-Service-Class"), "error", err)
}

// recordStages records the times of the stages of an answered request, if the times of its attempt are known.
func (s *server) recordStages(r *request) {
	if r.times.Attempt.Received.IsZero() {
		return
	}
	r.times.ResponseReturned = time.Now()
	s.loop.stages.Record(&r.times)
}

// drainUpload discards the rest of a streamed body, so that a client that already has its response can finish sending.
func (s *server) drainUpload(w http.ResponseWriter, conn *downstream.Conn, upload *upstream.Upload) {
	if upload.ReachedEOF.Load() {
		clearReadDeadline(conn)
		return
	}
	_ = http.NewResponseController(w).Flush() // the error is ignored: if the client is gone, Discard notices it
	upload.Finish()
	limit := upstream.MaxUploadTime
	if s.terminating.Load() {
		limit = downstream.MaxLinger
	}
	upload.Body.Discard(limit)
}

// rejectUnread responds to a request whose body may be partly unread, and ends its connection.
func rejectUnread(w http.ResponseWriter, in *http.Request, response finalResponse) {
	w.Header().Set("Connection", "close")
	writeFinalResponse(w, response)
	if http.NewResponseController(w).Flush() != nil {
		return // the client is gone
	}
	downstream.NewBody(clientConn(in), in).Discard(downstream.MaxLinger)
}

// rejectInvalid responds to a request that violates the protocol and ends its connection, because nothing else from
// such a client needs to be read. The status is that of err if it is a *downstream.RequestError, and otherwise 400.
func rejectInvalid(w http.ResponseWriter, in *http.Request, err error) {
	code := http.StatusBadRequest
	var invalid *downstream.RequestError
	if errors.As(err, &invalid) {
		code = invalid.StatusCode
	}
	reason := err.Error() + "\n"
	rejectUnread(w, in, finalResponse{code: code, body: []byte(reason), header: http.Header{
		"Content-Type": {"text/plain; charset=utf-8"}, "X-Content-Type-Options": {"nosniff"}}})
}

// rejectAndClose rejects a request of which no endpoint has got the last byte, and ends its connection.
func rejectAndClose(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeFinalResponse(w, unsentResponse)
}

// writeFinalResponse writes the head of a response and the buffered part of its body.
func writeFinalResponse(w http.ResponseWriter, response finalResponse) {
	httpmsg.CopyEndToEnd(w.Header(), response.header)
	if response.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(response.retryAfter)/1e6, 'f', 3, 64))
	}
	if response.remainder == nil {
		response.length = int64(len(response.body))
	}
	if response.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.length, 10))
	}
	// net/http's write timeout begins when the request's head is read, which may be long ago. The deadline is therefore
	// set anew.
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(response.code)
	w.Write(response.body)
}
