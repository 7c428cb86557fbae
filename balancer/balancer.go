// Package balancer makes the decisions of a client-side load-balancing sidecar: which endpoint gets a
// request, when a request is rejected, retried or hedged, and when endpoints are probed.
//
// A Balancer is a deterministic state machine. Its host, the program that embeds it, reports each event by
// calling a method with the current time. During that call, the balancer requests actions through the Actions
// interface. A Balancer has these invariants:
//
//   - The same settings, seed and events result in the same actions, in the same order. The balancer does no
//     I/O, reads no clock and starts no goroutine. The order of random draws and of floating-point operations
//     affects the decisions.
//   - A Balancer is not safe for concurrent use: the host serializes the events.
//   - Each request gets exactly one final answer, unless its client disconnects first.
//   - Only the ledger, the record of requests and attempts, enforces the rules (attempt limits, idempotency,
//     deduplication, slow start). Every attempt, rejection and failure goes through the ledger, so no other
//     component can break a rule.
//
// The balancer transfers no data, opens no connections and stores nothing. The host does all of that.
//
// The decision logic is in ledger.go, rules.go, demand.go, membership.go, discovery.go, endpoint.go,
// slowstart.go, probing.go, loadreport.go, prediction.go, pick.go, breaker.go, admission.go, waitlist.go and
// retries.go. The interface to the host is in settings.go, events.go and actions.go. The statistics are in
// stats.go.
package balancer

// Balancer makes the decisions for one sidecar. Create one with New; a Balancer must not be copied. Each of
// its components owns its state and calls methods of the others. The event methods below delegate to the
// components.
//
// The decisions require two cycles of references between components. Balancer therefore holds all components
// by value, and New connects them by pointers:
//
//   - prober -> slowStart -> estimator -> prober: a probe is charged to the slow start budget, this budget
//     depends on estimates from measured latencies, and the estimates depend on the age of the load reports,
//     which arrive with the answers to probes.
//   - admission <-> retrier: when admission sends an attempt, the retrier starts the timer after which the
//     attempt may be hedged, and a retry or hedged request is admitted like a first attempt.
//
// Neither cycle leads to recursion: each call goes one step along the cycle.
type Balancer struct {
	environment
	ledger     ledger          // requests, and the rules for their attempts
	demand     demand          // classes, tenants, and their request rates
	membership membership      // known endpoints
	discovery  discoveryPoller // calls to discovery
	probes     prober          // probes, and the pool of endpoints with a recent load report
	slowStart  slowStart       // limit on the work sent to endpoints that are warming up
	estimates  estimator       // expected load and latency of endpoints
	breakers   breakers        // circuit breakers, error throttle and outlier ejection
	picker     picker          // selection of an endpoint
	waiting    waitlist        // requests that wait for the results of probes
	admission  admission       // load shedding
	retries    retrier         // retries and hedged requests
}

const second Micros = 1_000_000

// Timer tokens. A token below firstRequestToken identifies a timer of the balancer itself. Any other token
// identifies a request: its low slotBits bits are the request's slot in the ledger plus firstRequestToken,
// and its high bits count how often the slot has been used.
const (
	probeTimerToken = iota
	pollTimerToken
	firstRequestToken = 16
	slotBits          = 20
)

// New returns a balancer, or a *SettingError if a setting is invalid. The settings, the seed and the events
// determine all decisions of the balancer. The host must call Start before it reports any event.
func New(s Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{environment: environment{
		actions: actions, random: splitMix64(seed), lastLogged: map[string]Micros{},
	}}
	env := &b.environment
	b.demand = newDemand(env)
	b.membership = newMembership(env)
	b.discovery = discoveryPoller{environment: env}
	b.probes = prober{environment: env, demand: &b.demand, membership: &b.membership, slowStart: &b.slowStart}
	b.estimates = newEstimator(env, &b.demand, &b.probes)
	b.slowStart = slowStart{
		environment: env, demand: &b.demand, membership: &b.membership, estimates: &b.estimates,
	}
	b.breakers = breakers{environment: env}
	b.ledger = ledger{
		environment: env, demand: &b.demand, slowStart: &b.slowStart, estimates: &b.estimates, waiting: &b.waiting,
		requests: map[uint64]*request{},
	}
	b.picker = picker{
		environment: env, membership: &b.membership, probes: &b.probes, slowStart: &b.slowStart,
		estimates: &b.estimates, ledger: &b.ledger,
	}
	b.admission = admission{
		environment: env, demand: &b.demand, probes: &b.probes, estimates: &b.estimates, breakers: &b.breakers,
		picker: &b.picker, ledger: &b.ledger, waiting: &b.waiting, retries: &b.retries,
		requestsPerTrial: minRequestsPerTrial,
	}
	b.retries = newRetrier(env, &b.probes, &b.estimates, &b.admission, &b.ledger)
	b.applySettings(s)
	return b, nil
}

