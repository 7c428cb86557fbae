package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"runtime"
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
	pruneInterval = time.Second     // interval of closing endpoints' long-idle connections and saving the estimates
	statsInterval = 2 * time.Second // time between log lines of statistics
)

// balancerAPI is the set of methods of *balancer.Balancer that the loop calls. Tests replace the balancer with a
// recorder.
type balancerAPI interface {
	Start(now balancer.Micros)
	HandleEndpoints(now balancer.Micros, kind balancer.ListUpdate, entries []balancer.Endpoint)
	HandleRequest(now balancer.Micros, in balancer.Request)
	HandleBodyWritten(now balancer.Micros, id uint64, deadline balancer.Micros)
	HandleStalledResponse(now balancer.Micros, id uint64, attempt int) balancer.StallDecision
	HandleOutcome(now balancer.Micros, o balancer.Outcome)
	HandleClientGone(now balancer.Micros, id uint64)
	HandleTimer(now balancer.Micros, token uint32)
	Reconfigure(s balancer.Settings) ([]balancer.AttemptID, error)
	Estimates() balancer.Estimates
	Restore(estimates *balancer.Estimates)
	Cordon(now balancer.Micros, nameHash uint64, cordoned bool, since balancer.Micros)
	HandleProbe(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32)
	Stats(now balancer.Micros) balancer.Stats
}

// clientSide is the part of the server that the loop calls. Its methods may be called from any goroutine.
type clientSide interface {
	// reapplyLimits applies limits that a reload has changed.
	reapplyLimits()
	// closeCounts returns how many clients' connections were closed for each cause.
	closeCounts() downstream.CloseCounts
	// openRequests returns how many requests have handlers that have not returned.
	openRequests() int
	// overdueUploads returns how many uploads were not forwarded by their forwarding deadline.
	overdueUploads() uint64
}

// loop owns the balancer and the tables of requests and endpoints. The goroutine that calls run, the loop's goroutine,
// passes every event to the balancer and carries out the balancer's Actions. It never waits for the network: attempts,
// probes and the watch of the endpoint list run in other goroutines, which report back through the event queue.
//
// Any goroutine may use the fields of the first group. The fields of the second group are set before run is called and
// do not change. The loop's goroutine owns the fields of the third group.
type loop struct {
	log              *slog.Logger
	clock            clock
	operatorClock    system.Clock    // clock for the times of operators' overrides, which outlive the process
	ctx              context.Context // context whose end stops the loop; a field, as balancer.Actions passes no context
	upstream         *upstream.Client
	events           eventQueue
	hasReadyEndpoint atomic.Bool                     // whether any endpoint of the table can be sent requests
	stages           stages.Recorder                 // times of the stages of served requests
	current          atomic.Pointer[config.Snapshot] // the configuration in force

	// clientSide serves the clients whose requests the loop handles; nil if there are no clients.
	clientSide clientSide
	// warmStart has the estimates of an earlier process, for the balancer to start with; may be nil.
	warmStart *balancer.Estimates
	// saveEstimates stores the balancer's estimates. It is called once every pruneInterval; may be nil.
	saveEstimates func(now balancer.Micros, estimates balancer.Estimates)

	cfg             *config.Config // configuration in force, which the field current also contains
	rejectedReloads int            // number of configurations that reload has rejected
	balancer        balancerAPI
	requests        requestTable
	endpoints       endpointTable
	watcher         discoveryWatcher
	stats           statsLogger
}

// newLoop returns a loop that ends when ctx ends. The loop does nothing until run is called.
func newLoop(ctx context.Context, cfg *config.Config, log *slog.Logger) (*loop, error) {
	times := cfg.Host.Time.WithDefaults()
	memory := httpmsg.NewMemoryBudgets(int64(cfg.Limits.MemoryMB) << 20)
	client := upstream.NewClient(cfg, maxConnections(cfg), memory)
	l := &loop{
		log: log, clock: newClock(times.Wall), operatorClock: times, ctx: ctx,
		upstream:  client,
		events:    newEventQueue(ctx.Done()),
		requests:  newRequestTable(),
		endpoints: newEndpointTable(client.Retire),
		watcher:   newDiscoveryWatcher(cfg, log),
		stats:     statsLogger{log: log},
	}
	l.activate(config.NewSnapshot(cfg))
	var err error
	l.balancer, err = balancer.New(cfg.Settings, cfg.Seed, l)
	return l, err
}

