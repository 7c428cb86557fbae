package sidecar

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"peatpost/balancer"
)

const (
	answerMargin = 2 * time.Millisecond   // of a client's time, kept for writing the final answer: some have 40 ms in all
	sweepEvery   = 20 * time.Millisecond  // while clients are to leave
	minQuiet     = 200 * time.Millisecond // without a request, after which a client that is to leave is made to:
	minSilent    = time.Second            // the application's clients use most connections sooner, new ones at once
	socketSpare  = 32                     // descriptors for discovery, logs and the runtime
	busyRetry    = time.Second            // wait told to clients that find all room for bodies in use
	maxTimeLeft  = time.Minute            // that a request gets
	maxIDLength  = 256                    // characters of an id: an id of the protocol has 16
	crowdPart    = 6                      // of the descriptors: clients hold twice as many for requests at most
	bodiesPart   = 8                      // of the memory, this part may hold bodies of requests

	// A client that takes longer is silent, slow on purpose or dead, and 3 s are the
	// most it may stay.
	readTimeout  = 2500 * time.Millisecond // for a head: one that comes slowly may take 2 s
	idleTimeout  = 2100 * time.Millisecond // a connection may be closed after 2 s with no request open
	writeTimeout = 2 * time.Second         // for an answer: it fits into the socket's buffer unless a client reads nothing
)

// server takes the application's requests.
type server struct {
	loop      *loop
	log       *slog.Logger
	http      http.Server
	clients   *clients
	ending    atomic.Bool
	admission *requestAdmission
	drained   atomic.Bool // by hand

	inHand inHand

	limits    sync.Mutex // held while they are set
	processes int        // of this sidecar, among which the limits are shared

	acceptFor time.Duration        // after SIGTERM
	seat      atomic.Pointer[seat] // among the processes of this sidecar; nil where there can be no other
}

// Run serves until ctx ends, then answers what it has taken and returns. Any number of new configurations may come
// at any time; each is in force, or refused, by the time that the next one is received.
func Run(ctx context.Context, cfg *Config, reloads <-chan *Config, log *slog.Logger) error {
	listener, err := listen(ctx, cfg.Listen, cfg.Passed)
	if err != nil {
		return err
	}
	var second net.Listener
	if cfg.Admin != "" {
		if second, err = listenAdmin(ctx, cfg.Admin); err != nil {
			listener.Close()
			return err
		}
		defer second.Close()
	}
	// The loop outlives ctx: requests in hand still need it.
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	l, err := newLoop(loopCtx, cfg, log)
	if err != nil {
		listener.Close()
		return err
	}
	go func() {
		for next := range reloads {
			l.runUrgent(func(balancer.Micros) { l.reload(next) })
		}
	}()
	if cfg.Passed != "" { // another process may take over
		m := newMemory(loopCtx, cfg.Name, cfg.Host, log)
		l.learned, l.keep = m.load(l.clock.now()), m.keep
	}
	s := newServer(l)
	s.share(1)
	if cfg.Passed != "" {
		s.sit(ctx, cfg.Host.Directory)
		go s.company(loopCtx, cfg.Host.Directory)
	}
	if second != nil {
		a := newAdmin(s)
		a.load()
		go a.serve(second)
	}
	defer l.up.limit(0) // the process may live on: idle connections end with the sidecar
	return s.serve(ctx, listener)
}

// connections is the most that clients may hold, and the most to endpoints:
// every client's request has one attempt at a time.
func connections(cfg *Config) int { return (cfg.Limits.Sockets - socketSpare) / 2 }

// minConnections are left to each of two processes, however few descriptors there are.
const minConnections = 12

func (s *server) serve(ctx context.Context, listener net.Listener) error {
	s.clients.Listener = listener
	go s.loop.run()
	go s.usher()
	served := make(chan error, 1)
	go func() {
		// A process that takes over leaves clients to the other one until it can serve them.
		for s.accompanied() && !s.loop.listed.Load() && ctx.Err() == nil {
			time.Sleep(sweepEvery)
		}
		if ctx.Err() == nil {
			served <- s.http.Serve(s.clients)
		}
	}()
	select {
	case err := <-served:
		s.log.Error("no more connections can be accepted", "error", err)
		return errors.Join(fmt.Errorf("serve: %w", err), s.terminate())
	case <-ctx.Done():
	}
	return s.terminate()
}

