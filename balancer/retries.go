package balancer

// Retries and hedged requests.

const (
	maxBudget        = 10.0 // attempts saved up, of retries and of hedged requests
	retryShare       = 0.2  // retries earned by each request
	hedgeShare       = 0.2  // hedged requests earned by each request
	lostWeight       = 0.02 // of the latest outcome in the share of attempts that are lost
	minLostShare     = 0.01 // share of lost attempts from which overdue ones are hedged
	overdueFactor    = 2.5  // times the latency expected, and
	minOverdueShare  = 0.25 // of the latency objective at least, after which an attempt is overdue
	overdueExtension = 2    // divides the time waited so far, for which a suspected attempt is waited for again
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

	retryBudget      budget
	hedgeBudget      budget
	lostAttemptShare ewma // share of attempts that were lost on their way or at the endpoint
}

func newRetrier(env *environment, p *prober, est *estimator, a *admission, l *ledger) retrier {
	return retrier{
		environment: env, probes: p, estimates: est, admission: a, ledger: l,
		retryBudget: maxBudget, hedgeBudget: maxBudget, lostAttemptShare: ewma{initialized: true},
	}
}

// deposit fills the budgets by one request.
func (t *retrier) deposit() {
	t.retryBudget.deposit(retryShare)
	t.hedgeBudget.deposit(hedgeShare)
}

// watch starts a timer for when r's latest attempt is overdue, if attempts get lost at all.
func (t *retrier) watch(now Micros, r *request) {
	a := &r.attempts[len(r.attempts)-1]
	if t.lostAttemptShare.value >= minLostShare && a.overdueAt+Micros(a.predictedLatency) < r.Deadline {
		t.actions.StartTimer(a.overdueAt-now, r.timerToken)
	}
}

// checkOverdue handles r's timer: its latest attempt may be overdue.
func (t *retrier) checkOverdue(now Micros, r *request) {
	n := len(r.attempts)
	if n == 0 || r.StreamingBody {
		return
	}
	if a := &r.attempts[n-1]; a.inFlight && !a.presumedLost && now >= a.overdueAt {
		t.handleOverdue(now, r, a)
	}
}

// handleOverdue hedges an attempt that takes far longer than expected, if it is lost. Where all requests
// queue, it must be waited for: a hedged request would double the work of endpoints that have too much. It is
// lost if a later attempt at its endpoint was answered before it, or if not even a probe was answered since:
// an endpoint or the network may drop some requests and serve the rest in time. Hedging is limited to times
// when such losses are known to happen, since most late answers are slow, and do come.
func (t *retrier) handleOverdue(now Micros, r *request, a *attempt) {
	e := a.endpoint
	if t.lostAttemptShare.value < minLostShare {
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
	a.presumedLost = true
	if t.settings.Limits.HedgedRequests && t.hedgeBudget >= 1 && t.admission.startAttempt(now, r) {
		t.hedgeBudget--
	}
}

// recordLoss counts whether an attempt that has ended was lost.
func (t *retrier) recordLoss(a *attempt, status Status) {
	e := a.endpoint
	lost := a.presumedLost && status == Cancelled ||
		status == Timeout && (e.lastAnsweredSentAt > a.sentAt || e.lastResponseAt < a.sentAt)
	t.lostAttemptShare.add(indicator(lost), lostWeight)
}

// retry sends r again after an attempt that failed, or gives up on it. Only an attempt that may have executed
// counts against the budget.
func (t *retrier) retry(now Micros, r *request, failed *attempt) {
	price := budget(indicator(failed.mayHaveExecuted))
	if t.retryBudget >= price && t.admission.startAttempt(now, r) {
		t.retryBudget -= price
		return
	}
	if r.inFlight == 0 { // else another attempt may still be answered
		t.ledger.reject(r)
	}
}