// run handles events until the loop's context ends.
func (l *loop) run() {
	l.start(l.clock.now())
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	stats := time.NewTicker(statsInterval)
	defer stats.Stop()
	for {
		select {
		case e := <-l.events.urgent:
			e(l.clock.now())
			continue
		default:
		}
		select {
		case e := <-l.events.urgent:
			e(l.clock.now())
		case e := <-l.events.queued:
			e(l.clock.now())
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

// start passes the saved estimates and the endpoints of the configuration to the balancer, and starts the watch of the
// endpoint list unless the balancer starts it.
func (l *loop) start(now balancer.Micros) {
	l.watcher.lastListAt = now
	l.logConfiguration(nil, nil)
	l.balancer.Start(now)
	if l.warmStart != nil {
		l.balancer.Restore(l.warmStart)
	}
	if len(l.cfg.KnownEndpoints.Entries) > 0 {
		l.updateEndpoints(now, balancer.ListCached, l.cfg.KnownEndpoints)
	}
	if !l.cfg.Settings.SubscribeToDiscovery {
		l.Watch(true)
	}
}

// logStats logs the statistics since the previous call.
func (l *loop) logStats(now balancer.Micros) {
	c := counters{balancer: l.balancer.Stats(now), upstream: l.upstream.Counts(), discoveryCalls: l.watcher.callCounts,
		stages: l.stages.Totals()}
	if l.clientSide != nil {
		c.closes = l.clientSide.closeCounts()
		c.overdueUploads = l.clientSide.overdueUploads()
	}
	l.stats.logSinceLast(&c, gauges{listAgeMS: l.watcher.listAgeMS(now), listVersion: l.watcher.position.CurrentVersion,
		maxEventWait: l.events.takeMaxWait(), inForce: l.current.Load(), rejectedReloads: l.rejectedReloads,
		held: l.heldResources()})
}

// heldResources returns what is currently held for requests in progress.
func (l *loop) heldResources() heldResources {
	held := heldResources{tableEntries: len(l.requests.byID), bodyMemory: l.upstream.Memory.Bodies.Used.Load(),
		headMemory: l.upstream.Memory.Heads.Used.Load(), chunkMemory: l.upstream.Memory.Chunks.Used.Load(),
		heap: heapBytes(), goroutines: runtime.NumGoroutine()}
	if l.clientSide != nil {
		held.openRequests = l.clientSide.openRequests()
	}
	return held
}

// admit passes a new request to the balancer.
func (l *loop) admit(now balancer.Micros, r *request, in balancer.Request) {
	l.requests.add(r)
	in.ID, r.deadline = r.id, in.Deadline
	r.times.Dequeued = time.Now()
	if in.ReceivedUnder == &l.cfg.Settings {
		in.ReceivedUnder = nil // nil means the settings in force, which have not changed since the request was read
	}
	if upload := r.message.Upload; upload != nil {
		upload.OnWritten = func() {
			l.events.post(func(at balancer.Micros) { l.handleBodyWritten(at, r) })
		}
	}
	l.balancer.HandleRequest(now, in)
}

// handleBodyWritten handles the end of a streamed request body. The time that the client grants for the response
// begins with the arrival of the body's last byte.
func (l *loop) handleBodyWritten(now balancer.Micros, r *request) {
	if !r.finished {
		r.deadline = now + time.Until(r.message.Upload.Deadline()).Microseconds()
		l.balancer.HandleBodyWritten(now, r.id, r.deadline)
	}
}

// handleClientGone ends a request whose client has disconnected. If the request already has its final response,
// handleClientGone closes the response, because nobody will read it.
func (l *loop) handleClientGone(now balancer.Micros, r *request) {
	if r.finished {
		unread := <-r.response
		unread.close()
		return
	}
	l.trace(r, "client disconnected", "attempts", len(r.attempts))
	l.requests.finish(r)
	l.balancer.HandleClientGone(now, r.id)
}

// handleOutcome handles the end of an attempt. It is called exactly once for each attempt, even after the request has
// ended, because the balancer still learns from the outcome.
func (l *loop) handleOutcome(now balancer.Micros, r *request, outcome balancer.Outcome, result upstream.Result) {
	l.requests.endAttempt(r, result.Status)
	l.stats.recordFailure(r, outcome, result)
	l.trace(r, "attempt finished", "number", outcome.Attempt, "status", outcome.Status, "error", result.Err,
		"after_us", outcome.Latency, "over", r.finished)
	if result.Status == balancer.OK {
		r.recordTimes(result.Times)
		l.respond(r, finalResponse{code: http.StatusOK, header: result.Header, body: result.Body,
			remainder: result.Stream, length: result.ContentLength, releaseBody: result.ReleaseBody})
	}
	outcome.Answered, outcome.LoadReport = r.finished, l.currentLoadReport(result)
	l.balancer.HandleOutcome(now, outcome)
}

// respond passes a final response to the request's handler. If r is nil or already finished, it closes the response.
func (l *loop) respond(r *request, response finalResponse) {
	if r != nil && !r.finished {
		l.trace(r, "final response", "code", response.code, "attempts", len(r.attempts))
		l.requests.finish(r)
		r.response <- response // the send does not block: the channel has room for the only response
		return
	}
	response.close()
}

// handleList handles an endpoint list that discovery sent.
func (l *loop) handleList(now balancer.Micros, list discovery.List) {
	l.watcher.recordList(now, &list)
	kind := balancer.ListDelta
	if list.Complete {
		kind = balancer.ListFull
	}
	l.updateEndpoints(now, kind, list)
}

// handleMalformedList handles a malformed answer to one call of a watch that continues.
func (l *loop) handleMalformedList(now balancer.Micros, err error) { l.watcher.recordFailure(now, err) }

// handleWatchEnded handles the failure that ended a watch.
func (l *loop) handleWatchEnded(now balancer.Micros, err error) {
	l.watcher.recordFailure(now, err)
	l.balancer.HandleEndpoints(now, balancer.ListFailed, nil)
}

// updateEndpoints applies a list to the endpoint table and then passes it to the balancer.
func (l *loop) updateEndpoints(now balancer.Micros, kind balancer.ListUpdate, list discovery.List) {
	mayBeOlder := l.watcher.advancePosition(l.clock.timeAt(now), &list)
	entries, ready := l.endpoints.update(&endpointUpdate{list: list, kind: kind, mayBeOlder: mayBeOlder,
		skew: list.ClockSkew(now), cfg: l.cfg})
	l.hasReadyEndpoint.Store(ready)
	l.balancer.HandleEndpoints(now, kind, entries)
}

// applyOverrides puts the operators' overrides in force. A cordoned endpoint loses its target, so that attempts that
// are about to be sent to it are not sent.
func (l *loop) applyOverrides(now balancer.Micros, overrides []operatorstate.Override) {
	for _, o := range l.endpoints.setOverrides(overrides, l.operatorClock.Now) {
		l.endpoints.retargetByName(o.Name)
		l.log.Info("operator override", "host", o.Name, "cordoned", o.Cordoned)
		since := now // default if the age of the override is unknown
		if age, known := l.operatorClock.Age(o.SetAt()); known {
			since = now - max(0, age.Microseconds())
		}
		l.balancer.Cordon(now, hashName(o.Name), o.Cordoned, since)
	}
}

// trace logs an event in the life of a request at level debug.
func (l *loop) trace(r *request, message string, attributes ...any) {
	if l.log.Enabled(l.ctx, slog.LevelDebug) {
		l.log.Debug(message, append([]any{"id", r.message.Header.Get("X-Correlation-Id")}, attributes...)...)
	}
}
