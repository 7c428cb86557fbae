package balancer

// The request ledger. Every attempt, rejection and failure leaves through send, reject and fail: they alone
// keep the rules, and no policy can bypass them.

// servedInTimeWeight is the weight of the latest request in its class's share served in time.
const servedInTimeWeight = 0.02

// A Retry-After is drawn uniformly from a range in shares of the latency objective: the retries are spread,
// and come while an answer is still useful.
const (
	minRetryAfterShare = 0.1
	retryAfterSpread   = 0.2
)

// ledger holds every request that has an attempt in flight or lacks its final answer.
type ledger struct {
	*environment
	demand    *demand
	slowStart *slowStart
	estimates *estimator
	waiting   *waitlist

	requests map[uint64]*request // by ID
	slots    []*request          // every record, by timer slot
	free     []*request          // records to use again
	open     int                 // requests without final answer
}

// lookup returns the request of this ID, or nil.
func (l *ledger) lookup(id uint64) *request { return l.requests[id] }

// byToken returns the request whose timers have this token, or nil.
func (l *ledger) byToken(token uint32) *request {
	slot := int(token&(1<<slotBits-1)) - firstRequestToken
	if token < firstRequestToken || slot < 0 || slot >= len(l.slots) || l.slots[slot].timerToken != token {
		return nil
	}
	return l.slots[slot]
}

// openRequests counts the requests without final answer.
func (l *ledger) openRequests() int { return l.open }

// full reports whether more requests are open than permitted.
func (l *ledger) full() bool { return l.open > l.settings.Limits.MaxOpenRequests }

// newRequest returns the record of a request, or nil if its class is unknown.
func (l *ledger) newRequest(now Micros, in Request) *request {
	c, t := l.demand.resolveClass(&in)
	if c == nil {
		return nil
	}
	var r *request
	if n := len(l.free); n > 0 {
		r, l.free = l.free[n-1], l.free[:n-1]
	} else {
		r = &request{timerToken: uint32(len(l.slots) + firstRequestToken)}
		l.slots = append(l.slots, r)
	}
	// The high bits count the uses of the slot, so that a timer of an earlier use is ignored.
	r.timerToken += 1 << slotBits
	underEarlierSettings := in.ReceivedUnder != nil
	in.ReceivedUnder = nil // a free record must not keep old settings alive
	*r = request{
		Request: in, class: c, idempotency: c.Idempotency, tenant: t, timerToken: r.timerToken, arrivedAt: now,
		attempts: r.attempts[:0], awaitedEndpoints: r.awaitedEndpoints[:0],
	}
	if underEarlierSettings {
		l.restrictIdempotency(r)
	}
	l.requests[in.ID] = r
	l.open++
	return r
}

// finish marks that the final answer is given; the record stays for outcomes still to come.
func (l *ledger) finish(r *request) {
	if !r.answered {
		r.class.servedInTime.add(r.servedInTime, servedInTimeWeight)
		r.answered = true
		l.waiting.remove(r)
		l.open--
		for i := range r.attempts {
			if r.attempts[i].inFlight && l.settings.Limits.CancelAttempts {
				l.actions.Cancel(r.ID, i)
			}
		}
	}
	if r.inFlight == 0 && l.requests[r.ID] == r {
		delete(l.requests, r.ID)
		l.free = append(l.free, r)
	}
}

// send starts an attempt if the rules allow it.
func (l *ledger) send(now Micros, r *request, e *endpoint) bool {
	if !l.maySend(now, r, e) {
		return false
	}
	warming := e.isWarming(now, &l.settings.Contract)
	if warming {
		l.slowStart.charge(e, r.work)
		l.stats.WarmingAttempts++
	}
	latest := l.latestStart(r, e)
	a := attempt{
		endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: now, warming: warming,
		predictedLatency:      l.estimates.latency(now, e, r.work),
		predictedWithoutTrend: l.estimates.latencyWithoutTrend(now, e, r.work),
		queueingFactor:        l.estimates.queueingFactor(now, e),
		inFlight:              true, mayHaveExecuted: true, bodyWritten: !r.StreamingBody,
	}
	overdue := max(overdueFactor*a.predictedLatency, minOverdueShare*float64(r.class.LatencyObjective))
	a.overdueAt = now + Micros(overdue)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if e.lastSentAt = now; r.StreamingBody {
		e.uploading++ // the endpoint starts to serve the request at its last byte
	} else {
		e.inFlight++
	}
	l.stats.Attempts++
	l.slowStart.recordSend(now, r.work)
	l.actions.Send(r.ID, e.ID, latest)
	if len(r.attempts) == 1 {
		l.actions.StartTimer(max(1, r.Deadline-now), r.timerToken)
	}
	return true
}

// bodyWritten records the last byte of a streamed request body. The body can't be sent again.
func (l *ledger) bodyWritten(now Micros, r *request, deadline Micros) {
	r.arrivedAt, r.Deadline, r.bodyConsumed = now, deadline, true
	a := &r.attempts[len(r.attempts)-1]
	if a.inFlight && !a.bodyWritten {
		a.bodyWritten = true
		a.endpoint.uploading--
		a.endpoint.inFlight++
	}
	a.sentAt, a.overdueAt = now, a.overdueAt+now-a.sentAt
	l.actions.StartTimer(max(1, deadline-now), r.timerToken)
}

// endAttempt records that an attempt has ended. It returns nil if no such attempt is in flight.
func (l *ledger) endAttempt(now Micros, o *Outcome) (*request, *attempt) {
	r := l.lookup(o.ID)
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return nil, nil
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
	if o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent {
		a.mayHaveExecuted = false
	}
	if responded(o.Status) {
		a.endpoint.lastResponseAt = now
		a.endpoint.lastAnsweredSentAt = max(a.endpoint.lastAnsweredSentAt, a.sentAt)
	}
	return r, a
}

// reject gives the final answer "rejected" where the rules allow it, otherwise "failed".
func (l *ledger) reject(r *request) {
	if r.answered || !l.mayReject(r) {
		l.fail(r)
		return
	}
	var retryAfter Micros
	if l.settings.Limits.RetryAfter {
		spread := (minRetryAfterShare + retryAfterSpread*l.random.uniform()) * float64(r.class.LatencyObjective)
		retryAfter = min(Micros(spread), l.settings.Limits.MaxRetryAfter)
	}
	l.stats.Rejected++
	l.actions.Reject(r.ID, retryAfter)
	l.finish(r)
}

// fail gives the final answer "failed".
func (l *ledger) fail(r *request) {
	if !r.answered {
		l.stats.Failed++
		l.actions.Fail(r.ID)
		l.finish(r)
	}
}
