package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"peatpost/balancer"
)

const (
	maxEvents         = 1024 // waiting for the loop
	maxPriorityEvents = 16   // the same of those that go first
	pruneEvery        = time.Second
	statsEvery        = 2 * time.Second
	missEvery         = time.Second // lines on failures of discovery, where one follows the other
)

// clock gives the balancer's time: microseconds that never run backwards, from
// the Unix time at the start on, so that discovery's times map onto it as they
// are.
type clock struct {
	base time.Time
	unix balancer.Micros // Unix time at the base, by the wall clock of then
}

func newClock(wall func() time.Time) clock { return clock{time.Now(), wall().UnixMicro()} }

func (c clock) now() balancer.Micros { return c.unix + time.Since(c.base).Microseconds() }

func (c clock) time(at balancer.Micros) time.Time {
	return c.base.Add(time.Duration(at-c.unix) * time.Microsecond)
}

// decider is what the loop needs of a *balancer.Balancer.
type decider interface {
	Start(now balancer.Micros)
	Members(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint)
	Request(now balancer.Micros, in balancer.Request)
	Written(now balancer.Micros, id uint64, deadline balancer.Micros)
	Outcome(now balancer.Micros, o balancer.Outcome)
	ClientGone(now balancer.Micros, id uint64)
	Timer(now balancer.Micros, token uint32)
	Reconfigure(s balancer.Settings) ([]balancer.AttemptID, error)
	Learned() balancer.Learned
	Learn(l *balancer.Learned)
	Cordon(now balancer.Micros, name uint64, out bool, since balancer.Micros)
	Probed(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32)
	Stats(now balancer.Micros) balancer.Stats
}

// loop owns the balancer: one goroutine passes it every event and carries out
// its Actions. It never waits for the network; what it starts reports back
// through events.
type loop struct {
	log    *slog.Logger
	clock  clock
	time   TimeSource // of what outlives the process
	up     *upstream
	disc   *discovery
	events chan func(now balancer.Micros)
	urgent chan func(now balancer.Micros) // goes ahead of events
	ctx    context.Context                // ends with the loop
	listed atomic.Bool                    // endpoints are known
	stages stageTimes                     // of requests served

	current atomic.Pointer[snapshot] // the configuration in force
	relimit func()                   // has its limits hold when they have changed; may be nil
	closes  func() closeCounts       // of clients' connections; may be nil

	// Below: the loop's goroutine alone.
	cfg       *Config // that of current
	refused   int     // configurations that were not taken
	balancer  decider
	requests  map[uint64]*request
	lastID    uint64
	ids       map[string]uint32 // of endpoints, by host name
	lastEP    uint32            // the latest id given; none is given twice
	fleet     map[uint32]*member
	marks     map[string]mark                                   // what operators set, by host name
	learned   *balancer.Learned                                 // to begin with; may be nil
	keep      func(now balancer.Micros, known balancer.Learned) // takes what is known once a second; may be nil
	from      position                                          // of the watch
	heard     balancer.Micros                                   // when discovery answered last, or the start
	calls     callCounts                                        // of discovery
	unheard   bool                                              // the last call failed
	warned    balancer.Micros                                   // of such a failure
	stopWatch context.CancelFunc
	stats     balancer.Stats // when last recorded, as are dials and asked
	dials     upCounts
	asked     callCounts
	lag       time.Duration // longest wait of an event since then
	staged    stageSums     // when last recorded, as are closed
	closed    closeCounts
}

// member is what the loop holds of an endpoint until it is gone and nothing is
// out there any more. Endpoints come and go all day under ever new names.
type member struct {
	name   string
	last   host    // discovery's latest word of it
	target *target // nil unless ready and not left out
	out    int     // attempts and probes without outcome
	gone   bool
}

// request is the ledger's entry for a request that the balancer may still
// speak of: no final answer is out, or attempts are.
type request struct {
	id       uint64
	message  *message
	deadline balancer.Micros
	answer   chan answer // takes the one final answer
	over     bool        // the final answer is out, or the client is gone
	attempts []started
	out      int         // attempts without outcome
	gone     func() bool // whether the client has left, by a look at its connection; may be nil
	times    requestTimes
}

