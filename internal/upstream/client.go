package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/stages"
)

// probeTimeout bounds a probe, the time to connect included.
const probeTimeout = 400 * time.Millisecond

// Client sends requests to endpoints. It does not use http.Transport, which by itself repeats an idempotent request
// on a dead idle connection: each such repetition would be an attempt that the balancer never decided.
//
// Its methods may be called concurrently.
type Client struct {
	// The pool has the connections, and the exported fields Dialer and ReuseDelay.
	*pool

	// Format is the format of load reports in force.
	Format atomic.Pointer[ReportFormat]
	// BodyMemory is the memory budget for the bodies of responses.
	BodyMemory *httpmsg.MemoryBudget
}

// Result is the outcome of an attempt or a probe.
type Result struct {
	Status balancer.Status
	// Err is why Status is not OK. It is nil where a complete response decided the status.
	Err error
	// Header and Body are those of a 200 response. Body is complete if Rest is nil, and else its buffered beginning.
	Header http.Header
	Body   []byte
	// Stream is the remainder of the body, or nil. Whoever has the result closes it.
	Stream *BodyStream
	// ContentLength is the length of the complete body in bytes, -1 if unknown.
	ContentLength int64
	// ReleaseBody returns the memory that was reserved for Body. It is nil where none was.
	ReleaseBody func()
	// Load is the load report of the response, in the format Report; nil if there is none.
	Load         []float32
	ReportFormat *ReportFormat
	// Elapsed is the time from the first write to the end of the exchange, without the time to connect.
	Elapsed time.Duration
	// Times are the instants of the stages of the attempt.
	Times stages.AttemptTimes
}

// close releases what a result holds, where its body is not used.
func (r *Result) close() {
	if r.Stream != nil {
		r.Stream.Close()
	}
	if r.ReleaseBody != nil {
		r.ReleaseBody()
	}
}

// NewClient returns a client that opens at most maxConnections connections and reserves the memory for response
// bodies from bodies.
func NewClient(cfg *config.Config, maxConnections int, bodies *httpmsg.MemoryBudget) *Client {
	u := &Client{pool: newPool(maxConnections), BodyMemory: bodies}
	u.Configure(cfg)
	return u
}

// Configure applies a configuration. Open connections stay as they are.
func (u *Client) Configure(cfg *config.Config) {
	u.setTimeouts(time.Duration(cfg.Settings.Limits.DialTimeout)*time.Microsecond, cfg.IdleTimeout)
	if old := u.Format.Load(); old == nil || !slices.Equal(old.fields, cfg.ReportFields) {
		u.Format.Store(&ReportFormat{cfg.ReportFields})
	}
}

// Attempt sends a request once and returns the outcome. The outcome claims that the request never ran only where the
// last byte was not written or the endpoint says so; in doubt the request may have run.
func (u *Client) Attempt(ctx context.Context, endpoint *Endpoint, request *Request, gate *Gate) Result {
	var exchanged *exchangeResult
	var start time.Time
	err := errStaleConnection
	for errors.Is(err, errStaleConnection) { // nothing has been sent on that connection
		c, connectErr := u.connect(ctx, endpoint, request.isProbe)
		if connectErr != nil {
			return Result{Status: unsentStatus(ctx, connectErr), Err: connectErr}
		}
		start = time.Now()
		exchanged, err = u.exchange(ctx, c, request, gate)
	}
	r := Result{Status: balancer.EndpointError, Err: err, Elapsed: time.Since(start)}
	r.Times = stages.AttemptTimes{Connected: start, Received: start.Add(r.Elapsed)}
	if err != nil {
		r.Status = failureStatus(ctx, err)
		return r
	}
	response := exchanged.response
	r.Times.Written = exchanged.writtenAt
	r.Load, r.ReportFormat = u.ParseLoadReport(response.Header.Get("X-Backend-Load"))
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		r.Status, r.Header, r.Body = balancer.OK, response.Header, exchanged.body
		r.Stream, r.ContentLength, r.ReleaseBody = exchanged.stream, response.ContentLength, exchanged.release
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		response.Header.Get("X-Unprocessed") == "1":
		r.Status = balancer.Rejected
	}
	return r
}

// Probe requests an endpoint's load report, or its health where the configuration has no load reports.
func (u *Client) Probe(ctx context.Context, endpoint *Endpoint) Result {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := &Request{Method: http.MethodGet, URL: &url.URL{Path: "/health/live"}, Host: endpoint.Address, isProbe: true}
	if len(u.Format.Load().fields) > 0 {
		request.URL.Path = "/stats"
	}
	r := u.Attempt(ctx, endpoint, request, &Gate{})
	if r.Status == balancer.OK {
		r.Load, r.ReportFormat = u.ParseLoadReport(string(r.Body))
		r.close()
	}
	return r
}
