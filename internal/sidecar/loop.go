package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/downstream"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/operatorstate"
	"oakproxy/internal/stages"
	"oakproxy/internal/system"
	"oakproxy/internal/upstream"
)

const (
	maxQueuedEvents       = 1024 // waiting for the loop
	maxQueuedUrgentEvents = 16   // the same of those that go first
	pruneInterval         = time.Second
	statsInterval         = 2 * time.Second
	failureLogInterval    = time.Second // lines on failures of discovery, where one follows the other
)

// clock gives the balancer's time: microseconds that never run backwards, from
// the Unix time at the start on, so that discovery's times map onto it as they
// are.
type clock struct {
	start       time.Time
	startMicros balancer.Micros // Unix time at the base, by the wall clock of then
}

func newClock(wall func() time.Time) clock { return clock{time.Now(), wall().UnixMicro()} }

func (c clock) now() balancer.Micros { return c.startMicros + time.Since(c.start).Microseconds() }

func (c clock) timeAt(at balancer.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.startMicros) * time.Microsecond)
}

// decider is what the loop needs of a *balancer.Balancer.
type decider interface {
	Start(now balancer.Micros)
	HandleEndpoints(now balancer.Micros, kind balancer.ListUpdate, entries []balancer.Endpoint)
	HandleRequest(now balancer.Micros, in balancer.Request)
	HandleBodyWritten(now balancer.Micros, id uint64, deadline balancer.Micros)
	HandleOutcome(now balancer.Micros, o balancer.Outcome)
	HandleClientGone(now balancer.Micros, id uint64)
	HandleTimer(now balancer.Micros, token uint32)
	Reconfigure(s balancer.Settings) ([]balancer.AttemptID, error)
	Estimates() balancer.Estimates
	Restore(l *balancer.Estimates)
	Cordon(now balancer.Micros, name uint64, out bool, since balancer.Micros)
	HandleProbe(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32)
	Stats(now balancer.Micros) balancer.Stats
}

// loop owns the balancer: one goroutine passes it every event and carries out
// its Actions. It never waits for the network; what it starts reports back
// through events.
type loop struct {
	log            *slog.Logger
	clock          clock
	operatorClock  system.Clock // of what outlives the process
	upstream       *upstream.Client
	discovery      *discovery.Client
	events         chan func(now balancer.Micros)
	urgent         chan func(now balancer.Micros) // goes ahead of events
	ctx            context.Context                // ends with the loop
	endpointsKnown atomic.Bool                    // endpoints are known
	stages         stages.Recorder                // of requests served

	current       atomic.Pointer[config.Snapshot] // the configuration in force
	limitsChanged func()                          // has its limits hold when they have changed; may be nil
	closeCounts   func() downstream.CloseCounts   // of clients' connections; may be nil

	// Below: the loop's goroutine alone.
	cfg             *config.Config // that of current
	rejectedReloads int            // configurations that were not taken
	balancer        decider
	requests        map[uint64]*request
	lastRequestID   uint64
	endpointIDs     map[string]uint32 // of endpoints, by host name
	lastEndpointID  uint32            // the latest id given; none is given twice
	endpoints       map[uint32]*endpoint
	overrides       map[string]operatorstate.Override                   // what operators set, by host name
	warmStart       *balancer.Estimates                                 // to begin with; may be nil
	saveEstimates   func(now balancer.Micros, known balancer.Estimates) // takes what is known once a second; may be nil
	position        discovery.Position                                  // of the watch
	lastListAt      balancer.Micros                                     // when discovery answered last, or the start
	calls           callCounts                                          // of discovery
	failing         bool                                                // the last call failed
	lastWarningAt   balancer.Micros                                     // of such a failure
	stopWatch       context.CancelFunc
	lastStats       balancer.Stats // when last recorded, as are dials and asked
	lastUpstream    upstream.Counts
	lastCalls       callCounts
	maxEventWait    time.Duration // longest wait of an event since then
	lastStages      stages.Totals // when last recorded, as are closed
	lastCloses      downstream.CloseCounts
}

