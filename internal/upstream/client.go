package upstream

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
	"oakproxy/internal/config"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/stages"
	"oakproxy/internal/system"
)

const (
	MaxHeadBytes = 32 << 10 // bytes of a request's head
	probeTimeout = 400 * time.Millisecond
)

// Client sends requests to endpoints. It does not use http.Transport, which
// by itself repeats what it finds safe to repeat on a dead idle connection:
// each such repetition would be an attempt that the balancer never decided.
type Client struct {
	Dialer     net.Dialer
	maxIdle    time.Duration // idle connections are not used for longer,
	ReuseDelay time.Duration // nor for so long after an answer
	Report     atomic.Pointer[ReportFormat]
	Bodies     *httpmsg.MemoryBudget // for the bodies of answers

	mu                               sync.Mutex
	open                             int // connections, those being dialled included
	maxOpen                          int
	idle                             map[*Endpoint][]*conn // by endpoint, the latest used last
	dialTime                         time.Duration
	dials, failedDials, limitReached uint64
}

// Result is what came of an attempt or a probe.
type Result struct {
	Status  balancer.Status
	Err     error       // why it is not OK, where that was no answer
	Header  http.Header // of a whole answer 200, as is body
	Body    []byte
	Rest    *BodyStream // what follows body, of an answer that is passed on while it comes
	Length  int64       // of the whole, -1 if unknown
	Release func()      // gives back the room for body
	Load    []float32
	Report  *ReportFormat // that load is in
	Took    time.Duration // from the write to the end, without the time to connect
	Times   stages.AttemptTimes
}

// Reasons for which the sidecar itself sends nothing.
var (
	errEndpointClosed  = errors.New("the endpoint is draining or gone")
	errConnectionLimit = errors.New("no connection is left")
	errStaleConnection = errors.New("the idle connection is of no more use")
	errResponseTimeout = errors.New("the time of a request that was passed on is up")
	errEarlyResponse   = errors.New("an answer came before the request was written")
)

// unsentError says that the last byte of a request was never written.
type unsentError struct{ error }

func NewClient(cfg *config.Config, connections int, room *httpmsg.MemoryBudget) *Client {
	u := &Client{ReuseDelay: defaultReuseDelay, Bodies: room, maxOpen: connections, idle: map[*Endpoint][]*conn{}}
	u.Configure(cfg)
	return u
}

// ReportFormat names the figures of a load report, in the order of Settings.Fields.
type ReportFormat struct{ fields []string }

// Configure takes up what a configuration says of endpoints and connections to them.
func (u *Client) Configure(cfg *config.Config) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Dialer.Timeout = time.Duration(cfg.Settings.Limits.DialTimeout) * time.Microsecond
	// An endpoint closes an idle connection when its time is over at the
	// latest, and what is written to it from then on is lost.
	u.maxIdle = cfg.IdleTimeout * 3 / 4
	if old := u.Report.Load(); old == nil || !slices.Equal(old.fields, cfg.ReportFields) {
		u.Report.Store(&ReportFormat{cfg.ReportFields})
	}
}

// Attempt sends a request once and tells what came of it. Its outcome claims
// that the request never ran only where the last byte was not written, or the
// endpoint says so; in doubt it may have run.
func (u *Client) Attempt(ctx context.Context, t *Endpoint, m *Request, g *Gate) Result {
	var got *exchangeResult
	var start time.Time
	err := error(errStaleConnection)
	for err == errStaleConnection { // nothing has been sent on that connection
		c, unable := u.connect(ctx, t, m.isProbe)
		if unable != nil {
			return Result{Status: unsentStatus(ctx, unable), Err: unable}
		}
		start = time.Now()
		got, err = u.exchange(ctx, c, m, g)
	}
	r := Result{Status: balancer.EndpointError, Err: err, Took: time.Since(start)}
	r.Times = stages.AttemptTimes{Connected: start, Received: start.Add(r.Took)}
	if err != nil {
		r.Status = failureStatus(ctx, err)
		return r
	}
	response := got.response
	r.Times.Written = got.writtenAt
	r.Load, r.Report = u.LoadReport(response.Header.Get("X-Backend-Load"))
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		r.Status, r.Header, r.Body = balancer.OK, response.Header, got.body
		r.Rest, r.Length, r.Release = got.stream, response.ContentLength, got.release
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		response.Header.Get("X-Unprocessed") == "1":
		r.Status = balancer.Rejected
	}
	return r
}

// failureStatus is the outcome of an exchange that ended with an error.
func failureStatus(ctx context.Context, err error) balancer.Status {
	var never *unsentError
	switch {
	case errors.As(err, &never):
		return unsentStatus(ctx, never.error)
	case err == errResponseTimeout || deadlinePassed(ctx):
		return balancer.Timeout
	case ctx.Err() != nil:
		return balancer.Cancelled
	}
	return balancer.Reset // a broken, cut or malformed answer: the connection is of no more use
}

// deadlinePassed says that an attempt's time is up, by the clock: the balancer's own timer
// for that instant may have called the attempt off already, but to be told of a
// cancellation in place of a time-out would hide the endpoint's silence from it.
func deadlinePassed(ctx context.Context) bool {
	until, ok := ctx.Deadline()
	return ok && !time.Now().Before(until)
}

// unsentStatus is the outcome of a request that was not written: the endpoint's
// fault, unless this machine lacked something, the sidecar no longer wanted to send it, or the client to write it.
func unsentStatus(ctx context.Context, err error) balancer.Status {
	var client *clientError
	own := slices.ContainsFunc([]error{errEndpointClosed, errConnectionLimit, errUploadStopped, errClientGone, errTooLate}, func(e error) bool { return errors.Is(err, e) })
	if own || system.IsShortage(err) || ctx.Err() != nil || deadlinePassed(ctx) || errors.As(err, &client) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// Probe asks an endpoint for its load report, or for its health where the
// deployment has no reports.
func (u *Client) Probe(ctx context.Context, t *Endpoint) Result {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m := &Request{Method: http.MethodGet, URL: &url.URL{Path: "/health/live"}, Host: t.Address, isProbe: true}
	if len(u.Report.Load().fields) > 0 {
		m.URL.Path = "/stats"
	}
	r := u.Attempt(ctx, t, m, &Gate{})
	if r.Status == balancer.OK {
		r.Load, r.Report = u.LoadReport(string(r.Body))
		r.close()
	}
	return r
}

// close gives back what a result holds, where nobody takes its body.
func (r *Result) close() {
	if r.Rest != nil {
		r.Rest.Close()
	}
	if r.Release != nil {
		r.Release()
	}
}
