package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"peatpost/balancer"
)

const (
	bodyMost     = 64 << 20               // bytes of a request's or an answer's body
	headMost     = 32 << 10               // bytes of a request's head
	answerMost   = 8 << 10                // bytes of an answer's head: each connection has a buffer of this size
	answerRest   = 100 * time.Millisecond // without a byte of an answer that has begun: four round trips between sites
	answerPause  = 20 * time.Millisecond  // a connection rests after an answer: a second one comes some milliseconds late
	interimMost  = 10                     // interim answers ahead of one that counts
	figureMost   = 1e6                    // a larger figure in a load report is an error
	probeTimeout = 400 * time.Millisecond
	probeSpares  = 4 // one in so many connections is left to requests
)

// upstream sends requests to endpoints. It does not use http.Transport, which
// by itself repeats what it finds safe to repeat on a dead idle connection:
// each such repetition would be an attempt that the balancer never decided.
type upstream struct {
	dialer   net.Dialer
	idleMost time.Duration // idle connections are not used for longer,
	rest     time.Duration // nor for so long after an answer
	report   atomic.Pointer[reportFormat]
	room     *budget // for the bodies of answers

	mu                  sync.Mutex
	open                int // connections, those being dialled included
	most                int
	idle                map[*target][]*conn // by endpoint, the latest used last
	dialTime            time.Duration
	dials, failed, full uint64
}

// upCounts tells of connections to endpoints: those open now and, since the start, those dialled, those that
// never came up, and the attempts and probes that found no room for one.
type upCounts struct {
	open                int
	dialTime            time.Duration
	dials, failed, full uint64
}

func (u *upstream) counts() upCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return upCounts{u.open, u.dialTime, u.dials, u.failed, u.full}
}

// target is one life of an endpoint at one address. It is closed for good once
// the endpoint is told draining or gone, or has restarted.
type target struct {
	address string
	born    int64
	closed  bool // under upstream.mu
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	target *target
	reader *bufio.Reader
	limit  io.LimitedReader // of an answer
	ctx    context.Context  // of the attempt
	stall  time.Duration    // without a byte, until a read is given up; 0: no limit
	idleAt time.Time
	used   bool // it has carried a request before
}

// message is a request as it goes to endpoints, any number of times.
type message struct {
	method string
	url    *url.URL
	host   string
	header http.Header // X-Time-Left-Ms is written for each attempt
	body   []byte
	upload *upload // what follows body while it comes; nil where that is all
	probe  bool    // the sidecar's own
}

// result is what came of an attempt or a probe.
type result struct {
	status balancer.Status
	header http.Header // of a whole answer 200, as is body
	body   []byte
	rest   *rest  // what follows body, of an answer that is passed on while it comes
	length int64  // of the whole, -1 if unknown
	held   func() // gives back the room for body
	load   []float32
	report *reportFormat // that load is in
	took   time.Duration // from the write to the end, without the time to connect
}

// Reasons for which the sidecar itself sends nothing.
var (
	errClosed = errors.New("the endpoint is draining or gone")
	errFull   = errors.New("no connection is left")
	errStale  = errors.New("the idle connection is of no more use")
	errOver   = errors.New("the time of a request that was passed on is up")
	errEarly  = errors.New("an answer came before the request was written")
)

// unsentError says that the last byte of a request was never written.
type unsentError struct{ error }

func newUpstream(cfg *Config, connections int, room *budget) *upstream {
	u := &upstream{rest: answerPause, room: room, most: connections, idle: map[*target][]*conn{}}
	u.configure(cfg)
	return u
}

// reportFormat names the figures of a load report, in the order of Settings.Fields.
type reportFormat struct{ fields []string }

