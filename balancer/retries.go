package balancer

// Retries and hedged requests. A retry is an attempt that follows a failed one. A hedged request is an
// attempt that is sent because an earlier one, still in flight, was declared lost.

const (
	maxBudget    = 10.0 // largest value of a budget, in attempts
	retryDeposit = 0.2  // attempts that each request adds to the budget for retries
	hedgeDeposit = 0.2  // attempts that each request adds to the budget for hedged requests

	lossRateWeight     = 0.02 // weight of the latest outcome in the loss rate
	minHedgingLossRate = 0.01 // least loss rate at which overdue attempts are hedged

	// An attempt becomes overdue when the time since it was sent reaches
	//
	//	max(overdueFactor * predicted latency, minOverdueShare * latency objective)
	//
	// Then handleOverdue checks whether the attempt can be declared lost. If not, the next check follows after
	//
	//	time since the attempt was sent / overdueRecheckDivisor
	overdueFactor         = 2.5
	minOverdueShare       = 0.25
	overdueRecheckDivisor = 2

	// minStallPatience is the least time for which an attempt whose response has begun is awaited, before a
	// retry takes its place. Sound endpoints pause within a response, too.
	minStallPatience = second
)

// budget is a token bucket that limits attempts in proportion to requests, as in Finagle's retry budget. Its
// value is the number of attempts that may be sent now.
type budget float64

// deposit adds a share of an attempt to the budget, which is limited to maxBudget.
func (b *budget) deposit(share float64) { *b = budget(min(maxBudget, float64(*b)+share)) }

// retrier decides on retries and hedged requests.
type retrier struct {
	*environment
	probes    *prober
	estimates *estimator
	admission *admission
	ledger    *ledger

	retryBudget budget
	hedgeBudget budget
	lossRate    ewma // moving average of the share of attempts that were lost; see recordLoss
}

func newRetrier(env *environment, p *prober, est *estimator, a *admission, l *ledger) retrier {
	return retrier{
		environment: env, probes: p, estimates: est, admission: a, ledger: l,
		retryBudget: maxBudget, hedgeBudget: maxBudget, lossRate: newEWMA(0),
	}
}

// deposit adds the share of one request to both budgets.
func (t *retrier) deposit() {
	t.retryBudget.deposit(retryDeposit)
	t.hedgeBudget.deposit(hedgeDeposit)
}

// startOverdueTimer starts a timer for the instant at which r's latest attempt becomes overdue. It does so
// only if the loss rate permits hedging and a hedged request is expected to be answered by the deadline.
func (t *retrier) startOverdueTimer(now Micros, r *request) {
	a := &r.attempts[len(r.attempts)-1]
	if t.lossRate.value >= minHedgingLossRate && a.overdueAt+Micros(a.predictedLatency) < r.Deadline {
		t.actions.StartTimer(a.overdueAt-now, r.timerToken)
	}
}

// checkOverdue handles the expiry of r's timer if r's latest attempt is overdue.
func (t *retrier) checkOverdue(now Micros, r *request) {
	n := len(r.attempts)
	if n == 0 || r.StreamingBody {
		return
	}
	if a := &r.attempts[n-1]; a.inFlight && !a.declaredLost && now >= a.overdueAt {
		t.handleOverdue(now, r, a)
	}
}

// handleOverdue hedges an overdue attempt if it can be declared lost. That is the case if the endpoint
// answered a later attempt first, or if it has not responded to anything since the attempt was sent, not
// even to the probe that was sent when the attempt was first found overdue.
//
// An attempt that is merely queued is not hedged: a hedged request would double the work of an overloaded
// endpoint. For the same reason, hedging requires a minimum loss rate: without losses, overdue attempts are
// just slow.
func (t *retrier) handleOverdue(now Micros, r *request, a *attempt) {
	e := a.endpoint
	if t.lossRate.value < minHedgingLossRate {
		return
	}
	overtaken, silent := e.lastAnsweredSentAt > a.sentAt, a.suspectedLost && e.lastResponseAt < a.sentAt
	if !overtaken && !silent {
		a.suspectedLost = true
		t.probes.probe(now, e)
		a.overdueAt = now + (now-a.sentAt)/overdueRecheckDivisor
		if a.overdueAt < r.Deadline {
			t.actions.StartTimer(a.overdueAt-now, r.timerToken)
		}
		return
	}
	a.declaredLost = true
	if t.settings.Limits.HedgedRequests && t.hedgeBudget >= 1 && t.admission.startAttempt(now, r) {
		t.hedgeBudget--
	}
}

// decideStalled decides on an attempt whose response has begun and makes no progress. It can't be known
// whether the endpoint goes on. At most one attempt of each request is given up, and only if a retry is
// possible and gets at least as much time as the attempt had: a request then keeps its response even if each
// endpoint is merely slow.
func (t *retrier) decideStalled(now Micros, r *request, a *attempt) StallDecision {
	if !t.mayReplaceStalled(r, a) || r.Deadline-now < now-a.sentAt {
		return StallKeep
	}
	if now-a.sentAt < minStallPatience {
		return StallWait
	}
	if t.admission.replacement(now, r, a) == nil {
		return StallKeep
	}
	r.replacesStalled, a.givenUp = true, true
	return StallGiveUp
}

// mayReplaceStalled reports whether a retry may take the place of an attempt whose response stalls, if there
// is an endpoint for it.
func (t *retrier) mayReplaceStalled(r *request, a *attempt) bool {
	return !r.replacesStalled && !r.StreamingBody && r.idempotency != NonIdempotent &&
		t.settings.Limits.CancelAttempts && t.retryBudget >= 1 && r.Deadline-a.sentAt >= 2*minStallPatience
}

// recordLoss updates the loss rate with an attempt that has ended. The attempt was lost if it was declared
// lost and then cancelled. It was also lost if it timed out and its endpoint has answered a later attempt, or
// has responded to nothing since the attempt was sent.
func (t *retrier) recordLoss(a *attempt, status Status) {
	e := a.endpoint
	lost := a.declaredLost && status == Cancelled ||
		status == Timeout && (e.lastAnsweredSentAt > a.sentAt || e.lastResponseAt < a.sentAt)
	t.lossRate.add(indicator(lost), lossRateWeight)
}

// retry sends r again after a failed attempt. An attempt that was given up because its response stalled is
// replaced whatever the throttle and the circuit breakers say: its endpoint may have been about to go on. If
// retry can't send r, it rejects r, unless another attempt is in flight.
// The retry is charged to the budget only if the failed attempt may have executed; otherwise the endpoint did
// no work for that attempt.
func (t *retrier) retry(now Micros, r *request, failed *attempt) {
	cost := budget(indicator(failed.mayHaveExecuted))
	if failed.givenUp && t.admission.replace(now, r, failed) ||
		t.retryBudget >= cost && t.admission.startAttempt(now, r) {
		t.retryBudget -= cost
		return
	}
	if r.inFlight == 0 { // otherwise another attempt may still be answered
		t.ledger.reject(r)
	}
}
