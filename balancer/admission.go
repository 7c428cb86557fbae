package balancer

import (
	"math"
	"slices"
)

// Admission: whether a request is worth an attempt now.

const (
	minTrialInterval = 10  // requests that seem too late: one of so many is sent all the same,
	maxTrialInterval = 640 // and one of so many after passes that earned nothing
	maxQueueingShare = 0.6 // of what the aim leaves may be waited by the class of most value: latencies vary
	minQueueingShare = 0.2 // and by any
)

// HandleRequest handles a client's request.
func (b *Balancer) HandleRequest(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return
	}
	r := b.newRequest(now, in)
	if r == nil {
		b.actions.Reject(in.ID, 0) // nothing is known of its class, but an answer is owed
		return
	}
	b.stats.Requests++
	b.requestRate.add(now, 1)
	b.retryBudget = min(budgetBurst, b.retryBudget+retryShare)
	b.hedgeBudget = min(budgetBurst, b.hedgeBudget+hedgeShare)
	c := r.class
	c.requestRate.add(now, 1)
	if r.tenant != nil {
		r.tenant.add(now, 1)
	}
	r.work = c.work.value
	if r.logWorkHint = 0; in.HasWorkHint && in.WorkHint > 0 {
		c.work.add(float64(in.WorkHint), workWeight)
		r.logWorkHint = math.Log(float64(in.WorkHint) / c.work.value)
		r.work = c.work.value * math.Exp(b.workHintTrust*r.logWorkHint)
	}
	if now >= in.Deadline || b.openRequests > b.settings.Limits.MaxOpenRequests {
		b.reject(now, r)
		return
	}
	if !b.waitForProbes(now, r) {
		b.dispatch(now, r)
	}
}

// dispatch sends a request, or refuses it.
func (b *Balancer) dispatch(now Micros, r *request) {
	b.stopAwaiting(r)
	first := len(r.attempts) == 0
	sent := b.startAttempt(now, r, first)
	if first {
		b.rejectedShare.add(indicator(!sent), shareWeight)
	}
	if !sent {
		b.reject(now, r)
	}
}

// startAttempt picks and sends; a pick that the breaker refuses tries one more.
func (b *Balancer) startAttempt(now Micros, r *request, first bool) bool {
	if b.throttles(now) {
		b.stats.Throttled++
		return false
	}
	r.priority = b.priority(now, r)
	e := b.pick(now, r, nil)
	if e == nil {
		b.stats.NoEndpoint++
		return false
	}
	x, most := b.predictLatency(now, e, r.work), b.latencyLimit(now, r, e)
	if x > most && b.queueingFactor(now, e) > 1 {
		// It would come too late to be worth its work: not where nobody waits, since few samples of a
		// long-tailed latency make a healthy endpoint look hopeless, and a sidecar that is slow itself makes
		// all of them look so: refused clients only come back sooner. As with the breaker, one
		// passes now and then, so that a wrong guess does not feed itself: of so many, since a pass a second
		// at each of a thousand balancers is more than a jammed fleet can bear.
		c := r.class
		c.tooLateSinceTrial++
		if !first || c.tooLateSinceTrial < b.trialInterval || now-c.lastTrialAt < forcedTrialInterval {
			b.stats.TooLate++
			b.log(now, "refuse", "requests rejected, %.0f%% recently: the best endpoint, %d, would take %.0f ms, "+
				"limit %.0f ms; work %.0f ms, service time ratio %.2f, load %.1f, ours %d, value %.2f",
				100*b.rejectedShare.value, e.ID, x/1000, most/1000, r.work/1000,
				e.currentServiceTimeRatio(now, b), b.estimatedLoad(now, e),
				e.inFlight, r.priority)
			return false
		}
		c.lastTrialAt, c.tooLateSinceTrial = now, 0
		r.trial = true
	}
	if !b.breakerAllows(now, r, e) {
		if e = b.pick(now, r, e); e == nil || !b.breakerAllows(now, r, e) {
			b.stats.BreakerRejected++
			return false
		}
	}
	return b.send(now, r, e)
}

// waitForProbes probes a few random endpoints for r and keeps it until they answer.
func (b *Balancer) waitForProbes(now Micros, r *request) bool {
	// While most is refused, most go without: clients retry, and their probes alone would fill the fleet.
	asking := b.probePerRequest && b.settings.Limits.Probes && len(b.settings.ReportFields) > 0
	if !asking || b.random.uniform() > max(minFirstAttemptShare, 2-2*b.rejectedShare.value) {
		return false
	}
	wait := min(maxProbeWaitShare*float64(r.class.LatencyObjective), float64(r.Deadline-now)/4)
	for i := range int(b.probesPerRequest) {
		// One of its own zone, and others whose answer can come in time; farther ones while much is refused.
		far := wait / 2
		if i == 0 {
			far = 0
		} else if b.random.uniform() < b.rejectedShare.value {
			far = wait
		}
		e := b.randomEndpoint(now, r, nil, far)
		if e == nil {
			return false
		}
		if !slices.Contains(r.awaitedEndpoints, e) {
			b.probe(now, e)
			r.awaitedEndpoints = append(r.awaitedEndpoints, e)
		}
	}
	r.awaitingProbes = true
	b.awaitingProbes = append(b.awaitingProbes, r)
	b.actions.StartTimer(max(1, Micros(wait)), r.timerToken)
	return true
}

// resumeAwaiting sends the requests that waited for e's answer alone.
func (b *Balancer) resumeAwaiting(now Micros, e *endpoint) {
	for i := len(b.awaitingProbes) - 1; i >= 0; i = min(i, len(b.awaitingProbes)) - 1 {
		r := b.awaitingProbes[i]
		waited := len(r.awaitedEndpoints)
		r.awaitedEndpoints = slices.DeleteFunc(r.awaitedEndpoints, func(a *endpoint) bool { return a == e })
		// Nothing beats an endpoint that has room at once.
		idle := e.reportedAt == now && e.reportedLoad+float64(e.inFlight) <= assumedCores-1
		if len(r.awaitedEndpoints) < waited && (idle || len(r.awaitedEndpoints) == 0) {
			b.dispatch(now, r)
		}
	}
}
