package sidecar

import (
	"errors"
	"io"
	"net/http"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/downstream"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/stages"
	"oakproxy/internal/system"
	"oakproxy/internal/upstream"
)

// readyPath is the path on which the application asks whether it may send requests.
const readyPath = "/health/ready"

// isReadinessCheck reports whether a request is the application's readiness check, which the sidecar answers itself.
// Any other request, also one for readyPath with another method or with a body, must be a client's request.
func isReadinessCheck(in *http.Request) bool {
	return in.URL.Path == readyPath && in.ContentLength == 0 &&
		(in.Method == http.MethodGet || in.Method == http.MethodHead)
}

// exchange is the state of a client's request in its handler: the request as received, its parsed forms, and the writer
// of its response. Only the handler's goroutine uses it.
type exchange struct {
	w          http.ResponseWriter
	in         *http.Request
	conn       *downstream.Conn
	request    balancer.Request
	message    *upstream.Request
	times      stages.RequestTimes
	memory     *httpmsg.SharedMemory // memory of the head and the buffered body
	bodyMemory *int64                // bytes of memory that are reserved for the body
	clientLeft <-chan struct{}       // channel closed when the client disconnects and net/http cannot detect it; may be nil
}

// serveRequest responds to whatever net/http has read as a request: to a readiness check, to a client's request, and
// with an error to anything else.
func (s *server) serveRequest(w http.ResponseWriter, in *http.Request) {
	if isReadinessCheck(in) {
		s.serveReadinessCheck(w, in)
		return
	}
	s.serveClientRequest(w, in)
}

// serveClientRequest reads a client's request and responds to it. A body that does not fit into the buffer is streamed.
func (s *server) serveClientRequest(w http.ResponseWriter, in *http.Request) {
	in.Trailer = nil // trailers are not forwarded
	x := exchange{w: w, in: in, conn: clientConn(in)}
	age := system.LastDataAge(x.conn.Conn) // the request may have waited in the socket before this process read it
	arrived := s.loop.clock.now() - age.Microseconds()
	x.times.Arrived = time.Now()
	var err error
	if x.request, err = s.readHead(in, x.conn, arrived); err != nil {
		rejectInvalid(w, in, err)
		return
	}
	x.takeMemory(s.loop.upstream.Memory)
	defer x.memory.Release()
	if in.ContentLength < 0 || in.ContentLength > httpmsg.MaxBufferedBytes {
		x.conn.TrackLastByte(x.times.Arrived.Add(-age), in.ContentLength)
	}
	stream := downstream.NewBody(x.conn, in)
	body, complete, err := x.readBody(stream, &s.loop.upstream.Memory.Bodies)
	switch {
	case errors.Is(err, errNoBodyMemory):
		rejectUnread(w, in, finalResponse{code: http.StatusServiceUnavailable, retryAfter: busyRetryAfter.Microseconds()})
		return
	case (err != nil || !complete) && s.admission.isClosed():
		rejectUnread(w, in, unsentResponse)
		return
	case err != nil:
		rejectInvalid(w, in, err)
		return
	case !x.conn.BeginRequest(): // the connection was just closed to make room for a new one
		panic(http.ErrAbortHandler)
	}
	x.message = &upstream.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: in.Header, Body: body}
	if complete {
		s.serveComplete(&x, arrived)
		return
	}
	timeLeft := time.Duration(x.request.Deadline-arrived) * time.Microsecond
	x.message.Upload = &upstream.Upload{Length: in.ContentLength, TimeLeft: timeLeft, Body: stream,
		ClientFailure: make(chan error, 1)}
	x.request.StreamingBody, x.request.Deadline = true, arrived+upstream.MaxUploadTime.Microseconds()
	s.forward(&x)
}

// serveComplete responds to a request whose body has been read completely. arrived is the time of the request's arrival
// by the loop's clock.
func (s *server) serveComplete(x *exchange, arrived balancer.Micros) {
	// The client's time begins with the request's last byte.
	x.request.Deadline += max(0, s.loop.clock.now()-system.LastDataAge(x.conn.Conn).Microseconds()-arrived)
	// If the read deadline stayed set, it would end the request's context while the response is still awaited.
	clearReadDeadline(x.conn)
	nothingFollows := x.conn.FinishRequestRead(x.in.ContentLength)
	if s.admission.isClosed() {
		rejectAndClose(x.w)
		return
	}
	x.times.BodyRead = time.Now()
	x.clientLeft = x.conn.NotifyDisconnect(nothingFollows)
	s.forward(x)
}

