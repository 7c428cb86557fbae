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

// probeTimeout limits the duration of a probe, including the time to connect.
const probeTimeout = 400 * time.Millisecond

// Client sends requests to endpoints. It does not use http.Transport. If a request was sent on an idle connection that
// turns out to be dead, http.Transport repeats the request by itself if the request is idempotent. Each repetition
// would be an attempt that the balancer did not decide.
//
// The methods of a Client may be called concurrently.
type Client struct {
	// pool manages the connections. Its exported fields, Dialer and ReuseDelay, are also fields of the Client.
	*pool

	// CurrentFormat is the format of load reports in the current configuration.
	CurrentFormat atomic.Pointer[ReportFormat]
	// Memory is the memory for responses, and for the buffers of streamed bodies.
	Memory *httpmsg.MemoryBudgets
}

// Result is the outcome of an attempt or a probe.
type Result struct {
	Status balancer.Status
	// Err is the reason why the attempt failed without a valid response. It is nil if a response determines Status.
	Err error
	// Reason is the reason of Err for statistics. It is empty if Err is nil.
	Reason FailureReason
	// Header and Body are the header and the body of a 200 response. If Stream is nil, Body is the complete body;
	// otherwise Body is its buffered beginning.
	Header http.Header
	Body   []byte
	// Stream is the remainder of the body; nil if Body is complete. The receiver of the Result must close it.
	Stream *BodyStream
	// ContentLength is the length of the complete body of a 200 response in bytes; -1 if the length is unknown.
	ContentLength int64
	// ReleaseBody releases the memory that was reserved for Body. It is nil if no memory was reserved.
	ReleaseBody func()
	// Load holds the values of the response's load report in the order of ReportFormat. It is nil if the response has
	// no load report. ReportFormat is nil if the exchange failed.
	Load         []float32
	ReportFormat *ReportFormat
	// Elapsed is the time from the first write to the end of the exchange. It excludes the time to connect.
	Elapsed time.Duration
	// Times are the instants at which the stages of the attempt ended.
	Times stages.AttemptTimes
}

// close closes Stream and releases the memory of Body. It is called for a result whose body is not used.
func (r *Result) close() {
	if r.Stream != nil {
		r.Stream.Close()
	}
	if r.ReleaseBody != nil {
		r.ReleaseBody()
	}
}

// NewClient returns a client that has at most maxConnections open connections and reserves memory from the budgets.
func NewClient(cfg *config.Config, maxConnections int, memory *httpmsg.MemoryBudgets) *Client {
	u := &Client{pool: newPool(maxConnections), Memory: memory}
	u.Configure(cfg)
	return u
}

// Configure applies a configuration. Connections that are already open are not affected.
func (u *Client) Configure(cfg *config.Config) {
	u.setTimeouts(time.Duration(cfg.Settings.Limits.DialTimeout)*time.Microsecond, cfg.IdleTimeout)
	if old := u.CurrentFormat.Load(); old == nil || !slices.Equal(old.fields, cfg.ReportFields) {
		u.CurrentFormat.Store(&ReportFormat{cfg.ReportFields})
	}
}

// Attempt sends a request once and returns the outcome. The outcome states that the request never ran only if the last
// byte was not written or the endpoint's response says so. In any other case the request may have run. stalled is called
// when the response has begun and makes no progress; it may be nil.
func (u *Client) Attempt(ctx context.Context, endpoint *Endpoint, request *Request, gate *Gate,
	stalled StallFunc) Result {
	var exchanged *exchangeResult
	var start time.Time
	err := errStaleConnection
	for errors.Is(err, errStaleConnection) { // nothing of the request was sent on the stale connection
		c, connectErr := u.connect(ctx, endpoint, request.isProbe)
		if connectErr != nil {
			status := unsentStatus(ctx, connectErr)
			return Result{Status: status, Err: connectErr, Reason: reasonOf(ctx, status, connectErr)}
		}
		start = time.Now()
		exchanged, err = u.exchange(ctx, c, request, gate, stalled)
	}
	r := Result{Status: balancer.EndpointError, Err: err, Elapsed: time.Since(start)}
	r.Times = stages.AttemptTimes{Connected: start, Received: start.Add(r.Elapsed)}
	if err != nil {
		r.Status = failureStatus(ctx, err)
		r.Reason = reasonOf(ctx, r.Status, err)
		return r
	}
	response := exchanged.response
	r.Times.Written = exchanged.writtenAt
	r.Load, r.ReportFormat = u.ParseLoadReport(response.Header.Get("X-Backend-Load"))
	if response.StatusCode != http.StatusOK {
		defer exchanged.release()
	}
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

// Probe requests an endpoint's load report, or its health if the configuration has no load report fields.
func (u *Client) Probe(ctx context.Context, endpoint *Endpoint) Result {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := &Request{Method: http.MethodGet, URL: &url.URL{Path: "/health/live"}, Host: endpoint.Address, isProbe: true}
	if len(u.CurrentFormat.Load().fields) > 0 {
		request.URL.Path = "/stats"
	}
	r := u.Attempt(ctx, endpoint, request, &Gate{}, nil)
	if r.Status == balancer.OK {
		r.Load, r.ReportFormat = u.ParseLoadReport(string(r.Body))
		r.close()
	}
	return r
}