// configure takes up what a configuration says of endpoints and connections to them.
func (u *upstream) configure(cfg *Config) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialer.Timeout = time.Duration(cfg.Settings.Limits.DialTimeout) * time.Microsecond
	// An endpoint closes an idle connection when its time is over at the
	// latest, and what is written to it from then on is lost.
	u.idleMost = cfg.idle * 3 / 4
	if old := u.report.Load(); old == nil || !slices.Equal(old.fields, cfg.fields) {
		u.report.Store(&reportFormat{cfg.fields})
	}
}

// attempt sends a request once and tells what came of it. Its outcome claims
// that the request never ran only where the last byte was not written, or the
// endpoint says so; in doubt it may have run.
func (u *upstream) attempt(ctx context.Context, t *target, m *message, g *gate) result {
	var got *received
	var start time.Time
	err := error(errStale)
	for err == errStale { // nothing has been sent on that connection
		c, unable := u.connect(ctx, t, m.probe)
		if unable != nil {
			return result{status: unsent(ctx, unable)}
		}
		start = time.Now()
		got, err = u.exchange(ctx, c, m, g)
	}
	r := result{status: balancer.Error, took: time.Since(start)}
	var never *unsentError
	switch {
	case errors.As(err, &never):
		r.status = unsent(ctx, never.error)
	case err == errOver || err != nil && over(ctx):
		r.status = balancer.Timeout
	case err != nil && ctx.Err() != nil:
		r.status = balancer.Cancelled
	case err != nil:
		r.status = balancer.Reset // a broken, cut or malformed answer: the connection is of no more use
	default:
		response := got.response
		r.load, r.report = u.loadReport(response.Header.Get("X-Backend-Load"))
		switch code := response.StatusCode; {
		case code == http.StatusOK:
			r.status, r.header, r.body = balancer.OK, response.Header, got.body
			r.rest, r.length, r.held = got.rest, response.ContentLength, got.held
		case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
			response.Header.Get("X-Unprocessed") == "1":
			r.status = balancer.Full
		}
	}
	return r
}

// over says that an attempt's time is up, by the clock: the balancer's own timer
// for that instant may have called the attempt off already, but to be told of a
// cancellation in place of a time-out would hide the endpoint's silence from it.
func over(ctx context.Context) bool {
	until, ok := ctx.Deadline()
	return ok && !time.Now().Before(until)
}

// unsent is the outcome of a request that was not written: the endpoint's
// fault, unless the sidecar no longer wanted to send it, or the client to write it.
func unsent(ctx context.Context, err error) balancer.Status {
	var client *clientError
	own := slices.ContainsFunc([]error{errClosed, errFull, errStopped, errGone, errLate}, func(e error) bool { return errors.Is(err, e) })
	if own || ctx.Err() != nil || over(ctx) || errors.As(err, &client) {
		return balancer.Moot
	}
	return balancer.ConnectFailed
}

// probe asks an endpoint for its load report, or for its health where the
// deployment has no reports.
func (u *upstream) probe(ctx context.Context, t *target) result {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m := &message{method: http.MethodGet, url: &url.URL{Path: "/health/live"}, host: t.address, probe: true}
	if len(u.report.Load().fields) > 0 {
		m.url.Path = "/stats"
	}
	r := u.attempt(ctx, t, m, &gate{})
	if r.status == balancer.OK {
		r.load, r.report = u.loadReport(string(r.body))
		(&answer{rest: r.rest, held: r.held}).close()
	}
	return r
}

