package sidecar

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"oakproxy/balancer"
)

// turnAway answers a request whose body may not be read yet, and ends its
// connection.
func turnAway(w http.ResponseWriter, in *http.Request, a answer) {
	w.Header().Set("Connection", "close")
	writeAnswer(w, a)
	if http.NewResponseController(w).Flush() != nil {
		return // the client is gone
	}
	newPaced(in.Context().Value(connKey{}).(*clientConn), in.Body).Discard(maxLinger)
}

// readyPath is where the application asks whether it may send requests.
const readyPath = "/health/ready"

// handle reads a request, whole or as much as is held, and answers it.
func (s *server) handle(w http.ResponseWriter, in *http.Request) {
	c := in.Context().Value(connKey{}).(*clientConn)
	age := dataAge(c.Conn) // it may have waited for this process
	arrived := s.loop.clock.now() - age.Microseconds()
	times := requestTimes{arrived: time.Now()}
	req, err := s.readHead(in, c, arrived)
	if err != nil {
		reject(w, in, err)
		return
	}
	held := int64(maxBufferedBytes)
	if in.ContentLength >= 0 {
		held = min(held, in.ContentLength)
	}
	if !s.loop.up.room.take(held) {
		turnAway(w, in, answer{code: http.StatusServiceUnavailable, retryAfter: busyRetry.Microseconds()})
		return
	}
	defer s.loop.up.room.give(held)
	from := newPaced(c, in.Body)
	body, whole, err := readBody(from, held, in.ContentLength)
	switch {
	case (err != nil || !whole) && s.admission.isClosed():
		turnAway(w, in, refusalAtTermination)
		return
	case err != nil:
		reject(w, in, err)
		return
	case !c.begin(): // it has just made room for another
		panic(http.ErrAbortHandler)
	}
	m := &message{method: in.Method, url: in.URL, host: in.Host, header: in.Header, body: body}
	if !whole {
		left := time.Duration(req.Deadline-arrived) * time.Microsecond
		m.upload = &upload{length: in.ContentLength, left: left, body: from, failed: make(chan error, 1)}
		req.StreamingBody, req.Deadline = true, arrived+maxUploadTime.Microseconds()
		s.request(w, in, c, nil, req, m, times)
		return
	}
	if req.Deadline > 0 { // its time counts from its last byte
		req.Deadline += max(0, s.loop.clock.now()-dataAge(c.Conn).Microseconds()-arrived)
	}
	// The deadline for reading the request would otherwise end its context
	// while the answer is still awaited.
	c.SetReadDeadline(time.Time{})
	alone := c.alone(in.ContentLength)
	if in.URL.Path == readyPath {
		if !alone {
			w.Header().Set("Connection", "close")
		}
		s.ready(w)
		return
	}
	if s.admission.isClosed() {
		refuseTerminating(w)
		return
	}
	times.read = time.Now()
	s.request(w, in, c, c.take(alone), req, m, times)
}

// readHead checks a request's head and reads what the balancer has to know of it.
func (s *server) readHead(in *http.Request, c *clientConn, arrived balancer.Micros) (req balancer.Request, err error) {
	if c.ambiguous() {
		// What follows the head may hide another request: the connection ends here.
		return req, bad("Content-Length beside another, or beside Transfer-Encoding")
	}
	if in.URL.Path != readyPath {
		if req, err = s.parse(in, arrived); err != nil {
			return req, err
		}
	}
	if in.ContentLength > maxBodyBytes {
		return req, &badRequest{http.StatusRequestEntityTooLarge, tooLarge}
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
	var b *badRequest
	switch {
	case err == io.EOF && (length < 0 || int64(n) == length):
		return body[:n], true, nil
	case err == nil:
		return body, length == most, nil
	case errors.As(err, &b):
		return nil, false, err
	}
	return nil, false, bad("the body could not be read")
}

// request takes one request and gives its one final answer. left is closed when its client
// leaves and net/http can't tell; it may be nil.
func (s *server) request(w http.ResponseWriter, in *http.Request, c *clientConn, left <-chan struct{},
	req balancer.Request, m *message, times requestTimes) {
	open := newOpenRequest(in, c, times.arrived, s.loop.clock.time(req.Deadline))
	var failed <-chan error
	var stop <-chan struct{}
	if m.upload != nil {
		failed, stop = m.upload.failed, s.admission.closed
		open.upload, open.timeLeft = true, m.upload.left
	}
	if !s.inHand.add(open) {
		reject(w, in, &badRequest{http.StatusConflict, "a request with this X-Correlation-Id is open"})
		return
	}
	defer s.inHand.remove(open)
	if m.upload != nil {
		defer m.upload.end()
	}
	r := &request{answer: make(chan answer, 1), message: m, gone: c.hasLeft, times: times}
	s.loop.post(func(now balancer.Micros) { s.loop.take(now, r, req) })
	abandon := func() { s.loop.post(func(now balancer.Micros) { s.loop.gone(now, r) }) }
	for {
		select {
		case a := <-r.answer:
			defer a.close()
			if m.upload != nil {
				defer s.hearOut(w, c, m.upload)
			}
			s.reply(w, c, r, a)
			s.inHand.remove(open)
			return
		case <-stop:
			stop = nil
			if m.upload.halt() { // else its last byte may be out, and its answer is awaited
				abandon()
				refuseTerminating(w)
				s.inHand.remove(open)
				s.hearOut(w, c, m.upload)
				return
			}
		case err := <-failed:
			abandon()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				panic(http.ErrAbortHandler)
			}
			reject(w, in, bad("the body could not be read"))
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

// reply writes the final answer.
func (s *server) reply(w http.ResponseWriter, c *clientConn, r *request, a answer) {
	r.times.answer = time.Now()
	upload := r.message.upload
	// Clients send one request at a time. What came behind this one is no request:
	// only the client's own word says that it is one.
	behind := c.give()
	late := upload != nil && !(upload.finished.Load() && c.alone(upload.length))
	if behind || late || s.clients.crowded() || s.leaving() {
		w.Header().Set("Connection", "close")
	}
	writeAnswer(w, a)
	if a.rest == nil {
		s.record(r)
		return
	}
	if err := pass(w, c, a.rest); err != nil {
		c.cut()
		panic(http.ErrAbortHandler)
	}
}

// record counts the stages of a request that is answered, if its attempt's times are known.
func (s *server) record(r *request) {
	if r.times.attempt.received.IsZero() {
		return
	}
	r.times.replied = time.Now()
	s.loop.stages.record(&r.times)
}

// hearOut lets a client that has its answer write its body to the end.
func (s *server) hearOut(w http.ResponseWriter, c *clientConn, u *upload) {
	if u.finished.Load() {
		c.SetReadDeadline(time.Time{})
		return
	}
	http.NewResponseController(w).Flush()
	u.end()
	most := maxUploadTime
	if s.ending.Load() {
		most = maxLinger
	}
	u.body.Discard(most)
}

func writeAnswer(w http.ResponseWriter, a answer) {
	endToEnd(w.Header(), a.header)
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(a.retryAfter)/1e6, 'f', 3, 64))
	}
	if a.rest == nil {
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