// started is an attempt that is under way.
type started struct {
	cancel context.CancelFunc
	gate   *gate
}

// end marks that nothing new may begin for the request. An attempt that has not begun is
// called off whether or not the settings let one be cancelled: nobody knows of it yet.
func (r *request) end() {
	r.over = true
	for _, a := range r.attempts {
		if a.gate.close() {
			a.cancel()
		}
	}
}

// timed takes the times of the attempt that was answered, where those of the request are whole: its
// first and only attempt, with nothing to pass on while it came.
func (r *request) timed(times attemptTimes) {
	if !r.over && len(r.attempts) == 1 && r.message.upload == nil {
		r.times.attempt = times
	}
}

// answer is the final answer to a request.
type answer struct {
	code       int
	retryAfter balancer.Micros
	header     http.Header
	body       []byte
	rest       *rest  // what follows body, while it comes
	length     int64  // of the whole, where there is a rest; -1 if unknown
	held       func() // gives back the room for body
}

func newLoop(ctx context.Context, cfg *Config, log *slog.Logger) (*loop, error) {
	times := cfg.Host.Time.OrSystem()
	l := &loop{
		log: log, clock: newClock(times.Wall), time: times, ctx: ctx,
		up: newUpstream(cfg, connections(cfg), newBudget(cfg)), disc: newDiscovery(cfg),
		events:   make(chan func(balancer.Micros), maxEvents),
		urgent:   make(chan func(balancer.Micros), maxPriorityEvents),
		requests: map[uint64]*request{}, ids: map[string]uint32{}, fleet: map[uint32]*member{}, marks: map[string]mark{},
		stopWatch: func() {},
	}
	l.activate(newSnapshot(cfg))
	var err error
	l.balancer, err = balancer.New(cfg.Settings, cfg.Seed, l)
	return l, err
}