// Start starts the probe rounds and the calls to discovery.
func (b *Balancer) Start(now Micros) {
	b.discovery.start(now)
	b.probes.start()
}

// Reconfigure applies new settings atomically, or returns a *SettingError and changes nothing. A class keeps
// its estimates if the new settings have a class of the same name, and so does a tenant. All endpoints and
// their state are kept. An open request keeps the class under which it arrived, but becomes non-idempotent if
// the new settings are stricter about repeated execution. Reconfigure returns the attempts in flight that
// could then execute a non-idempotent request twice. The host must withdraw each of these attempts unless its
// first byte has been sent.
func (b *Balancer) Reconfigure(s Settings) ([]AttemptID, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b.applySettings(s)
	b.probes.start()
	return b.ledger.restrictOpenRequests(), nil
}

func (b *Balancer) applySettings(s Settings) {
	b.demand.configure(&s)
	b.breakers.configure(&s)
	b.settings = s
}

// HandleTimer handles the expiry of a timer, identified by the token that was passed to Actions.StartTimer.
func (b *Balancer) HandleTimer(now Micros, token uint32) {
	switch token {
	case probeTimerToken:
		b.probes.runRound(now)
	case pollTimerToken:
		b.discovery.poll(now)
	default:
		if r := b.ledger.byToken(token); r != nil && !r.answered && !r.streaming {
			b.handleRequestTimer(now, r)
		}
	}
}

// handleRequestTimer handles the expiry of a timer of r: its deadline has passed, it has waited long enough
// for probes, or its latest attempt may be overdue.
func (b *Balancer) handleRequestTimer(now Micros, r *request) {
	switch {
	case now >= r.Deadline:
		for i := range r.attempts {
			if a := &r.attempts[i]; a.inFlight {
				b.estimates.learnServiceTime(now, r, a, latencySample{float64(now - a.sentAt), true})
			}
		}
		b.ledger.reject(r)
	case r.awaitingProbes:
		// The time since an unanswered probe was sent is learned as a probe delay, too. In an overloaded fleet,
		// only idle endpoints answer in time, and their answers alone would make the whole fleet look idle.
		for _, e := range r.awaitedEndpoints {
			b.estimates.learnProbeDelay(float64(now - e.lastProbeAt))
		}
		b.admission.dispatch(now, r)
	default:
		b.retries.checkOverdue(now, r)
	}
}

// HandleRequest handles the arrival of a client's request. The request is ignored if the ledger already holds
// a request with the same ID.
func (b *Balancer) HandleRequest(now Micros, in Request) {
	if b.ledger.lookup(in.ID) != nil {
		return
	}
	r := b.ledger.newRequest(now, in)
	if r == nil {
		b.actions.Reject(in.ID, 0) // a request of an unknown class needs a final answer, too
		return
	}
	b.stats.Requests++
	b.retries.deposit()
	b.demand.recordArrival(now, r)
	b.estimates.estimateWork(r)
	if now >= in.Deadline || b.ledger.full() {
		b.ledger.reject(r)
		return
	}
	if !b.admission.waitForProbes(now, r) {
		b.admission.dispatch(now, r)
	}
}

// HandleHeaders handles the start of a streamed response. From then on, the request has no deadline and gets
// no other attempt.
func (b *Balancer) HandleHeaders(_ Micros, id uint64, attempt int, _ Micros) {
	if r := b.ledger.lookup(id); r != nil && !r.answered && attempt >= 0 && attempt < len(r.attempts) {
		r.streaming = true
	}
}

// HandleStalledResponse decides on an attempt whose response has begun if its endpoint is silent. Nothing of
// the response was forwarded to the client yet. If the result is StallGiveUp, the host must end the attempt
// and report its outcome as Reset.
func (b *Balancer) HandleStalledResponse(now Micros, id uint64, attempt int) StallDecision {
	r := b.ledger.lookup(id)
	if r == nil || r.answered || attempt < 0 || attempt >= len(r.attempts) || !r.attempts[attempt].inFlight {
		return StallKeep
	}
	return b.retries.decideStalled(now, r, &r.attempts[attempt])
}

// HandleBodyWritten handles the sending of the last byte of a streamed request body. The latency of the
// request and of its attempt is measured from then on, and the deadline is replaced by the given one.
func (b *Balancer) HandleBodyWritten(now Micros, id uint64, deadline Micros) {
	if r := b.ledger.lookup(id); r != nil && !r.answered && len(r.attempts) > 0 {
		b.ledger.recordBodyWritten(now, r, deadline)
	}
}

