package balancer

import "slices"

// Admission: whether a request is sent or rejected, and whether endpoints are probed for it first.

// Bounds of requestsPerTrial. A trial is a request that is sent although it is predicted too late; see
// tooLate. requestsPerTrial starts at the minimum and doubles with each trial that is not served in time. It
// returns to the minimum when a request is served in time.
const (
	minRequestsPerTrial = 10
	maxRequestsPerTrial = 640
)

// admission decides whether requests are sent, rejected or wait for probes.
type admission struct {
	*environment
	demand    *demand
	probes    *prober
	estimates *estimator
	breakers  *breakers
	picker    *picker
	ledger    *ledger
	waiting   *waitlist
	retries   *retrier

	requestsPerTrial int // of this number of requests predicted too late, one is sent as a trial
}

// dispatch ends r's wait for probes, if any, and sends r or rejects it.
func (a *admission) dispatch(now Micros, r *request) {
	a.waiting.remove(r)
	first := len(r.attempts) == 0
	sent := a.startAttempt(now, r)
	if first {
		a.demand.recordDecision(sent)
	}
	if !sent {
		a.ledger.reject(r)
	}
}

// startAttempt picks an endpoint and sends r to it. If the endpoint's circuit breaker drops r, one other
// endpoint is tried. It returns false if r was not sent.
func (a *admission) startAttempt(now Micros, r *request) bool {
	if a.breakers.throttle(now) {
		a.stats.Throttled++
		return false
	}
	r.priority = a.demand.priority(now, r)
	e := a.picker.pick(now, r, nil)
	if e == nil {
		a.stats.NoEndpoint++
		return false
	}
	if a.tooLate(now, r, e) {
		return false
	}
	if !a.breakers.allow(now, r, e) {
		if e = a.picker.pick(now, r, e); e == nil || !a.breakers.allow(now, r, e) {
			a.stats.BreakerRejected++
			return false
		}
	}
	if !a.ledger.send(now, r, e) {
		return false
	}
	a.retries.startOverdueTimer(now, r)
	return true
}

// replacement returns the endpoint to which r could be sent in place of an attempt, or nil if there is none
// that is expected to respond by the deadline. The attempt may still be in flight.
func (a *admission) replacement(now Micros, r *request, replaced *attempt) *endpoint {
	inFlight := replaced.inFlight
	replaced.inFlight = false // the rules are asked about the time after its end
	e := a.picker.pick(now, r, replaced.endpoint)
	replaced.inFlight = inFlight
	if e == nil || now+Micros(a.estimates.latency(now, e, r.work)) >= r.Deadline {
		return nil
	}
	return e
}

// replace sends r in place of an attempt that has ended, and reports whether it did.
func (a *admission) replace(now Micros, r *request, replaced *attempt) bool {
	e := a.replacement(now, r, replaced)
	return e != nil && a.ledger.send(now, r, e)
}

// tooLate reports whether r is rejected because e, the best endpoint, is predicted to answer it too late for
// the work to be worthwhile.
//
// At an endpoint where no request queues, no request is regarded as too late. A few samples of a long-tailed
// latency can make a healthy endpoint look slow there, and a slow sidecar makes all endpoints look slow.
// Rejecting requests helps in neither case.
//
// As with a half-open circuit breaker, some requests that are predicted too late are sent as trials, so that
// a wrong estimate is corrected. Trials are limited to a share of the requests predicted too late: one trial
// per second at each of a thousand balancers would be more than an overloaded fleet can serve.
func (a *admission) tooLate(now Micros, r *request, e *endpoint) bool {
	expected, limit := a.estimates.latency(now, e, r.work), a.estimates.latencyLimit(now, r, e)
	late := expected > limit && a.estimates.queueingFactor(now, e) > 1
	if !late {
		return false
	}
	c := r.class
	c.tooLateSinceTrial++
	trialDue := len(r.attempts) == 0 && c.tooLateSinceTrial >= a.requestsPerTrial
	if trialDue && now-c.lastTrialAt >= forcedTrialInterval {
		c.lastTrialAt, c.tooLateSinceTrial = now, 0
		r.isTrial = true
		return false
	}
	a.stats.TooLate++
	a.log(now, "refuse", "requests rejected, %.0f%% recently: the best endpoint, %d, would take %.0f ms, "+
		"limit %.0f ms; work %.0f ms, service time ratio %.2f, load %.1f, ours %d, value %.2f",
		100*a.demand.recentRejectedShare(), e.ID, expected/1000, limit/1000, r.work/1000,
		a.estimates.serviceTimeRatio(now, e), a.estimates.load(now, e), e.inFlight, r.priority)
	return true
}

// recordTrial updates requestsPerTrial after an outcome of r. inTime tells whether r was served in time.
func (a *admission) recordTrial(r *request, inTime bool) {
	if inTime {
		a.requestsPerTrial = minRequestsPerTrial
	} else if r.isTrial {
		// The endpoints are still overloaded, and trials add to the overload.
		a.requestsPerTrial = min(2*a.requestsPerTrial, maxRequestsPerTrial)
	}
}

// waitForProbes probes a few random endpoints for r, and puts r on the waitlist until they answer. It returns
// false if r should be dispatched at once.
func (a *admission) waitForProbes(now Micros, r *request) bool {
	// A request gets probes with probability max(minProbedRequestShare, 2 - 2 s), where s is the recent share of
	// requests rejected. Above s = 1/2, the probability falls as s grows: clients retry, and the probes alone
	// could overload the fleet if they were sent for all requests.
	probing := a.probes.probesWithRequests() && a.settings.Limits.Probes && len(a.settings.ReportFields) > 0
	if !probing || a.random.uniform() > max(minProbedRequestShare, 2-2*a.demand.recentRejectedShare()) {
		return false
	}
	wait := min(maxProbeWaitShare*float64(r.class.LatencyObjective), float64(r.Deadline-now)/4)
	for probeIndex := range a.probes.countPerRequest() {
		// The first probe prefers the balancer's own zone. The others prefer endpoints with a round-trip time
		// within half the wait or, with a probability equal to the share of requests rejected, the full wait.
		maxRoundTrip := wait / 2
		if probeIndex == 0 {
			maxRoundTrip = 0
		} else if a.random.uniform() < a.demand.recentRejectedShare() {
			maxRoundTrip = wait
		}
		e := a.picker.randomEndpoint(now, r, nil, maxRoundTrip)
		if e == nil {
			return false
		}
		if !slices.Contains(r.awaitedEndpoints, e) {
			a.probes.probe(now, e)
			r.awaitedEndpoints = append(r.awaitedEndpoints, e)
		}
	}
	a.waiting.add(r)
	a.actions.StartTimer(max(1, Micros(wait)), r.timerToken)
	return true
}

// resumeWaitingRequests dispatches the requests that no longer have to wait. It is called when a probe of e
// has ended.
func (a *admission) resumeWaitingRequests(now Micros, e *endpoint) {
	for r, i := a.waiting.nextResumable(now, e, fromEnd); r != nil; r, i = a.waiting.nextResumable(now, e, i) {
		a.dispatch(now, r)
	}
}