// loadReport reads name=value pairs into the order of the settings. A figure
// that is missing, repeated, malformed or beyond all sense is not a number,
// which the balancer skips: it keeps what it knew.
func (u *upstream) loadReport(text string) ([]float32, *reportFormat) {
	report := u.report.Load()
	if text == "" || len(report.fields) == 0 {
		return nil, report
	}
	load, seen := make([]float32, len(report.fields)), make([]bool, len(report.fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		i := slices.Index(report.fields, name)
		if i < 0 {
			continue
		}
		v, err := strconv.ParseFloat(value, 32)
		if seen[i] || err != nil || !(v >= 0 && v <= figureMost) {
			v = math.NaN()
		}
		load[i], seen[i] = float32(v), true
	}
	return load, report
}

// connect returns the connection to t that was used last, or opens one.
func (u *upstream) connect(ctx context.Context, t *target, probe bool) (*conn, error) {
	c, err := u.reserve(t, probe)
	if c != nil || err != nil {
		return c, err
	}
	start := time.Now()
	dialer := u.currentDialer()
	raw, err := dialer.DialContext(ctx, "tcp", t.address)
	u.mu.Lock()
	u.dialTime += time.Since(start)
	if err != nil {
		u.open--
		u.failed++
	}
	u.mu.Unlock()
	if err != nil {
		return nil, err
	}
	c = &conn{Conn: raw, target: t}
	c.limit.R = c
	c.reader = bufio.NewReaderSize(&c.limit, answerMost)
	return c, nil
}

// currentDialer returns the dialer with the time-out in force.
func (u *upstream) currentDialer() net.Dialer {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dialer
}

// reserve returns an idle connection, or none with the right to open one. Where lists
// are long, probes alone could hold all that may be open: they leave some to requests.
func (u *upstream) reserve(t *target, probe bool) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.closed {
		return nil, errClosed
	}
	// What was answered just now may get a second answer, which would be taken for that of the
	// next request: it rests, and the latest of those that have rested is used.
	for {
		list := u.idle[t]
		i := len(list) - 1
		for i >= 0 && time.Since(list[i].idleAt) < u.rest {
			i--
		}
		if i < 0 {
			break
		}
		c := list[i]
		u.idle[t] = slices.Delete(list, i, i+1)
		if time.Since(c.idleAt) < u.idleMost && c.alive() {
			return c, nil
		}
		u.drop(c)
	}
	most := u.most
	if probe {
		most -= most / probeSpares
	}
	if u.open >= most {
		for other, list := range u.idle {
			if len(list) > 0 {
				u.idle[other] = list[1:]
				u.drop(list[0])
				break
			}
		}
	}
	if u.open >= most {
		u.full++
		return nil, errFull
	}
	u.open++
	u.dials++
	return nil, nil
}

// limit sets the most connections, and closes idle ones beyond that.
func (u *upstream) limit(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.most = most
	for t, list := range u.idle {
		for len(list) > 0 && u.open > most {
			u.drop(list[0])
			list = list[1:]
		}
		u.idle[t] = list
	}
}

// drop closes a connection. It holds u.mu.
func (u *upstream) drop(c *conn) {
	c.Close()
	u.open--
}

// release keeps a connection for the next request, or closes it.
func (u *upstream) release(c *conn, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !keep || c.target.closed {
		u.drop(c)
		return
	}
	c.idleAt, c.used = time.Now(), true
	u.idle[c.target] = append(u.idle[c.target], c)
}

// retire closes a target for good, and its idle connections. What is out there
// goes on.
func (u *upstream) retire(t *target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t.closed = true
	for _, c := range u.idle[t] {
		u.drop(c)
	}
	delete(u.idle, t)
}

// prune closes connections that have been idle for too long.
func (u *upstream) prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for t, list := range u.idle {
		old := 0 // the longest idle come first
		for old < len(list) && time.Since(list[old].idleAt) >= u.idleMost {
			u.drop(list[old])
			old++
		}
		u.idle[t] = slices.Delete(list, 0, old)
	}
}

// alive says whether an idle connection is open and silent. An endpoint may
// close it at any time, and a request written after that is lost as a reset
// that may have run.
func (c *conn) alive() bool { return !readable(c.Conn) }

// readable says whether anything can be read of a connection: bytes, its end, or
// an error.
func readable(c net.Conn) bool { return peek(c) != nothing }

// look is what a connection has to read.
type look uint8

// A connection has nothing to read, some bytes, or its end or an error.
const (
	nothing look = iota
	unread
	ended
)