// HandleClientGone handles a client that disconnected before the final answer.
func (b *Balancer) HandleClientGone(_ Micros, id uint64) {
	if r := b.ledger.lookup(id); r != nil {
		b.ledger.finish(r)
	}
}

// HandleOutcome handles the end of an attempt. An outcome of an attempt that is not in flight is ignored.
func (b *Balancer) HandleOutcome(now Micros, o Outcome) {
	r, a := b.ledger.endAttempt(now, &o)
	if r == nil {
		return
	}
	b.membership.dropIfRemoved(a.endpoint) // now, since the next endpoint list may come much later
	b.retries.recordLoss(a, o.Status)
	b.stats.countOutcome(a, o.Status, o.Latency)
	b.breakers.recordOutcome(now, a, o.Status, o.Latency)
	if o.Status == OK || o.Status == Timeout {
		b.estimates.learnServiceTime(now, r, a, latencySample{float64(o.Latency), o.Status == Timeout})
	}
	inTime := o.Status == OK && !r.answered && now-r.arrivedAt <= r.class.LatencyObjective
	b.breakers.recordResult(now, o.Status, inTime)
	if inTime {
		r.servedInTime = 1
	}
	b.admission.recordTrial(r, inTime)
	if o.Answered || o.Status == OK || r.answered {
		b.ledger.finish(r)
		return
	}
	b.retries.retry(now, r, a)
}

// HandleProbe handles the end of a probe of the endpoint with this ID. The slice load contains the figures of
// the load report in the order of Settings.ReportFields, and is valid only during the call.
func (b *Balancer) HandleProbe(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.membership.lookup(id)
	if e == nil {
		return
	}
	e.probeInFlight = false
	b.stats.Probes[min(status, NotSent)]++
	if responded(status) {
		e.lastResponseAt = now
	}
	if status != OK {
		e.reportedAt = 0 // removes e from the pool, since it fails probes or answers them late
		if status == Timeout {
			b.estimates.learnProbeTimeout(float64(latency))
		}
		b.admission.resumeWaitingRequests(now, e)
		return
	}
	b.stats.ProbeLatency += latency
	report := b.estimates.readReport(e, float64(latency), load)
	if report.known() {
		b.probes.add(e)
		b.estimates.learnReport(now, e, &report)
	}
	b.admission.resumeWaitingRequests(now, e)
	b.estimates.checkReportDelay(now, e, &report)
}

// HandleEndpoints handles an endpoint list, a change to it, or a failed call to discovery. The slice entries
// is valid only during the call. A new endpoint whose StartTime is 0 is regarded as started now if it appears
// after the first list from discovery, otherwise as started long ago.
func (b *Balancer) HandleEndpoints(now Micros, kind ListUpdate, entries []Endpoint) {
	if kind == ListFailed {
		b.log(now, "discovery", "discovery call failed or watch broken; keeping the endpoint list and retrying")
		b.discovery.failed(now)
		return
	}
	if kind != ListCached {
		b.discovery.succeeded()
	}
	probeNew := b.probes.mayProbeNewEndpoints(len(entries))
	b.membership.beginUpdate()
	for i := range entries {
		b.updateEndpoint(now, &entries[i], probeNew)
	}
	b.membership.endUpdate(now, kind)
}

// updateEndpoint stores an entry of an endpoint list. An endpoint that is new or runs a new process is put
// into slow start, unless this process started at least SlowStartDuration ago. The endpoint is also probed if
// probeNew is set. A startTime of 0 means that the process started long ago.
func (b *Balancer) updateEndpoint(now Micros, in *Endpoint, probeNew bool) {
	e, startTime, newProcess := b.membership.update(now, in)
	if !newProcess {
		return
	}
	if startTime != 0 && now-startTime < b.settings.Contract.SlowStartDuration {
		b.slowStart.begin(now, e, startTime)
	}
	if probeNew {
		b.probes.probe(now, e)
	}
}

// Cordon removes every endpoint with this name from service, whatever its state in discovery, or returns it
// to service if cordoned is false. An endpoint that returns to service was probably restarted. It is
// therefore treated as a new process that has been warming up since the given instant.
func (b *Balancer) Cordon(now Micros, name uint64, cordoned bool, since Micros) {
	b.membership.setCordoned(name, cordoned)
	for _, e := range b.membership.list() {
		if e.Name != name || e.cordoned == cordoned {
			continue
		}
		if e.cordoned = cordoned; !cordoned {
			e.reset()
			if now-since < b.settings.Contract.SlowStartDuration {
				b.slowStart.begin(now, e, since)
				b.slowStart.offerTrial(e)
			}
			b.probes.probe(now, e)
		}
	}
}
