package sidecar

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/downstream"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/stages"
	"oakproxy/internal/system"
	"oakproxy/internal/upstream"
)

// rejectUnread answers a request whose body may not be read yet, and ends its
// connection.
func rejectUnread(w http.ResponseWriter, in *http.Request, a finalResponse) {
	w.Header().Set("Connection", "close")
	writeFinalResponse(w, a)
	if http.NewResponseController(w).Flush() != nil {
		return // the client is gone
	}
	downstream.NewBody(in.Context().Value(connContextKey{}).(*downstream.Conn), in.Body).Discard(downstream.MaxLinger)
}

// readyPath is where the application asks whether it may send requests.
const readyPath = "/health/ready"

// serveRequest reads a request, whole or as much as is held, and answers it.
func (s *server) serveRequest(w http.ResponseWriter, in *http.Request) {
	c := in.Context().Value(connContextKey{}).(*downstream.Conn)
	age := system.LastDataAge(c.Conn) // it may have waited for this process
	arrived := s.loop.clock.now() - age.Microseconds()
	times := stages.RequestTimes{Arrived: time.Now()}
	req, err := s.readHead(in, c, arrived)
	if err != nil {
		rejectInvalid(w, in, err)
		return
	}
	held := int64(httpmsg.MaxBufferedBytes)
	if in.ContentLength >= 0 {
		held = min(held, in.ContentLength)
	}
	if !s.loop.upstream.Bodies.Reserve(held) {
		rejectUnread(w, in, finalResponse{code: http.StatusServiceUnavailable, retryAfter: busyRetryAfter.Microseconds()})
		return
	}
	defer s.loop.upstream.Bodies.Release(held)
	from := downstream.NewBody(c, in.Body)
	body, whole, err := readBody(from, held, in.ContentLength)
	switch {
	case (err != nil || !whole) && s.admission.isClosed():
		rejectUnread(w, in, terminatingResponse)
		return
	case err != nil:
		rejectInvalid(w, in, err)
		return
	case !c.BeginRequest(): // it has just made room for another
		panic(http.ErrAbortHandler)
	}
	m := &upstream.Request{Method: in.Method, URL: in.URL, Host: in.Host, Header: in.Header, Body: body}
	if !whole {
		left := time.Duration(req.Deadline-arrived) * time.Microsecond
		m.Upload = &upstream.Upload{Length: in.ContentLength, TimeLeft: left, Body: from, Failed: make(chan error, 1)}
		req.StreamingBody, req.Deadline = true, arrived+upstream.MaxUploadTime.Microseconds()
		s.forward(w, in, c, nil, req, m, times)
		return
	}
	if req.Deadline > 0 { // its time counts from its last byte
		req.Deadline += max(0, s.loop.clock.now()-system.LastDataAge(c.Conn).Microseconds()-arrived)
	}
	// The deadline for reading the request would otherwise end its context
	// while the answer is still awaited.
	c.SetReadDeadline(time.Time{})
	alone := c.RequestRead(in.ContentLength)
	if in.URL.Path == readyPath {
		if !alone {
			w.Header().Set("Connection", "close")
		}
		s.handleReady(w)
		return
	}
	if s.admission.isClosed() {
		rejectTerminating(w)
		return
	}
	times.BodyRead = time.Now()
	s.forward(w, in, c, c.AwaitResponse(alone), req, m, times)
}