// connKey finds the connection of a request in its context.
type connKey struct{}

func newServer(l *loop) *server {
	s := &server{loop: l, log: l.log, processes: 1, admission: newRequestAdmission(),
		clients: &clients{log: l.log, most: connections(l.cfg), maxAsked: l.cfg.Limits.Sockets / crowdPart}, acceptFor: acceptAfter}
	l.relimit, l.closes = s.relimit, s.clients.closeCounts
	// Not a ServeMux: it would redirect paths that endpoints are to see as they are.
	s.http = http.Server{Handler: http.HandlerFunc(s.handle),
		ReadHeaderTimeout: readTimeout, WriteTimeout: maxTimeLeft + writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeadBytes, ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*clientConn).done()
			}
		}, ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	return s
}

// accompanied says whether another process of this sidecar runs.
func (s *server) accompanied() bool {
	seat := s.seat.Load()
	if seat == nil {
		return false
	}
	alive, _ := seat.count()
	return alive > 0
}

// relieved says whether another process serves the clients that come from now on.
func (s *server) relieved() bool {
	seat := s.seat.Load()
	if seat == nil {
		return false
	}
	_, ready := seat.count()
	return ready > 0
}

// leaving says that clients are to go elsewhere: every answer ends its connection.
func (s *server) leaving() bool { return s.ending.Load() || s.drained.Load() }

// usher makes connections end on which no request comes, while clients are to leave.
func (s *server) usher() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if s.leaving() {
				s.clients.sweep(minQuiet, minSilent)
			}
		case <-s.loop.ctx.Done():
			return
		}
	}
}

// hold makes what operators have set hold.
func (s *server) hold(st state) {
	if s.drained.Swap(st.Drained) != st.Drained {
		s.log.Info("by hand", "drained", st.Drained)
	}
	s.loop.runUrgent(func(now balancer.Micros) { s.loop.mark(now, st.Hosts) })
}

// isReady says whether clients may send requests here.
func (s *server) isReady() bool { return !s.leaving() && s.loop.listed.Load() }

func (s *server) ready(w http.ResponseWriter) {
	if s.leaving() {
		w.Header().Set("Connection", "close")
	}
	if !s.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// badRequest is what a client did wrong.
type badRequest struct {
	code   int
	reason string
}

func (e *badRequest) Error() string { return e.reason }

func bad(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// reject turns a request away, with its connection: what else a client sends
// that gets this much wrong is not worth reading.
func reject(w http.ResponseWriter, in *http.Request, err error) {
	code := http.StatusBadRequest
	var b *badRequest
	if errors.As(err, &b) {
		code = b.code
	}
	reason := err.Error() + "\n"
	turnAway(w, in, answer{code: code, body: []byte(reason),
		header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}, "X-Content-Type-Options": {"nosniff"}}})
}

// turnAway answers a request whose body may not be read yet, and ends its
// connection.
func turnAway(w http.ResponseWriter, in *http.Request, a answer) {
	w.Header().Set("Connection", "close")
	writeAnswer(w, a)
	if http.NewResponseController(w).Flush() != nil {
		return // the client is gone
	}
	linger(newPaced(in.Context().Value(connKey{}).(*clientConn), in.Body), maxLinger)
}

