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
	pruneInterval = time.Second
	statsInterval = 2 * time.Second
)

// balancerAPI is what the loop needs of a *balancer.Balancer. Tests put recorders in its place.
type balancerAPI interface {
	Start(now balancer.Micros)
	HandleEndpoints(now balancer.Micros, kind balancer.ListUpdate, entries []balancer.Endpoint)
	HandleRequest(now balancer.Micros, in balancer.Request)
	HandleBodyWritten(now balancer.Micros, id uint64, deadline balancer.Micros)
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

// loop owns the balancer and the tables: one goroutine, that of run, passes the balancer every event and carries out
// its Actions. It never waits for the network. What it starts runs in other goroutines, which report back through
// the event queue.
//
// The fields of the first group may be used by any goroutine, those of the second are set before run and do not
// change, and those of the third belong to the loop's goroutine.
type loop struct {
	log              *slog.Logger
	clock            clock
	operatorClock    system.Clock    // dates what outlives the process
	ctx              context.Context // ends with the loop; the balancer's Actions carry no context of their own
	upstream         *upstream.Client
	events           eventQueue
	hasReadyEndpoint atomic.Bool                     // an endpoint can be reached
	stages           stages.Recorder                 // of requests served
	current          atomic.Pointer[config.Snapshot] // the configuration in force

	onLimitsChanged func()                                                  // applies limits that a reload changed; may be nil
	closeCounts     func() downstream.CloseCounts                           // counts clients' connections closed; may be nil
	warmStart       *balancer.Estimates                                     // to start with; may be nil
	saveEstimates   func(now balancer.Micros, estimates balancer.Estimates) // called at each pruneInterval; may be nil

	cfg             *config.Config // that of current
	rejectedReloads int
	balancer        balancerAPI
	requests        requestTable
	endpoints       endpointTable
	watcher         discoveryWatcher
	stats           statsLogger
}

// newLoop returns a loop that ends with ctx. It does nothing until run is called.
func newLoop(ctx context.Context, cfg *config.Config, log *slog.Logger) (*loop, error) {
	times := cfg.Host.Time.OrSystem()
	client := upstream.NewClient(cfg, maxConnections(cfg), httpmsg.NewMemoryBudget(bodyMemoryLimit(cfg)))
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

// start gives the balancer what is known at the start and begins the watch of discovery.
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

// logStats logs what was counted since the last call.
func (l *loop) logStats(now balancer.Micros) {
	c := counters{balancer: l.balancer.Stats(now), upstream: l.upstream.Counts(), discoveryCalls: l.watcher.callCounts,
		stages: l.stages.Totals()}
	if l.closeCounts != nil {
		c.closes = l.closeCounts()
	}
	l.stats.logAndRemember(&c, gauges{listAgeMS: l.watcher.listAgeMS(now), listVersion: l.watcher.position.CurrentVersion,
		maxEventWait: l.events.takeMaxWait(), inForce: l.current.Load(), rejectedReloads: l.rejectedReloads})
}

// admit passes a new request to the balancer.
func (l *loop) admit(now balancer.Micros, r *request, in balancer.Request) {
	l.requests.add(r)
	in.ID, r.deadline = r.id, in.Deadline
	r.times.Dequeued = time.Now()
	if in.ReceivedUnder == &l.cfg.Settings {
		in.ReceivedUnder = nil // nothing has changed since it was read
	}
	if upload := r.message.Upload; upload != nil {
		upload.OnWritten = func() {
			l.events.post(func(at balancer.Micros) { l.handleBodyWritten(at, r) })
		}
	}
	l.balancer.HandleRequest(now, in)
	l.requests.forgetIfDone(r)
}

// handleBodyWritten takes the end of a streamed body, from which the client's time counts.
func (l *loop) handleBodyWritten(now balancer.Micros, r *request) {
	if !r.finished {
		r.deadline = now + time.Until(r.message.Upload.Deadline()).Microseconds()
		l.balancer.HandleBodyWritten(now, r.id, r.deadline)
	}
}

// handleClientGone ends a request whose client went away, and releases the response that it did not read.
func (l *loop) handleClientGone(now balancer.Micros, r *request) {
	if r.finished {
		unread := <-r.response
		unread.close()
		return
	}
	l.trace(r, "client disconnected", "attempts", len(r.attempts))
	r.finish()
	l.balancer.HandleClientGone(now, r.id)
	l.requests.forgetIfDone(r)
}

// handleOutcome takes the end of an attempt. It is called exactly once for each, also after the request's end: the
// balancer still learns from it.
func (l *loop) handleOutcome(now balancer.Micros, r *request, outcome balancer.Outcome, result upstream.Result) {
	r.inFlight--
	l.trace(r, "attempt finished", "number", outcome.Attempt, "status", outcome.Status, "error", result.Err,
		"after_us", outcome.Latency, "over", r.finished)
	if result.Status == balancer.OK {
		r.recordTimes(result.Times)
		l.respond(r, finalResponse{code: http.StatusOK, header: result.Header, body: result.Body,
			remainder: result.Stream, length: result.ContentLength, releaseBody: result.ReleaseBody})
	}
	outcome.Answered, outcome.LoadReport = r.finished, l.currentLoadReport(result)
	l.balancer.HandleOutcome(now, outcome)
	l.requests.forgetIfDone(r)
}

// respond gives a request its final response, unless it is finished already or unknown.
func (l *loop) respond(r *request, response finalResponse) {
	if r != nil && !r.finished {
		l.trace(r, "final response", "code", response.code, "attempts", len(r.attempts))
		r.finish()
		r.response <- response // its buffer holds the one
		return
	}
	response.close()
}

// handleList takes an endpoint list that discovery sent.
func (l *loop) handleList(now balancer.Micros, list discovery.List) {
	l.watcher.recordList(now, &list)
	kind := balancer.ListDelta
	if list.Complete {
		kind = balancer.ListFull
	}
	l.updateEndpoints(now, kind, list)
}

// handleMalformedList takes the failure of one call of a watch that goes on.
func (l *loop) handleMalformedList(now balancer.Micros, err error) { l.watcher.recordFailure(now, err) }

// handleWatchEnded takes the failure that ended a watch.
func (l *loop) handleWatchEnded(now balancer.Micros, err error) {
	l.watcher.recordFailure(now, err)
	l.balancer.HandleEndpoints(now, balancer.ListFailed, nil)
}

// updateEndpoints brings the endpoint table in line with a list, and then the balancer.
func (l *loop) updateEndpoints(now balancer.Micros, kind balancer.ListUpdate, list discovery.List) {
	mayBeOlder := l.watcher.advancePosition(l.clock.timeAt(now), &list)
	entries, ready := l.endpoints.update(&endpointUpdate{list: list, kind: kind, mayBeOlder: mayBeOlder,
		skew: list.ClockSkew(now), cfg: l.cfg})
	l.hasReadyEndpoint.Store(ready)
	l.balancer.HandleEndpoints(now, kind, entries)
}

// applyOverrides puts in force what operators have set. A cordoned endpoint loses its target, so that an attempt on
// its way there is not sent.
func (l *loop) applyOverrides(now balancer.Micros, overrides []operatorstate.Override) {
	for _, o := range l.endpoints.setOverrides(overrides, l.operatorClock.Now) {
		l.endpoints.retargetByName(o.Name)
		l.log.Info("operator override", "host", o.Name, "cordoned", o.Cordoned)
		since := now // if its age is unknown
		if age, known := l.operatorClock.Age(o.SetAt()); known {
			since = now - max(0, age.Microseconds())
		}
		l.balancer.Cordon(now, hashName(o.Name), o.Cordoned, since)
	}
}

// trace logs what becomes of one request, at level debug.
func (l *loop) trace(r *request, message string, attributes ...any) {
	if l.log.Enabled(l.ctx, slog.LevelDebug) {
		l.log.Debug(message, append([]any{"id", r.message.Header.Get("X-Correlation-Id")}, attributes...)...)
	}
}
