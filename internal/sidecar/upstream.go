package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oakproxy/balancer"
)

const (
	maxHeadBytes = 32 << 10 // bytes of a request's head
	probeTimeout = 400 * time.Millisecond
)

// upstream sends requests to endpoints. It does not use http.Transport, which
// by itself repeats what it finds safe to repeat on a dead idle connection:
// each such repetition would be an attempt that the balancer never decided.
type upstream struct {
	dialer  net.Dialer
	maxIdle time.Duration // idle connections are not used for longer,
	rest    time.Duration // nor for so long after an answer
	report  atomic.Pointer[reportFormat]
	room    *budget // for the bodies of answers

	mu                  sync.Mutex
	open                int // connections, those being dialled included
	most                int
	idle                map[*target][]*conn // by endpoint, the latest used last
	dialTime            time.Duration
	dials, failed, full uint64
}

// result is what came of an attempt or a probe.
type result struct {
	status balancer.Status
	err    error       // why it is not OK, where that was no answer
	header http.Header // of a whole answer 200, as is body
	body   []byte
	rest   *rest  // what follows body, of an answer that is passed on while it comes
	length int64  // of the whole, -1 if unknown
	held   func() // gives back the room for body
	load   []float32
	report *reportFormat // that load is in
	took   time.Duration // from the write to the end, without the time to connect
	times  attemptTimes
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
	u.maxIdle = cfg.idle * 3 / 4
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
			return result{status: unsent(ctx, unable), err: unable}
		}
		start = time.Now()
		got, err = u.exchange(ctx, c, m, g)
	}
	r := result{status: balancer.EndpointError, err: err, took: time.Since(start)}
	r.times = attemptTimes{connected: start, received: start.Add(r.took)}
	if err != nil {
		r.status = failure(ctx, err)
		return r
	}
	response := got.response
	r.times.written = got.written
	r.load, r.report = u.loadReport(response.Header.Get("X-Backend-Load"))
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		r.status, r.header, r.body = balancer.OK, response.Header, got.body
		r.rest, r.length, r.held = got.rest, response.ContentLength, got.held
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		response.Header.Get("X-Unprocessed") == "1":
		r.status = balancer.Rejected
	}
	return r
}

// failure is the outcome of an exchange that ended with an error.
func failure(ctx context.Context, err error) balancer.Status {
	var never *unsentError
	switch {
	case errors.As(err, &never):
		return unsent(ctx, never.error)
	case err == errOver || over(ctx):
		return balancer.Timeout
	case ctx.Err() != nil:
		return balancer.Cancelled
	}
	return balancer.Reset // a broken, cut or malformed answer: the connection is of no more use
}

// over says that an attempt's time is up, by the clock: the balancer's own timer
// for that instant may have called the attempt off already, but to be told of a
// cancellation in place of a time-out would hide the endpoint's silence from it.
func over(ctx context.Context) bool {
	until, ok := ctx.Deadline()
	return ok && !time.Now().Before(until)
}

// unsent is the outcome of a request that was not written: the endpoint's
// fault, unless this machine lacked something, the sidecar no longer wanted to send it, or the client to write it.
func unsent(ctx context.Context, err error) balancer.Status {
	var client *clientError
	own := slices.ContainsFunc([]error{errClosed, errFull, errStopped, errGone, errLate}, func(e error) bool { return errors.Is(err, e) })
	if own || isShortage(err) || ctx.Err() != nil || over(ctx) || errors.As(err, &client) {
		return balancer.NotSent
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
		r.close()
	}
	return r
}

// close gives back what a result holds, where nobody takes its body.
func (r *result) close() {
	if r.rest != nil {
		r.rest.Close()
	}
	if r.held != nil {
		r.held()
	}
}
