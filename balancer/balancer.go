// Package balancer makes the decisions of a client-side load-balancing sidecar: which endpoint gets a request, when a
// request is rejected, retried or hedged, and when endpoints are probed.
//
// A Balancer is a deterministic state machine. The host passes each event with its instant, and the balancer calls
// Actions. Its invariants:
//
//   - The same settings, seed and events give the same actions, in the same order. There is no I/O, no clock and no
//     goroutine; the order of random draws and of floating-point operations is part of the decisions.
//   - It serves one caller at a time; the host serializes events.
//   - Each request gets exactly one final answer, except one whose client has gone.
//   - The rules (attempt limits, idempotency, deduplication, slow start) are kept by the ledger alone: every attempt,
//     rejection and failure leaves through it, so that no policy can break them.
//
// It moves no bytes, opens no connections and stores nothing: that is the host's work.
//
// The decisions stand in ledger.go, rules.go, demand.go, membership.go, discovery.go, endpoint.go, slowstart.go,
// probing.go, loadreport.go, prediction.go, pick.go, breaker.go, admission.go, waitlist.go and retries.go. The
// interface stands in settings.go, events.go and actions.go, and the counts in stats.go.
package balancer

// Balancer decides for one sidecar. Make one with New; it must not be copied. Each part owns its state and calls
// methods of others; the event methods below route to the parts.
//
// Two cycles of pointers are inherent in the decisions. The parts are therefore allocated together here, and New
// connects them:
//
//   - prober -> slowStart -> estimator -> prober: a probe is charged to the slow start budget, that budget depends on
//     measured latencies, and the estimates depend on how fresh the probing keeps load reports.
//   - admission <-> retrier: an admitted attempt starts the timer for its hedging, and a retry or hedged request is
//     admitted like a first attempt.
//
// Neither recurses: each call goes one step along the cycle.
type Balancer struct {
	environment
	ledger     ledger          // requests, and the rules for their attempts
	demand     demand          // classes, tenants, and the rate of their requests
	membership membership      // endpoints
	discovery  discoveryPoller // calls of discovery
	probes     prober          // probes, and the pool of fresh load reports
	slowStart  slowStart       // work for endpoints that are warming up
	estimates  estimator       // expected load and latency
	breakers   breakers        // circuit breakers, error throttle and outlier ejection
	picker     picker          // selection of an endpoint
	waiting    waitlist        // requests that wait for probes
	admission  admission       // load shedding
	retries    retrier         // retries and hedged requests
}

const second Micros = 1_000_000

// Timer tokens below firstRequestToken belong to the balancer. The others name a request: the low slotBits hold its
// slot in the ledger plus firstRequestToken, the high bits count the uses of that slot.
const (
	probeTimerToken = iota
	pollTimerToken
	firstRequestToken = 16
	slotBits          = 20
)

// New returns a balancer, or a *SettingError. The seed and the events determine all that it does. Call Start before
// any other event.
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

// Start begins the probe rounds and the calls of discovery.
func (b *Balancer) Start(now Micros) {
	b.discovery.start(now)
	b.probes.start()
}

// Reconfigure puts new settings in force in one step, or returns a *SettingError and changes nothing. Estimates of
// classes and tenants stay with their names; endpoints and what is known of them stay. An open request keeps the class
// that it arrived under, except where the new settings permit less: the host must withdraw the attempts returned,
// unless their first byte has been sent.
func (b *Balancer) Reconfigure(s Settings) ([]AttemptID, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b.applySettings(s)
	b.probes.start()
	return b.ledger.restrictAll(), nil
}

func (b *Balancer) applySettings(s Settings) {
	b.demand.configure(&s)
	b.breakers.configure(&s)
	b.settings = s
}

// HandleTimer handles a token given to Actions.StartTimer.
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

// handleRequestTimer handles a request whose deadline has passed, whose probes are slow or whose attempt is overdue.
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
		// Only idle endpoints answer in time: counting their answers alone would show an overloaded fleet as idle.
		for _, e := range r.awaitedEndpoints {
			b.estimates.learnProbeDelay(float64(now - e.lastProbeAt))
		}
		b.admission.dispatch(now, r)
	default:
		b.retries.checkOverdue(now, r)
	}
}

// HandleRequest handles a client's request.
func (b *Balancer) HandleRequest(now Micros, in Request) {
	if b.ledger.lookup(in.ID) != nil {
		return
	}
	r := b.ledger.newRequest(now, in)
	if r == nil {
		b.actions.Reject(in.ID, 0) // its class is unknown, but an answer is owed
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

// HandleHeaders handles the start of a streamed answer: from here on, the request has no deadline and gets no other
// attempt.
func (b *Balancer) HandleHeaders(_ Micros, id uint64, attempt int, _ Micros) {
	if r := b.ledger.lookup(id); r != nil && !r.answered && attempt >= 0 && attempt < len(r.attempts) {
		r.streaming = true
	}
}

// HandleBodyWritten handles the last byte of a streamed request body: the request's time counts from here.
func (b *Balancer) HandleBodyWritten(now Micros, id uint64, deadline Micros) {
	if r := b.ledger.lookup(id); r != nil && !r.answered && len(r.attempts) > 0 {
		b.ledger.bodyWritten(now, r, deadline)
	}
}

// HandleClientGone handles a client that has gone before its final answer.
func (b *Balancer) HandleClientGone(_ Micros, id uint64) {
	if r := b.ledger.lookup(id); r != nil {
		b.ledger.finish(r)
	}
}

// HandleOutcome handles the end of an attempt.
func (b *Balancer) HandleOutcome(now Micros, o Outcome) {
	r, a := b.ledger.endAttempt(now, &o)
	if r == nil {
		return
	}
	b.membership.dropIfRemoved(a.endpoint) // the next list may come much later
	b.retries.recordLoss(a, o.Status)
	b.stats.outcome(a, o.Status, o.Latency)
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

// HandleProbe handles the end of a probe. load is valid during the call only.
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
		e.reportedAt = 0 // this removes it from the pool: it rejects probes or answers late
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

// HandleEndpoints handles a message of discovery. entries is valid during the call only.
func (b *Balancer) HandleEndpoints(now Micros, kind ListUpdate, entries []Endpoint) {
	if kind == ListFailed {
		b.log(now, "discovery", "discovery call failed or watch broken; keeping the endpoint list and retrying")
		b.discovery.failed(now)
		return
	}
	if kind != ListCached {
		b.discovery.succeeded()
	}
	probe := b.probes.mayProbeNewEndpoints(len(entries))
	b.membership.beginUpdate()
	for i := range entries {
		b.updateEndpoint(now, &entries[i], probe)
	}
	b.membership.endUpdate(now, kind)
}

func (b *Balancer) updateEndpoint(now Micros, in *Endpoint, probe bool) {
	e, startTime, newProcess := b.membership.update(now, in)
	if !newProcess {
		return
	}
	if startTime != 0 && now-startTime < b.settings.Contract.SlowStartDuration {
		b.slowStart.begin(now, e, startTime)
	}
	if probe {
		b.probes.probe(now, e)
	}
}

// Cordon excludes every endpoint of this name from service, whatever its state in discovery, or ends that. An endpoint
// that returns was likely restarted: it counts as a new process, warming up since the instant given.
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