// request is the ledger's entry for a request that the balancer may still
// speak of: no final answer is out, or attempts are.
type request struct {
	id         uint64
	message    *upstream.Request
	deadline   balancer.Micros
	response   chan finalResponse // takes the one final answer
	finished   bool               // the final answer is out, or the client is gone
	attempts   []attempt
	inFlight   int         // attempts without outcome
	clientLeft func() bool // whether the client has left, by a look at its connection; may be nil
	times      stages.RequestTimes
}

// attempt is an attempt that is under way.
type attempt struct {
	cancel context.CancelFunc
	gate   *upstream.Gate
}

// finish marks that nothing new may begin for the request. An attempt that has not begun is
// called off whether or not the settings let one be cancelled: nobody knows of it yet.
func (r *request) finish() {
	r.finished = true
	for _, a := range r.attempts {
		if a.gate.Close() {
			a.cancel()
		}
	}
}

// recordTimes takes the times of the attempt that was answered, where those of the request are whole: its
// first and only attempt, with nothing to pass on while it came.
func (r *request) recordTimes(times stages.AttemptTimes) {
	if !r.finished && len(r.attempts) == 1 && r.message.Upload == nil {
		r.times.Attempt = times
	}
}

// finalResponse is the final answer to a request.
type finalResponse struct {
	code        int
	retryAfter  balancer.Micros
	header      http.Header
	body        []byte
	remainder   *upstream.BodyStream // what follows body, while it comes
	length      int64                // of the whole, where there is a rest; -1 if unknown
	releaseBody func()               // gives back the room for body
}

func newLoop(ctx context.Context, cfg *config.Config, log *slog.Logger) (*loop, error) {
	times := cfg.Host.Time.OrSystem()
	l := &loop{
		log: log, clock: newClock(times.Wall), operatorClock: times, ctx: ctx,
		upstream: upstream.NewClient(cfg, maxConnections(cfg), httpmsg.NewMemoryBudget(bodyMemoryLimit(cfg))), discovery: newDiscoveryClient(cfg),
		events:   make(chan func(balancer.Micros), maxQueuedEvents),
		urgent:   make(chan func(balancer.Micros), maxQueuedUrgentEvents),
		requests: map[uint64]*request{}, endpointIDs: map[string]uint32{}, endpoints: map[uint32]*endpoint{}, overrides: map[string]operatorstate.Override{},
		stopWatch: func() {},
	}
	l.activate(config.NewSnapshot(cfg))
	var err error
	l.balancer, err = balancer.New(cfg.Settings, cfg.Seed, l)
	return l, err
}

// run handles events until the loop's context ends.
func (l *loop) run() {
	now := l.clock.now()
	l.lastListAt = now
	l.logConfiguration(nil, nil)
	l.balancer.Start(now)
	if l.warmStart != nil {
		l.balancer.Restore(l.warmStart)
	}
	if len(l.cfg.KnownEndpoints.Hosts) > 0 {
		l.updateEndpoints(now, balancer.ListCached, l.cfg.KnownEndpoints)
	}
	if !l.cfg.Settings.SubscribeToDiscovery {
		l.Watch(true)
	}
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	stats := time.NewTicker(statsInterval)
	defer stats.Stop()
	for {
		select {
		case event := <-l.urgent:
			event(l.clock.now())
			continue
		default:
		}
		select {
		case event := <-l.urgent:
			event(l.clock.now())
		case event := <-l.events:
			event(l.clock.now())
		case <-prune.C:
			l.upstream.Prune()
			if l.saveEstimates != nil {
				l.saveEstimates(l.clock.now(), l.balancer.Estimates())
			}
		case <-stats.C:
			l.logStats(l.clock.now())
		case <-l.ctx.Done():
			return
		}
	}
}

