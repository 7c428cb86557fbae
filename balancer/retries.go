package balancer

// Retries and hedged requests.

const (
	maxBudget  = 10.0 // attempts that a budget holds
	retryShare = 0.2  // of an attempt, deposited by each request for retries
	hedgeShare = 0.2  // of an attempt, deposited by each request for hedged requests

	lossRateWeight     = 0.02 // of the latest outcome in the loss rate
	minHedgingLossRate = 0.01 // from which overdue attempts are hedged

	// An attempt is overdue after this multiple of its predicted latency, and after no less than this share of
	// the latency objective. If it can't be declared lost then, it is checked again after the time waited so far
	// divided by overdueExtension.
	overdueFactor    = 2.5
	minOverdueShare  = 0.25
	overdueExtension = 2
)

// budget is a token bucket of attempts: each request deposits a share of one, as in Finagle's retry budget.
type budget float64

// deposit adds a share of an attempt, up to maxBudget.
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
	lossRate    ewma // share of attempts that were lost in the network or at the endpoint
}

func newRetrier(env *environment, p *prober, est *estimator, a *admission, l *ledger) retrier {
	return retrier{
		environment: env, probes: p, estimates: est, admission: a, ledger: l,
		retryBudget: maxBudget, hedgeBudget: maxBudget, lossRate: newEWMA(0),
	}
}

// deposit fills the budgets by one request.
func (t *retrier) deposit() {
	t.retryBudget.deposit(retryShare)
	t.hedgeBudget.deposit(hedgeShare)
}

// watch starts a timer for the instant at which r's latest attempt is overdue, if attempts get lost at all.
func (t *retrier) watch(now Micros, r *request) {
	a := &r.attempts[len(r.attempts)-1]
	if t.lossRate.value >= minHedgingLossRate && a.overdueAt+Micros(a.predictedLatency) < r.Deadline {
		t.actions.StartTimer(a.overdueAt-now, r.timerToken)
	}
}

// checkOverdue handles r's timer: its latest attempt may be overdue.
func (t *retrier) checkOverdue(now Micros, r *request) {
	n := len(r.attempts)
	if n == 0 || r.StreamingBody {
		return
	}
	if a := &r.attempts[n-1]; a.inFlight && !a.declaredLost && now >= a.overdueAt {
		t.handleOverdue(now, r, a)
	}
}

// handleOverdue hedges an overdue attempt if it can be declared lost: if its endpoint answered a later
// attempt before it, or has not answered even the probe sent once it was overdue.
//
// An attempt that merely queues is waited for, since a hedged request would double the work of an overloaded
// endpoint. Hence hedging also requires a loss rate: without losses, overdue attempts are slow.
func (t *retrier) handleOverdue(now Micros, r *request, a *attempt) {
	e := a.endpoint
	if t.lossRate.value < minHedgingLossRate {
		return
	}
	overtaken, silent := e.lastAnsweredSentAt > a.sentAt, a.suspected && e.lastResponseAt < a.sentAt
	if !overtaken && !silent {
		a.suspected = true
		t.probes.probe(now, e)
		a.overdueAt = now + (now-a.sentAt)/overdueExtension
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

// recordLoss updates the loss rate by an attempt that has ended.
func (t *retrier) recordLoss(a *attempt, status Status) {
	e := a.endpoint
	lost := a.declaredLost && status == Cancelled ||
		status == Timeout && (e.lastAnsweredSentAt > a.sentAt || e.lastResponseAt < a.sentAt)
	t.lossRate.add(indicator(lost), lossRateWeight)
}

// retry sends r again after an attempt that failed, or rejects it. Only an attempt that may have executed is
// charged to the budget: others have cost no work.
func (t *retrier) retry(now Micros, r *request, failed *attempt) {
	charge := budget(indicator(failed.mayHaveExecuted))
	if t.retryBudget >= charge && t.admission.startAttempt(now, r) {
		t.retryBudget -= charge
		return
	}
	if r.inFlight == 0 { // else another attempt may still be answered
		t.ledger.reject(r)
	}
}