// run handles events until the loop's context ends.
func (l *loop) run() {
	now := l.clock.now()
	l.heard = now
	l.logConfiguration(nil, nil)
	l.balancer.Start(now)
	if l.learned != nil {
		l.balancer.Learn(l.learned)
	}
	if len(l.cfg.known.Hosts) > 0 {
		l.members(now, balancer.ListCached, l.cfg.known)
	}
	if !l.cfg.Settings.Subscribe {
		l.Watch(true)
	}
	prune := time.NewTicker(pruneEvery)
	defer prune.Stop()
	stats := time.NewTicker(statsEvery)
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
			l.up.prune()
			if l.keep != nil {
				l.keep(l.clock.now(), l.balancer.Learned())
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
	stats, up := l.balancer.Stats(now), l.up.counts()
	staged := l.stages.totals()
	var closed closeCounts
	if l.closes != nil {
		closed = l.closes()
	}
	if stats.Requests != l.stats.Requests {
		inForce := l.current.Load()
		l.log.Info("counts", "of", stats.Since(&l.stats), "list_age_ms", (now-l.heard)/1000, "list_seq", l.from.newest, "calls", l.calls.since(l.asked), "dials", up.dials-l.dials.dials,
			"dial_ms", (up.dialTime-l.dials.dialTime).Milliseconds()/int64(max(1, up.dials-l.dials.dials)),
			"dial_failed", up.failed-l.dials.failed, "no_connection", up.full-l.dials.full, "connections", up.open, "lag_ms", float64(l.lag.Microseconds())/1000,
			"stages_us", staged.since(l.staged), "closed", closed.since(l.closed),
			"generation", inForce.generation, "hash", inForce.hash, "reloads", inForce.generation-firstGeneration, "reloads_refused", l.refused)
	}
	l.staged, l.closed = staged, closed
	l.stats, l.dials, l.asked, l.lag = stats, up, l.calls, 0
}

// post hands an event to the loop. It must not be called from the loop.
func (l *loop) post(event func(now balancer.Micros)) {
	posted := time.Now()
	timed := func(now balancer.Micros) {
		l.lag = max(l.lag, time.Since(posted))
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

// take passes a new request to the balancer.
func (l *loop) take(now balancer.Micros, r *request, in balancer.Request) {
	l.lastID++
	r.id, in.ID, r.deadline = l.lastID, l.lastID, in.Deadline
	l.requests[r.id] = r
	r.times.taken = time.Now()
	if in.Under == &l.cfg.Settings {
		in.Under = nil // nothing has changed since it was read
	}
	if up := r.message.upload; up != nil {
		up.written = func() {
			l.post(func(at balancer.Micros) {
				if !r.over {
					r.deadline = at + time.Until(up.due()).Microseconds()
					l.balancer.Written(at, r.id, r.deadline)
				}
			})
		}
	}
	l.balancer.Request(now, in)
	l.forget(r)
}

// gone tells that the client went away.
func (l *loop) gone(now balancer.Micros, r *request) {
	if r.over {
		unread := <-r.answer
		unread.close()
		return
	}
	l.trace(r, "client gone", "attempts", len(r.attempts))
	r.end()
	l.balancer.ClientGone(now, r.id)
	l.forget(r)
}

// outcome tells how an attempt ended: exactly once for each, also after the
// request's end, when the balancer still learns from it.
func (l *loop) outcome(now balancer.Micros, r *request, o balancer.Outcome, res result) {
	r.out--
	l.trace(r, "attempt ended", "number", o.Attempt, "status", o.Status, "error", res.err, "after_us", o.Latency, "over", r.over)
	if res.status == balancer.OK {
		r.timed(res.times)
		l.finish(r, answer{code: http.StatusOK, header: res.header, body: res.body,
			rest: res.rest, length: res.length, held: res.held})
	}
	o.Settled, o.Load = r.over, l.loadOf(res)
	l.balancer.Outcome(now, o)
	l.forget(r)
}

// finish gives the final answer, unless one is out already.
func (l *loop) finish(r *request, a answer) {
	if r != nil && !r.over {
		l.trace(r, "final answer", "code", a.code, "attempts", len(r.attempts))
		r.end()
		r.answer <- a // it has room for the one
		return
	}
	a.close()
}

func (l *loop) forget(r *request) {
	if r.over && r.out == 0 {
		delete(l.requests, r.id)
	}
}

// members passes on a list and brings the targets in line with it.
func (l *loop) members(now balancer.Micros, kind balancer.ListKind, list registry) {
	older := list.Seq < l.from.newest
	l.from = position{&list.Seq, list.Seq, l.clock.time(now).Add(l.disc.older)}
	if list.lost > 0 {
		l.log.Warn("entries of discovery's list can't be used", "lost", list.lost, "of", len(list.Hosts), "first", list.fault)
	}
	entries := make([]balancer.Endpoint, 0, len(list.Hosts))
	named := map[uint32]bool{}
	for _, h := range list.Hosts {
		id := l.ids[h.Name]
		if id == 0 {
			if states[h.Health] == balancer.Gone {
				continue
			}
			l.lastEP++
			id = l.lastEP
			l.ids[h.Name], l.fleet[id] = id, &member{name: h.Name}
		}
		if e := l.fleet[id]; older && e.last.Health == "Terminating" && e.last.BornMS == h.BornMS {
			h.Health = e.last.Health // what was told is not undone by what may be older
		}
		named[id] = true
		e := balancer.Endpoint{ID: id, Name: hashed(h.Name), Zone: number(l.cfg.zones, h.Site), Kind: number(l.cfg.kinds, h.Class),
			Cell: h.Block, State: states[h.Health], Share: h.Share}
		if h.BornMS > 0 {
			e.StartTime = h.BornMS * 1000
		}
		entries = append(entries, e)
		l.aim(id, h)
	}
	ready := false
	for id, e := range l.fleet {
		if kind != balancer.ListDelta && !named[id] {
			l.aim(id, host{Health: "Gone"})
		}
		ready = ready || e.target != nil
	}
	l.listed.Store(ready)
	l.balancer.Members(now, kind, entries)
}

// aim points an endpoint's id at where it is reached now. A target that drains,
// is gone or has restarted is closed, so that a send on its way does not start.
func (l *loop) aim(id uint32, h host) {
	e, state := l.fleet[id], states[h.Health]
	e.last, e.gone = h, state == balancer.Gone
	if l.marks[e.name].Out {
		state = balancer.Draining // as good as that
	}
	if t := e.target; t != nil && (state != balancer.Ready || t.address != h.Dial || t.born != h.BornMS) {
		l.up.retire(t)
		e.target = nil
	}
	if e.target == nil && state == balancer.Ready {
		e.target = &target{address: h.Dial, born: h.BornMS}
	}
	l.forgetMember(id)
}

// knows says whether operators may speak of an endpoint of this name.
func (l *loop) knows(name string) bool { return l.ids[name] != 0 || l.marks[name].Out }

// mark makes what operators set hold: what they leave out has no target, so that
// a send on its way does not start.
func (l *loop) mark(now balancer.Micros, marks []mark) {
	next := make(map[string]mark, len(marks))
	for _, m := range marks {
		next[m.Name] = m
	}
	for name, m := range l.marks {
		if _, ok := next[name]; !ok && m.Out {
			present := l.time.now()
			next[name] = mark{Name: name, SinceMS: present.UnixMS, UpMS: present.UpMS}
		}
	}
	old := l.marks
	l.marks = next
	for name, m := range next {
		if was, ok := old[name]; ok && was == m {
			continue
		}
		if id := l.ids[name]; id != 0 {
			l.aim(id, l.fleet[id].last)
		}
		l.log.Info("by hand", "host", name, "out", m.Out)
		since := now // at the latest
		if age, known := l.time.age(m.since()); known {
			since = now - max(0, age.Microseconds())
		}
		l.balancer.Cordon(now, hashed(name), m.Out, since)
	}
}

func (l *loop) forgetMember(id uint32) {
	if e := l.fleet[id]; e.gone && e.out == 0 {
		delete(l.ids, e.name)
		delete(l.fleet, id)
	}
}

// acquire counts something out to an endpoint and returns where that is reached,
// nil if nothing may go there. The balancer may know an endpoint for a moment
// longer than the loop does.
func (l *loop) acquire(id uint32) *target {
	e := l.fleet[id]
	if e == nil {
		return nil
	}
	e.out++
	return e.target
}

// release is the end of what acquire began.
func (l *loop) release(id uint32) {
	if e := l.fleet[id]; e != nil {
		e.out--
		l.forgetMember(id)
	}
}

// Send starts an attempt.
func (l *loop) Send(id uint64, endpoint uint32, latest balancer.Micros) {
	r, t := l.requests[id], l.acquire(endpoint)
	now, g := l.clock.now(), &gate{gone: r.gone}
	if latest > 0 {
		g.latest = l.clock.time(latest)
	}
	ctx, cancel := context.WithDeadline(l.ctx, l.clock.time(r.deadline))
	o := balancer.Outcome{ID: id, Attempt: len(r.attempts), Endpoint: endpoint}
	l.trace(r, "attempt", "number", o.Attempt, "endpoint", endpoint, "known", t != nil)
	if len(r.attempts) == 0 {
		r.times.sent = time.Now()
	}
	r.attempts = append(r.attempts, started{cancel, g})
	r.out++
	go func() {
		res := result{status: balancer.Moot}
		if t != nil {
			res = l.up.attempt(ctx, t, r.message, g)
		}
		cancel()
		l.post(func(at balancer.Micros) {
			o.Status, o.Latency = res.status, at-now
			if up := r.message.upload; up != nil {
				if o.Spent = up.spent.Load() || up.phase.Load() != passing; !up.at.IsZero() {
					o.Latency = time.Since(up.at).Microseconds()
				}
			}
			l.outcome(at, r, o, res)
			l.release(endpoint)
		})
	}()
}

// Refuse answers that a retry is harmless, and when it is welcome.
func (l *loop) Refuse(id uint64, retryAfter balancer.Micros) {
	l.finish(l.requests[id], answer{code: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

// Fail answers that the request failed.
func (l *loop) Fail(id uint64) {
	l.finish(l.requests[id], answer{code: http.StatusBadGateway})
}

// Cancel gives an attempt up: its connection is closed, its outcome still comes.
func (l *loop) Cancel(id uint64, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].cancel()
	}
}

// Timer gives a token back after a while.
func (l *loop) Timer(delay balancer.Micros, token uint32) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
		l.post(func(now balancer.Micros) { l.balancer.Timer(now, token) })
	})
}

// Probe asks an endpoint for its load.
func (l *loop) Probe(endpoint uint32) {
	t := l.acquire(endpoint)
	go func() {
		res := result{status: balancer.Moot}
		if t != nil {
			res = l.up.probe(l.ctx, t)
		}
		l.post(func(now balancer.Micros) {
			l.balancer.Probed(now, endpoint, res.status, res.took.Microseconds(), l.loadOf(res))
			l.release(endpoint)
		})
	}()
}

// Watch begins to watch discovery's list, from the last version on, or ends it.
func (l *loop) Watch(on bool) {
	l.stopWatch()
	if !on {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	from, disc, subscribe := l.from, l.disc, l.cfg.Settings.Subscribe
	tell := func(event func(now balancer.Micros)) {
		l.post(func(now balancer.Micros) {
			if ctx.Err() == nil { // else the watch was ended meanwhile
				event(now)
			}
		})
	}
	heard := func(list registry) {
		tell(func(now balancer.Micros) { l.hear(now, list) })
	}
	malformed := func(err error) {
		tell(func(now balancer.Micros) { l.miss(now, err) })
	}
	go func() {
		for ctx.Err() == nil {
			err := disc.watch(ctx, from, heard, malformed)
			next := make(chan position, 1)
			tell(func(now balancer.Micros) {
				l.miss(now, err)
				l.balancer.Members(now, balancer.ListFailed, nil)
				next <- l.from
			})
			if subscribe {
				return // when to ask again is the balancer's decision
			}
			pause(ctx, jittered(disc.rest)) // the balancer never asks: the watch begins again by itself
			select {
			case from = <-next:
			case <-ctx.Done():
			}
		}
	}()
}

// callCounts counts calls of discovery by how they ended, and entries of lists that
// could not be used.
type callCounts struct{ answered, silent, failed, malformed, lost uint64 }

// since tells what was counted since then, and how.
func (c callCounts) since(old callCounts) string {
	return fmt.Sprintf("[answered:%d silent:%d failed:%d malformed:%d lost:%d]", c.answered-old.answered,
		c.silent-old.silent, c.failed-old.failed, c.malformed-old.malformed, c.lost-old.lost)
}

// hear takes an answer of discovery.
func (l *loop) hear(now balancer.Micros, list registry) {
	if l.unheard {
		l.log.Info("discovery is heard again", "list_age_ms", (now-l.heard)/1000, "seq", list.Seq)
	}
	l.unheard, l.heard = false, now
	l.calls.answered++
	l.log.Debug("list heard", "seq", list.Seq, "whole", list.Whole, "hosts", len(list.Hosts))
	l.calls.lost += uint64(list.lost)
	kind := balancer.ListDelta
	if list.Whole {
		kind = balancer.ListFull
	}
	l.members(now, kind, list)
}

// miss takes the failure of a call of discovery.
func (l *loop) miss(now balancer.Micros, err error) {
	var bad *malformedError
	switch {
	case errors.As(err, &bad):
		l.calls.malformed++
	case errors.Is(err, context.DeadlineExceeded):
		l.calls.silent++
	default:
		l.calls.failed++
	}
	if errors.Is(err, errOlder) {
		l.from.after = nil // its changes since another numbering's version mean nothing
	}
	if !l.unheard || now-l.warned >= missEvery.Microseconds() {
		l.warned = now
		l.log.Warn("discovery", "error", err, "list_age_ms", (now-l.heard)/1000)
	}
	l.unheard = true
}

// trace records what becomes of one request, where the log has lines of level debug.
func (l *loop) trace(r *request, event string, attributes ...any) {
	if l.log.Enabled(l.ctx, slog.LevelDebug) {
		l.log.Debug(event, append([]any{"id", r.message.header.Get("X-Correlation-Id")}, attributes...)...)
	}
}

// Log records a line of the balancer's.
func (l *loop) Log(line string) { l.log.Info(line) }