// logStats records what was counted since the last such line; a quiet time leaves none.
func (l *loop) logStats(now balancer.Micros) {
	stats, up := l.balancer.Stats(now), l.upstream.Counts()
	staged := l.stages.Totals()
	var closed downstream.CloseCounts
	if l.closeCounts != nil {
		closed = l.closeCounts()
	}
	if stats.Requests != l.lastStats.Requests {
		inForce := l.current.Load()
		l.log.Info("statistics", "balancer", stats.Since(&l.lastStats), "list_age_ms", (now-l.lastListAt)/1000, "list_seq", l.position.Newest, "discovery_calls", l.calls.since(l.lastCalls), "dials", up.Dials-l.lastUpstream.Dials,
			"dial_ms", (up.DialTime-l.lastUpstream.DialTime).Milliseconds()/int64(max(1, up.Dials-l.lastUpstream.Dials)),
			"dial_failed", up.Failed-l.lastUpstream.Failed, "connection_limit", up.LimitReached-l.lastUpstream.LimitReached, "connections", up.Open, "event_wait_ms", float64(l.maxEventWait.Microseconds())/1000,
			"stages_us", staged.MeansSince(l.lastStages), "client_closes", closed.Since(l.lastCloses),
			"generation", inForce.Generation, "hash", inForce.FileHash, "reloads", inForce.Generation-config.FirstGeneration, "reloads_rejected", l.rejectedReloads)
	}
	l.lastStages, l.lastCloses = staged, closed
	l.lastStats, l.lastUpstream, l.lastCalls, l.maxEventWait = stats, up, l.calls, 0
}

// post hands an event to the loop. It must not be called from the loop.
func (l *loop) post(event func(now balancer.Micros)) {
	posted := time.Now()
	timed := func(now balancer.Micros) {
		l.maxEventWait = max(l.maxEventWait, time.Since(posted))
		event(now)
	}
	select {
	case l.events <- timed:
	case <-l.ctx.Done():
	}
}

// runUrgent has the loop do something ahead of all events that wait, and waits until
// it is done, or the loop has ended.
func (l *loop) runUrgent(event func(now balancer.Micros)) {
	done := make(chan struct{})
	select {
	case l.urgent <- func(now balancer.Micros) { event(now); close(done) }:
	case <-l.ctx.Done():
		return
	}
	select {
	case <-done:
	case <-l.ctx.Done():
	}
}

// admit passes a new request to the balancer.
func (l *loop) admit(now balancer.Micros, r *request, in balancer.Request) {
	l.lastRequestID++
	r.id, in.ID, r.deadline = l.lastRequestID, l.lastRequestID, in.Deadline
	l.requests[r.id] = r
	r.times.Dequeued = time.Now()
	if in.ReceivedUnder == &l.cfg.Settings {
		in.ReceivedUnder = nil // nothing has changed since it was read
	}
	if up := r.message.Upload; up != nil {
		up.OnWritten = func() {
			l.post(func(at balancer.Micros) {
				if !r.finished {
					r.deadline = at + time.Until(up.Deadline()).Microseconds()
					l.balancer.HandleBodyWritten(at, r.id, r.deadline)
				}
			})
		}
	}
	l.balancer.HandleRequest(now, in)
	l.forget(r)
}

// clientGone tells that the client went away.
func (l *loop) clientGone(now balancer.Micros, r *request) {
	if r.finished {
		unread := <-r.response
		unread.close()
		return
	}
	l.trace(r, "client disconnected", "attempts", len(r.attempts))
	r.finish()
	l.balancer.HandleClientGone(now, r.id)
	l.forget(r)
}

// handleOutcome tells how an attempt ended: exactly once for each, also after the
// request's end, when the balancer still learns from it.
func (l *loop) handleOutcome(now balancer.Micros, r *request, o balancer.Outcome, res upstream.Result) {
	r.inFlight--
	l.trace(r, "attempt finished", "number", o.Attempt, "status", o.Status, "error", res.Err, "after_us", o.Latency, "over", r.finished)
	if res.Status == balancer.OK {
		r.recordTimes(res.Times)
		l.respond(r, finalResponse{code: http.StatusOK, header: res.Header, body: res.Body,
			remainder: res.Rest, length: res.Length, releaseBody: res.Release})
	}
	o.Answered, o.LoadReport = r.finished, l.currentLoadReport(res)
	l.balancer.HandleOutcome(now, o)
	l.forget(r)
}