// readHead checks a request's head and reads what the balancer has to know of it.
func (s *server) readHead(in *http.Request, c *downstream.Conn, arrived balancer.Micros) (req balancer.Request, err error) {
	if c.AmbiguousLength() {
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

// readBody reads a request's body, up to what may be held of it. Only io.EOF says that
// the body is whole: chunks that break off end in io.ErrUnexpectedEOF, which io.ReadFull
// would also make of an end that is none too early.
func readBody(from io.Reader, most, length int64) (body []byte, whole bool, err error) {
	body = make([]byte, most)
	n := 0
	for n < len(body) && err == nil {
		var more int
		more, err = from.Read(body[n:])
		n += more
	}
	var b *downstream.RequestError
	switch {
	case err == io.EOF && (length < 0 || int64(n) == length):
		return body[:n], true, nil
	case err == nil:
		return body, length == most, nil
	case errors.As(err, &b):
		return nil, false, err
	}
	return nil, false, downstream.NewBadRequest("the body could not be read")
}

// forward takes one request and gives its one final answer. left is closed when its client
// leaves and net/http can't tell; it may be nil.
func (s *server) forward(w http.ResponseWriter, in *http.Request, c *downstream.Conn, left <-chan struct{},
	req balancer.Request, m *upstream.Request, times stages.RequestTimes) {
	open := newOpenRequest(in, c, times.Arrived, s.loop.clock.timeAt(req.Deadline))
	var failed <-chan error
	var stop <-chan struct{}
	if m.Upload != nil {
		failed, stop = m.Upload.Failed, s.admission.closed
		open.upload, open.timeLeft = true, m.Upload.TimeLeft
	}
	if !s.inFlight.add(open) {
		rejectInvalid(w, in, downstream.NewRequestError(http.StatusConflict, "a request with this X-Correlation-Id is open"))
		return
	}
	defer s.inFlight.remove(open)
	if m.Upload != nil {
		defer m.Upload.Finish()
	}
	r := &request{response: make(chan finalResponse, 1), message: m, clientLeft: c.ClientLeft, times: times}
	s.loop.post(func(now balancer.Micros) { s.loop.admit(now, r, req) })
	abandon := func() { s.loop.post(func(now balancer.Micros) { s.loop.clientGone(now, r) }) }
	for {
		select {
		case a := <-r.response:
			defer a.close()
			if m.Upload != nil {
				defer s.drainUpload(w, c, m.Upload)
			}
			s.writeResponse(w, c, r, a)
			s.inFlight.remove(open)
			return
		case <-stop:
			stop = nil
			if m.Upload.Stop() { // else its last byte may be out, and its answer is awaited
				abandon()
				rejectTerminating(w)
				s.inFlight.remove(open)
				s.drainUpload(w, c, m.Upload)
				return
			}
		case err := <-failed:
			abandon()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				panic(http.ErrAbortHandler)
			}
			rejectInvalid(w, in, downstream.NewBadRequest("the body could not be read"))
			return
		case <-left:
			abandon()
			panic(http.ErrAbortHandler)
		case <-in.Context().Done():
			abandon()
			// A client that has only stopped sending must not read a whole answer
			// that no endpoint gave.
			panic(http.ErrAbortHandler)
		}
	}
}

// writeResponse writes the final answer.
func (s *server) writeResponse(w http.ResponseWriter, c *downstream.Conn, r *request, a finalResponse) {
	r.times.Answered = time.Now()
	upload := r.message.Upload
	// Clients send one request at a time. What came behind this one is no request:
	// only the client's own word says that it is one.
	behind := c.BeginResponse()
	late := upload != nil && !(upload.ReachedEOF.Load() && c.RequestRead(upload.Length))
	if behind || late || s.clients.Crowded() || s.draining() {
		w.Header().Set("Connection", "close")
	}
	writeFinalResponse(w, a)
	if a.remainder == nil {
		s.recordStages(r)
		return
	}
	if err := downstream.Relay(w, c, a.remainder); err != nil {
		c.ResetOnClose()
		panic(http.ErrAbortHandler)
	}
}

// recordStages counts the stages of a request that is answered, if its attempt's times are known.
func (s *server) recordStages(r *request) {
	if r.times.Attempt.Received.IsZero() {
		return
	}
	r.times.Replied = time.Now()
	s.loop.stages.Record(&r.times)
}

// drainUpload lets a client that has its answer write its body to the end.
func (s *server) drainUpload(w http.ResponseWriter, c *downstream.Conn, u *upstream.Upload) {
	if u.ReachedEOF.Load() {
		c.SetReadDeadline(time.Time{})
		return
	}
	http.NewResponseController(w).Flush()
	u.Finish()
	most := upstream.MaxUploadTime
	if s.terminating.Load() {
		most = downstream.MaxLinger
	}
	u.Body.Discard(most)
}

func writeFinalResponse(w http.ResponseWriter, a finalResponse) {
	httpmsg.CopyEndToEnd(w.Header(), a.header)
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(a.retryAfter)/1e6, 'f', 3, 64))
	}
	if a.remainder == nil {
		a.length = int64(len(a.body))
	}
	if a.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	// net/http counts from the head of the request, which may be long ago.
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(a.code)
	w.Write(a.body) // a client that is gone by now needs no answer
}