// handle reads a request, whole or as much as is held, and answers it.
func (s *server) handle(w http.ResponseWriter, in *http.Request) {
	c := in.Context().Value(connKey{}).(*clientConn)
	age := dataAge(c.Conn) // it may have waited for this process
	arrived := s.loop.clock.now() - age.Microseconds()
	times := requestTimes{arrived: time.Now()}
	if c.ambiguous() {
		// What follows the head may hide another request: the connection ends here.
		reject(w, in, bad("Content-Length beside another, or beside Transfer-Encoding"))
		return
	}
	ready := in.URL.Path == "/health/ready"
	var req balancer.Request
	if !ready {
		var err error
		if req, err = s.parse(in, arrived); err != nil {
			reject(w, in, err)
			return
		}
	}
	if in.ContentLength > maxBodyBytes {
		reject(w, in, &badRequest{http.StatusRequestEntityTooLarge, tooLarge})
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
	if err != nil && s.admission.isClosed() {
		turnAway(w, in, refusalAtTermination)
		return
	}
	if err != nil {
		reject(w, in, err)
		return
	}
	if !c.begin() {
		panic(http.ErrAbortHandler)
	}
	m := &message{method: in.Method, url: in.URL, host: in.Host, header: in.Header, body: body}
	if !whole && s.admission.isClosed() {
		turnAway(w, in, refusalAtTermination)
		return
	}
	if !whole {
		left := time.Duration(req.Deadline-arrived) * time.Microsecond
		m.upload = &upload{length: in.ContentLength, left: left, body: from, failed: make(chan error, 1)}
		req.Passing, req.Deadline = true, arrived+maxUploadTime.Microseconds()
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
	if ready {
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

var tooLarge = fmt.Sprintf("the body is over %d bytes", maxBodyBytes)

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
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
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
	linger(u.body, most)
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
	w.WriteHeader(a.code)
	w.Write(a.body) // a client that is gone by now needs no answer
}

// single headers have one value. A second one could be the one that somebody
// else on the way goes by.
var single = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Session-Key",
	"X-Time-Left-Ms", "X-Repeat", "X-Weight-Hint", "Idempotency-Key"}

// hashed makes a number of a name, the same at every sidecar.
func hashed(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// parse reads the headers of a request.
func (s *server) parse(in *http.Request, arrived balancer.Micros) (balancer.Request, error) {
	inForce := s.loop.current.Load()
	req := balancer.Request{Under: &inForce.Settings}
	h := in.Header
	for _, name := range single {
		if len(h[name]) > 1 {
			return req, bad("%s is there %d times", name, len(h[name]))
		}
	}
	if id := h.Get("X-Correlation-Id"); id == "" || len(id) > maxIDLength {
		return req, bad("X-Correlation-Id: %d characters, must be 1 to %d", len(id), maxIDLength)
	}
	name := h.Get("X-Service-Class")
	class, ok := inForce.classes[name]
	if !ok {
		return req, bad("X-Service-Class: %q is not a known class", name)
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(in.URL.Path, "/"), "/"); first != name {
		return req, bad("the path is not of X-Service-Class %q", name)
	}
	req.Class = class
	method, keyed := http.MethodPost, h.Get("Idempotency-Key") != ""
	switch inForce.Settings.Classes[class].Repeat {
	case balancer.Safe:
		method = http.MethodGet
	case balancer.Keyed:
		if !keyed {
			return req, bad("Idempotency-Key is missing")
		}
	}
	if in.Method != method {
		return req, &badRequest{http.StatusMethodNotAllowed, fmt.Sprintf("requests of this class are %s", method)}
	}
	if method == http.MethodGet && in.ContentLength != 0 {
		return req, bad("a GET has no body")
	}
	left, err := strconv.ParseUint(h.Get("X-Time-Left-Ms"), 10, 63)
	if err != nil {
		return req, bad("X-Time-Left-Ms: %q is not a whole number of milliseconds", h.Get("X-Time-Left-Ms"))
	}
	left = min(left, uint64(maxTimeLeft.Milliseconds()))
	req.Deadline = arrived + int64(left)*1000 - answerMargin.Microseconds()
	if len(inForce.tenants) > 0 {
		if req.Tenant, ok = inForce.tenants[h.Get("X-Account")]; !ok {
			return req, bad("X-Account: %q is not a known tenant", h.Get("X-Account"))
		}
	}
	if key := h.Get("X-Session-Key"); key != "" {
		req.Key = hashed(key)
	}
	if hint := h.Get("X-Weight-Hint"); hint != "" {
		micros, err := strconv.ParseUint(hint, 10, 63)
		if err != nil {
			return req, bad("X-Weight-Hint: %q is not a whole number of microseconds", hint)
		}
		req.Hint, req.HasHint = int64(micros), true
	}
	switch h.Get("X-Repeat") {
	case "1":
		req.Retry = true
	case "", "0":
	default:
		return req, bad("X-Repeat: %q is neither 0 nor 1", h.Get("X-Repeat"))
	}
	return req, nil
}
