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

// readyPath is where the application asks whether it may send requests.
const readyPath = "/health/ready"

// exchange is a client's request on its way through the handler, and where its response goes. It stays within the
// goroutine of the handler.
type exchange struct {
	w          http.ResponseWriter
	in         *http.Request
	conn       *downstream.Conn
	request    balancer.Request
	message    *upstream.Request
	times      stages.RequestTimes
	clientLeft <-chan struct{} // closed when the client leaves and net/http can't tell; may be nil
}

// serveRequest reads a request and responds to it. A body that is longer than what is buffered is streamed.
func (s *server) serveRequest(w http.ResponseWriter, in *http.Request) {
	x := exchange{w: w, in: in, conn: clientConn(in)}
	age := system.LastDataAge(x.conn.Conn) // it may have waited for this process
	arrived := s.loop.clock.now() - age.Microseconds()
	x.times.Arrived = time.Now()
	var err error
	if x.request, err = s.readHead(in, x.conn, arrived); err != nil {
		rejectInvalid(w, in, err)
		return
	}
	reserved := int64(httpmsg.MaxBufferedBytes)
	if in.ContentLength >= 0 {
		reserved = min(reserved, in.ContentLength)
	}
	if !s.loop.upstream.BodyMemory.Reserve(reserved) {
		rejectUnread(w, in, finalResponse{code: http.StatusServiceUnavailable, retryAfter: busyRetryAfter.Microseconds()})
		return
	}
	defer s.loop.upstream.BodyMemory.Release(reserved)
	stream := downstream.NewBody(x.conn, in.Body)
	body, complete, err := readBody(stream, reserved, in.ContentLength)
	switch {
	case (err != nil || !complete) && s.admission.isClosed():
		rejectUnread(w, in, terminatingResponse)
		return
	case err != nil:
		rejectInvalid(w, in, err)
		return
	case !x.conn.BeginRequest(): // the connection was just closed in favour of a new one
		panic(http.ErrAbortHandler)
	}
	x.message = &upstream.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: in.Header, Body: body}
	if complete {
		s.serveComplete(&x, arrived)
		return
	}
	timeLeft := time.Duration(x.request.Deadline-arrived) * time.Microsecond
	x.message.Upload = &upstream.Upload{Length: in.ContentLength, TimeLeft: timeLeft, Body: stream,
		Failed: make(chan error, 1)}
	x.request.StreamingBody, x.request.Deadline = true, arrived+upstream.MaxUploadTime.Microseconds()
	s.forward(&x)
}

// serveComplete responds to a request whose body is complete.
func (s *server) serveComplete(x *exchange, arrived balancer.Micros) {
	if x.request.Deadline > 0 { // the client's time counts from the last byte
		x.request.Deadline += max(0, s.loop.clock.now()-system.LastDataAge(x.conn.Conn).Microseconds()-arrived)
	}
	// The deadline for reading the request would otherwise end its context while the response is still awaited.
	clearReadDeadline(x.conn)
	nothingFollows := x.conn.RequestRead(x.in.ContentLength)
	if x.in.URL.Path == readyPath {
		if !nothingFollows {
			x.w.Header().Set("Connection", "close")
		}
		s.serveReady(x.w)
		return
	}
	if s.admission.isClosed() {
		rejectTerminating(x.w)
		return
	}
	x.times.BodyRead = time.Now()
	x.clientLeft = x.conn.AwaitResponse(nothingFollows)
	s.forward(x)
}

// serveReady tells the application whether it may send requests.
func (s *server) serveReady(w http.ResponseWriter) {
	if s.draining() {
		w.Header().Set("Connection", "close")
	}
	if !s.acceptsRequests() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readHead checks a request's head and returns what the balancer must know of it.
func (s *server) readHead(in *http.Request, conn *downstream.Conn, arrived balancer.Micros) (
	req balancer.Request, err error) {
	if conn.HasAmbiguousLength() {
		// What follows the head may hide another request: the connection ends here.
		return req, downstream.NewBadRequest("Content-Length beside another, or beside Transfer-Encoding")
	}
	if in.URL.Path != readyPath {
		if req, err = s.parseRequest(in, arrived); err != nil {
			return req, err
		}
	}
	if in.ContentLength > httpmsg.MaxBodyBytes {
		return req, downstream.ErrBodyTooLarge
	}
	return req, nil
}

// readBody reads a request's body up to limit bytes. Only io.EOF says that the body is complete: a chunked body that
// is truncated ends with io.ErrUnexpectedEOF, which io.ReadFull would also return for a short body that is complete.
func readBody(r io.Reader, limit, length int64) (body []byte, complete bool, err error) {
	body = make([]byte, limit)
	n := 0
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

// clearReadDeadline lets a connection wait without limit. An error is not reported: it says that the connection is
// closed, and so does the next read.
func clearReadDeadline(conn *downstream.Conn) { _ = conn.SetReadDeadline(time.Time{}) }