// serveReadinessCheck tells the application whether it may send requests: status 200 if so, 503 if not.
func (s *server) serveReadinessCheck(w http.ResponseWriter, in *http.Request) {
	conn := clientConn(in)
	if !conn.BeginRequest() { // the connection was just closed to make room for a new one
		panic(http.ErrAbortHandler)
	}
	nothingFollows := conn.FinishRequestRead(in.ContentLength)
	if !nothingFollows || s.draining() || s.clients.OverUsedLimit(conn) {
		w.Header().Set("Connection", "close")
	}
	if !s.acceptsRequests() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readHead checks the head of a client's request and returns the balancer's description of the request.
func (s *server) readHead(in *http.Request, conn *downstream.Conn, arrived balancer.Micros) (
	req balancer.Request, err error) {
	if conn.HasAmbiguousLength() {
		// What follows the head may hide another request, so the error makes the caller close the connection.
		return req, downstream.NewBadRequest("Content-Length beside another, or beside Transfer-Encoding")
	}
	if req, err = s.parseRequest(in, arrived); err != nil {
		return req, err
	}
	if in.ContentLength > httpmsg.MaxBodyBytes {
		return req, downstream.ErrBodyTooLarge
	}
	return req, nil
}

// errNoBodyMemory is the error of readBody if the memory for bodies is used up.
var errNoBodyMemory = errors.New("no memory for the body of the request")

// takeMemory makes the exchange responsible for the memory of the request's head, and for what readBody reserves.
func (x *exchange) takeMemory(budgets *httpmsg.MemoryBudgets) {
	headMemory, bodyMemory := x.conn.TakeHeadMemory(), new(int64)
	x.bodyMemory = bodyMemory
	x.memory = httpmsg.NewSharedMemory(func() { // it must not keep the exchange, which may end earlier
		budgets.Heads.Release(headMemory)
		budgets.Bodies.Release(*bodyMemory)
	})
}

// readBody reads the request's body, at most httpmsg.MaxBufferedBytes of it, and reports whether that is the complete
// body. It reserves the memory beyond httpmsg.BodyAllowance, as soon as it knows that the body is longer.
func (x *exchange) readBody(stream io.Reader, budget *httpmsg.MemoryBudget) (body []byte, complete bool, err error) {
	const size = httpmsg.MaxBufferedBytes
	if length := x.in.ContentLength; length >= 0 {
		if !x.reserveBody(min(size, length), budget) {
			return nil, false, errNoBodyMemory
		}
		return readBody(stream, nil, min(size, length), length)
	}
	body, complete, err = readBody(stream, nil, httpmsg.BodyAllowance, -1)
	if err != nil || complete {
		return body, complete, err
	}
	if !x.reserveBody(size, budget) {
		return nil, false, errNoBodyMemory
	}
	return readBody(stream, body, size, -1)
}

// reserveBody reserves the memory for size bytes of the body beyond the allowance, and reports whether it did.
func (x *exchange) reserveBody(size int64, budget *httpmsg.MemoryBudget) bool {
	missing := max(0, size-httpmsg.BodyAllowance)
	if !budget.Reserve(missing) {
		return false
	}
	*x.bodyMemory = missing
	return true
}

// readBody continues to read a request's body, of which the beginning has been read, up to limit bytes in all. It reports
// whether they are the complete body. length is the request's Content-Length, -1 if unknown. A body is complete if it has
// the known length, or if its length is unknown and its end was read as io.EOF. io.ReadFull is not used because it returns
// io.ErrUnexpectedEOF both for a truncated chunked body and for a complete body that is shorter than limit.
func readBody(r io.Reader, beginning []byte, limit, length int64) (body []byte, complete bool, err error) {
	body = make([]byte, limit)
	n := copy(body, beginning)
	for n < len(body) && err == nil {
		var read int
		read, err = r.Read(body[n:])
		n += read
	}
	var invalid *downstream.RequestError
	switch {
	case err == io.EOF && (length < 0 || int64(n) == length):
		return body[:n], true, nil
	case err == nil:
		return body, length == limit, nil
	case errors.As(err, &invalid):
		return nil, false, err
	}
	return nil, false, downstream.NewBadRequest("the body could not be read")
}

// clearReadDeadline removes the read deadline of a connection. It ignores an error, which means that the connection is
// closed: the next read reports that, too.
func clearReadDeadline(conn *downstream.Conn) { _ = conn.SetReadDeadline(time.Time{}) }
