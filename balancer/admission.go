package balancer

import "slices"

// Admission: whether a request is worth an attempt now, and whether endpoints are probed for it first.

// One of so many requests that seem too late is sent as a trial. The interval starts at the minimum and
// doubles with each trial that is not served in time.
const (
	minTrialInterval = 10
	maxTrialInterval = 640
)

// admission decides whether requests are sent.
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

	trialInterval int // one of so many requests that seem too late is sent as a trial
}

// dispatch sends a request, or rejects it.
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

// startAttempt picks an endpoint and sends to it. If its breaker drops the request, one other is tried.
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

// tooLate reports whether e, the best endpoint, would serve r too late for the work to be worth it.
//
// Where no request queues, none is too late. There, a few samples of a long-tailed latency can make a healthy
// endpoint look slow, and a slow sidecar makes all endpoints look so; rejecting requests relieves neither.
//
// As with a half-open circuit breaker, some requests pass as trials, so that a wrong estimate is corrected.
// Their number is a share of the requests, since one a second at each of a thousand balancers would be more
// than an overloaded fleet can serve.
func (a *admission) tooLate(now Micros, r *request, e *endpoint) bool {
	expected, limit := a.estimates.latency(now, e, r.work), a.estimates.latencyLimit(now, r, e)
	late := expected > limit && a.estimates.queueingFactor(now, e) > 1
	if !late {
		return false
	}
	c := r.class
	c.tooLateSinceTrial++
	trialDue := len(r.attempts) == 0 && c.tooLateSinceTrial >= a.trialInterval
	if trialDue && now-c.lastTrialAt >= forcedTrialInterval {
		c.lastTrialAt, c.tooLateSinceTrial = now, 0
		r.isTrial = true
		return false
	}
	a.stats.TooLate++
	a.log(now, "refuse", "requests rejected, %.0f%% recently: the best endpoint, %d, would take %.0f ms, "+
		"limit %.0f ms; work %.0f ms, service time ratio %.2f, load %.1f, ours %d, value %.2f",
		100*a.demand.rejected(), e.ID, expected/1000, limit/1000, r.work/1000,
		a.estimates.serviceTimeRatio(now, e), a.estimates.load(now, e), e.inFlight, r.priority)
	return true
}

// recordTrial adapts the trial interval to an outcome of r.
func (a *admission) recordTrial(r *request, inTime bool) {
	if inTime {
		a.trialInterval = minTrialInterval
	} else if r.isTrial {
		// The endpoints are still overloaded, and trials add to that.
		a.trialInterval = min(2*a.trialInterval, maxTrialInterval)
	}
}

// waitForProbes probes a few random endpoints for r, and puts r on the waitlist for their answers. It returns
// false if r should be dispatched at once.
func (a *admission) waitForProbes(now Micros, r *request) bool {
	// Beyond half of the requests rejected, fewer and fewer get probes: clients retry, and the probes for all
	// their requests could overload the fleet by themselves.
	probing := a.probes.probesWithRequests() && a.settings.Limits.Probes && len(a.settings.ReportFields) > 0
	if !probing || a.random.uniform() > max(minFirstAttemptShare, 2-2*a.demand.rejected()) {
		return false
	}
	wait := min(maxProbeWaitShare*float64(r.class.LatencyObjective), float64(r.Deadline-now)/4)
	for i := range a.probes.countPerRequest() {
		// The first probe goes to the balancer's own zone. The others go where an answer comes within half the
		// wait; within all of it with a probability of the share of requests rejected.
		maxRoundTrip := wait / 2
		if i == 0 {
			maxRoundTrip = 0
		} else if a.random.uniform() < a.demand.rejected() {
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

// resumeAwaiting dispatches the requests that no longer need to wait once a probe of e has ended.
func (a *admission) resumeAwaiting(now Micros, e *endpoint) {
	for r, i := a.waiting.resumable(now, e, fromEnd); r != nil; r, i = a.waiting.resumable(now, e, i) {
		a.dispatch(now, r)
	}
}