// peek looks at a connection without reading of it.
func peek(c net.Conn) look {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return ended
	}
	found := ended
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			found = nothing
		case err == nil && n > 0:
			found = unread
		}
	})
	if err != nil {
		return ended
	}
	return found
}

// Read reads with a limit on the time without a byte, where there is one.
func (c *conn) Read(p []byte) (int, error) {
	if c.stall > 0 {
		c.SetReadDeadline(time.Now().Add(c.stall))
		if err := c.ctx.Err(); err != nil {
			return 0, err // the deadline that tells so may have been overwritten
		}
	}
	return c.Conn.Read(p)
}

// received is an answer, whole or begun.
type received struct {
	response *http.Response
	body     []byte
	rest     *rest
	held     func()
}

// exchange writes one request on a connection and reads the answer, or its
// beginning. It gives the connection back unless there is a rest.
func (u *upstream) exchange(ctx context.Context, c *conn, m *message, g *gate) (got *received, err error) {
	keep := false
	c.ctx, c.limit.N = ctx, answerMost+holdMost
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // wakes a read or write
	defer func() {
		c.stall = 0
		kept := stop()
		if err == nil && got.rest != nil {
			if kept {
				got.rest.keep, c.ctx, c.stall = keep, context.Background(), restStall
				return
			}
			if got.held != nil {
				got.held()
			}
			err = ctx.Err()
		}
		if kept && keep {
			c.SetReadDeadline(time.Time{})
		}
		u.release(c, kept && keep)
	}()

	data, err := m.encode(ctx)
	if err != nil {
		return nil, &unsentError{err}
	}
	// What has come by now was not asked for, and must not be taken for the answer.
	if c.used && !c.alive() {
		return nil, errStale
	}
	if err := u.pass(ctx, g, c.target); err != nil {
		return nil, &unsentError{err}
	}
	if n, err := c.Write(data); n < len(data) {
		return nil, &unsentError{err}
	}
	if m.upload != nil {
		if err := u.send(c, m); err != nil {
			return nil, err
		}
		// From here on the request's time runs.
		m.upload.at = time.Now()
		m.upload.written()
		timed, cancel := context.WithDeadline(ctx, time.Now().Add(m.upload.left))
		defer cancel()
		c.ctx = timed
		wake := context.AfterFunc(timed, func() { c.SetDeadline(time.Unix(1, 0)) })
		defer func() {
			if wake() {
				return
			}
			if keep = false; err != nil && over(timed) {
				err = errOver
			}
		}()
	}
	if got, err = u.receive(c, m.method); err != nil {
		return nil, err
	}
	// Anything beyond the answer makes the connection useless: endpoints may send
	// a second copy, or noise.
	keep = !got.response.Close && got.response.StatusCode != http.StatusSwitchingProtocols &&
		(got.rest != nil || c.reader.Buffered() == 0)
	return got, nil
}

// send passes a request's body on while it comes. Until its last byte is written
// the request never ran; an endpoint that answers before that, or ends the
// connection, has done with it.
func (u *upstream) send(c *conn, m *message) error {
	sent := make(chan error, 1)
	go func() {
		err := m.passOn(c)
		c.SetReadDeadline(time.Unix(1, 0)) // wakes the look below
		sent <- err
	}()
	_, early := c.reader.Peek(1)
	if m.upload.phase.CompareAndSwap(passing, stopped) {
		select {
		case err := <-sent:
			return &unsentError{err}
		default:
		}
		if early == nil {
			early = errEarly
		}
		return &unsentError{early}
	}
	if err := <-sent; err != nil {
		return &unsentError{err}
	}
	c.SetDeadline(time.Time{})
	return c.ctx.Err() // that it is over may just have been overwritten
}