// respond gives the final answer, unless one is out already.
func (l *loop) respond(r *request, a finalResponse) {
	if r != nil && !r.finished {
		l.trace(r, "final response", "code", a.code, "attempts", len(r.attempts))
		r.finish()
		r.response <- a // it has room for the one
		return
	}
	a.close()
}

func (l *loop) forget(r *request) {
	if r.finished && r.inFlight == 0 {
		delete(l.requests, r.id)
	}
}

// Send starts an attempt.
func (l *loop) Send(id uint64, endpoint uint32, latest balancer.Micros) {
	r, t := l.requests[id], l.acquire(endpoint)
	now, g := l.clock.now(), &upstream.Gate{ClientGone: r.clientLeft}
	if latest > 0 {
		g.NotAfter = l.clock.timeAt(latest)
	}
	ctx, cancel := context.WithDeadline(l.ctx, l.clock.timeAt(r.deadline))
	o := balancer.Outcome{ID: id, Attempt: len(r.attempts), Endpoint: endpoint}
	l.trace(r, "attempt started", "number", o.Attempt, "endpoint", endpoint, "known", t != nil)
	if len(r.attempts) == 0 {
		r.times.Sent = time.Now()
	}
	r.attempts = append(r.attempts, attempt{cancel, g})
	r.inFlight++
	go func() {
		res := upstream.Result{Status: balancer.NotSent}
		if t != nil {
			res = l.upstream.Attempt(ctx, t, r.message, g)
		}
		cancel()
		l.post(func(at balancer.Micros) {
			o.Status, o.Latency = res.Status, at-now
			if up := r.message.Upload; up != nil {
				if o.BodyConsumed = up.Consumed.Load() || up.Phase.Load() != upstream.UploadStreaming; !up.WrittenAt.IsZero() {
					o.Latency = time.Since(up.WrittenAt).Microseconds()
				}
			}
			l.handleOutcome(at, r, o, res)
			l.release(endpoint)
		})
	}()
}

// Reject answers that a retry is harmless, and when it is welcome.
func (l *loop) Reject(id uint64, retryAfter balancer.Micros) {
	l.respond(l.requests[id], finalResponse{code: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

// Fail answers that the request failed.
func (l *loop) Fail(id uint64) {
	l.respond(l.requests[id], finalResponse{code: http.StatusBadGateway})
}

// Cancel gives an attempt up: its connection is closed, its outcome still comes.
func (l *loop) Cancel(id uint64, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].cancel()
	}
}

// StartTimer gives a token back after a while.
func (l *loop) StartTimer(delay balancer.Micros, token uint32) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
		l.post(func(now balancer.Micros) { l.balancer.HandleTimer(now, token) })
	})
}

// Probe asks an endpoint for its load.
func (l *loop) Probe(endpoint uint32) {
	t := l.acquire(endpoint)
	go func() {
		res := upstream.Result{Status: balancer.NotSent}
		if t != nil {
			res = l.upstream.Probe(l.ctx, t)
		}
		l.post(func(now balancer.Micros) {
			l.balancer.HandleProbe(now, endpoint, res.Status, res.Took.Microseconds(), l.currentLoadReport(res))
			l.release(endpoint)
		})
	}()
}

// trace records what becomes of one request, where the log has lines of level debug.
func (l *loop) trace(r *request, event string, attributes ...any) {
	if l.log.Enabled(l.ctx, slog.LevelDebug) {
		l.log.Debug(event, append([]any{"id", r.message.Header.Get("X-Correlation-Id")}, attributes...)...)
	}
}

// Log records a line of the balancer's.
func (l *loop) Log(line string) { l.log.Info(line) }

// close ends what an answer holds. It comes once for each, also where nobody takes it.
func (a *finalResponse) close() {
	if a.remainder != nil {
		a.remainder.Close()
	}
	if a.releaseBody != nil {
		a.releaseBody()
	}
}
