package balancer

import "slices"

// Outcomes, retries and second copies of a request.

const (
	budgetBurst             = 10.0
	retryShare              = 0.2  // retries earned by each request
	lostWeight              = 0.02 // of the latest outcome in the share of attempts that are lost
	minLostShare            = 0.01 // share from which late attempts get a second copy
	hedgeShare              = 0.2  // second copies earned by each request
	failureWeight           = 0.5  // of the latest outcome in an endpoint's failure share
	connectionFailureWeight = 0.25 // of a connection failure: connections break at healthy ones, too
	overdueFactor           = 2.5  // times the latency expected, and
	minOverdueShare         = 0.25 // of the aim at least, after which an answer is late
	rejectedShareWeight     = 0.25 // of the latest failure in that share
)

// handleRequestTimer looks at a request whose probes are slow, or whose time is up.
func (b *Balancer) handleRequestTimer(now Micros, r *request) {
	if now >= r.Deadline {
		for i := range r.attempts {
			if a := &r.attempts[i]; a.inFlight {
				b.learnServiceTime(now, r, a, float64(now-a.sentAt), true)
			}
		}
		b.reject(now, r)
	} else if r.awaitingProbes {
		// Only the idle answer in time: to count them alone would show an idle fleet when all of it is jammed.
		for _, e := range r.awaitedEndpoints {
			b.typicalLoad.add(assumedCores+b.requestsAhead(float64(now-e.lastProbeAt)), typicalLoadWeight)
		}
		b.dispatch(now, r)
	} else if n := len(r.attempts); n > 0 && !r.StreamingBody {
		if a := &r.attempts[n-1]; a.inFlight && !a.presumedLost && now >= a.overdueAt {
			b.handleOverdue(now, r, a)
		}
	}
}

// handleOverdue handles an attempt that takes far longer than was expected. Where all wait in line it must be
// waited for: a second copy doubles the work of those that have too much. But where a later one was answered
// before it, or nothing was heard at all since, not even a probe, it is lost: endpoints and the ways to them
// may swallow some requests and answer the rest in time. Then a copy goes elsewhere, as far as the class
// permits. That is done only while such losses are proven to happen: most late answers are slow, and come.
func (b *Balancer) handleOverdue(now Micros, r *request, a *attempt) {
	e := a.endpoint
	if b.lostAttemptShare.value < minLostShare {
		return
	}
	overtaken, silent := e.lastAnsweredSentAt > a.sentAt, a.suspected && e.lastResponseAt < a.sentAt
	if !overtaken && !silent {
		a.suspected = true
		b.probe(now, e)
		a.overdueAt = now + (now-a.sentAt)/2
		if a.overdueAt < r.Deadline {
			b.actions.StartTimer(a.overdueAt-now, r.timerToken)
		}
		return
	}
	a.presumedLost = true
	if b.settings.Limits.HedgedRequests && b.hedgeBudget >= 1 && b.startAttempt(now, r, false) {
		b.hedgeBudget--
	}
}

// HandleOutcome handles the end of an attempt.
func (b *Balancer) HandleOutcome(now Micros, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.inFlight = false
	r.inFlight--
	r.bodyConsumed = r.bodyConsumed || o.BodyConsumed
	if a.bodyWritten {
		a.endpoint.inFlight--
	} else {
		a.endpoint.uploading--
	}
	if b.forgetIfRemoved(a.endpoint) { // the next list may be long in coming
		b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool { return e == a.endpoint })
	}
	if o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent {
		a.mayHaveExecuted = false
	}
	if o.Status == OK || o.Status == EndpointError || o.Status == Rejected {
		a.endpoint.lastResponseAt, a.endpoint.lastAnsweredSentAt = now, max(a.endpoint.lastAnsweredSentAt, a.sentAt)
	}
	lost := a.presumedLost && o.Status == Cancelled ||
		o.Status == Timeout && (a.endpoint.lastAnsweredSentAt > a.sentAt || a.endpoint.lastResponseAt < a.sentAt)
	b.lostAttemptShare.add(indicator(lost), lostWeight)
	b.recordOutcome(now, r, a, o.Status, o.Latency)
	inTime := o.Status == OK && !r.answered && now-r.arrivedAt <= r.class.LatencyObjective
	if o.Status != Cancelled && o.Status != NotSent {
		b.recentAttempts.add(now, inTime)
	}
	if inTime {
		r.servedInTime = 1
		b.trialInterval = minTrialInterval
	} else if r.trial {
		// The trial found the endpoints still overloaded: more of them would prolong the overload.
		b.trialInterval = min(2*b.trialInterval, maxTrialInterval)
	}
	if o.Answered || o.Status == OK || r.answered {
		b.finish(r)
		return
	}
	price := indicator(a.mayHaveExecuted) // what never ran may be sent again for nothing
	if b.retryBudget >= price && b.startAttempt(now, r, false) {
		b.retryBudget -= price
		return
	}
	if r.inFlight == 0 { // else another copy may still be answered
		b.reject(now, r)
	}
}

// recordOutcome feeds an outcome to the averages.
func (b *Balancer) recordOutcome(now Micros, r *request, a *attempt, status Status, latency Micros) {
	e := a.endpoint
	b.stats.outcome(a, status, latency)
	switch status {
	case OK:
		e.breaker.count(now, 1, 0)
		e.breaker.addLatency(float64(latency))
		e.failureShare, e.failureShareAt = (1-failureWeight)*e.currentFailureShare(now), now
		b.learnServiceTime(now, r, a, float64(latency), false)
	case Cancelled, NotSent:
	default:
		e.breaker.count(now, 0, 1)
		e.rejectedShare.add(indicator(status == Rejected), rejectedShareWeight)
		// A client that had little time left says nothing of the endpoint.
		hasty := status == Timeout && float64(latency) < overdueFactor*a.predictedLatency
		if weight := failureWeight; !a.presumedLost && !hasty {
			if status == Reset || status == ConnectFailed || status == Timeout {
				weight = connectionFailureWeight
			}
			b.countFailure(now, e, weight)
		}
		if status == Timeout {
			b.learnServiceTime(now, r, a, float64(latency), true)
		}
	}
}

// countFailure counts a failure of this weight against e.
func (b *Balancer) countFailure(now Micros, e *endpoint, weight float64) {
	before := e.isEjected(now)
	e.failureShare, e.failureShareAt = (1-weight)*e.currentFailureShare(now)+weight, now
	if !before && e.isEjected(now) {
		b.log(now, "eject", "endpoint %d ejected, %.0f%% of its recent attempts failed", e.ID, 100*e.failureShare)
	}
}