// receive reads one answer. A 200 must prove that it is whole: by one stated length
// or complete chunks, or by an end of the connection that it has announced; not by
// two of them, of which http.ReadResponse hides one. Of a large one, or one that
// there is no room for, the rest is left to be read.
func (u *upstream) receive(c *conn, method string) (*received, error) {
	for range interimMost {
		c.stall = 0
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		// An answer that has begun and stalls would hold its request until the
		// client's time is up.
		c.stall = answerRest
		head, err := c.head()
		if err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			c.SetReadDeadline(time.Time{})
			continue
		}
		if response.ContentLength > bodyMost {
			return nil, errLarge
		}
		if response.StatusCode != http.StatusOK {
			n, err := io.Copy(io.Discard, io.LimitReader(response.Body, holdMost+1))
			if err == nil && n > holdMost {
				err = errLarge
			}
			return &received{response: response}, err
		}
		closes := response.ProtoMinor == 0 || head.closing
		if head.lengths > 1 || head.lengths == 1 && head.coding || head.lengths == 0 && !head.coding && !closes {
			return nil, errors.New("the answer's length is not stated in one way")
		}
		c.limit.N = math.MaxInt64
		return u.hold(c, response)
	}
	return nil, errors.New("interim answers without end")
}

// hold reads an answer's body whole where that is small, and else its beginning.
func (u *upstream) hold(c *conn, response *http.Response) (*received, error) {
	got := &received{response: response}
	begin := func() { got.rest = &rest{up: u, conn: c, body: response.Body, left: bodyMost - int64(len(got.body))} }
	size := response.ContentLength
	if size < 0 {
		size = holdMost
	}
	if size > holdMost || !u.room.take(size) {
		// Its first byte is worth waiting for: an endpoint that fails here may still be replaced.
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		begin()
		return got, nil
	}
	got.held = func() { u.room.give(size) }
	began := time.Now()
	got.body = make([]byte, 0, size)
	for {
		n, err := response.Body.Read(got.body[len(got.body):size])
		got.body = got.body[:len(got.body)+n]
		switch {
		case err == io.EOF, err == nil && int64(len(got.body)) == response.ContentLength:
			return got, nil
		case err != nil:
			got.held()
			return nil, err
		case response.ContentLength < 0 && (int64(len(got.body)) == size || time.Since(began) >= holdFor):
			begin()
			return got, nil
		}
	}
}

var errLarge = fmt.Errorf("the answer's body is over %d bytes", bodyMost)

// head waits for the whole head of the next answer and looks at its bytes, which
// are left to be read.
func (c *conn) head() (headScan, error) {
	var h headScan
	for h.end == 0 {
		if _, err := c.reader.Peek(int(h.size) + 1); err != nil {
			return h, err
		}
		all, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return h, err
		}
		h.scan(all[h.size:])
	}
	return h, nil
}

// encode writes the request with the time that this attempt has left, up to the
// end of what is held of its body or, where more follows, of its head.
func (m *message) encode(ctx context.Context) ([]byte, error) {
	header := http.Header{}
	endToEnd(header, m.header)
	length := int64(len(m.body))
	if m.upload != nil { // its time counts from its last byte
		length = m.upload.length
		header.Set("X-Time-Left-Ms", strconv.FormatInt(m.upload.left.Milliseconds(), 10))
	} else if until, ok := ctx.Deadline(); ok {
		header.Set("X-Time-Left-Ms", strconv.FormatInt(max(0, time.Until(until).Milliseconds()), 10))
	}
	if length < 0 {
		header.Set("Transfer-Encoding", "chunked")
	} else if length > 0 || m.method != http.MethodGet {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	var data bytes.Buffer
	fmt.Fprintf(&data, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.url.RequestURI(), m.host)
	if err := header.Write(&data); err != nil {
		return nil, err
	}
	data.WriteString("\r\n")
	if m.upload == nil {
		data.Write(m.body)
	}
	return data.Bytes(), nil
}

// hopByHop headers concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEnd copies the headers that are to be passed on.
func endToEnd(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}
