package balancer

// The request ledger. Every attempt, rejection and failure goes through send, reject and fail. Only these
// methods enforce the rules, so no other component can bypass the rules.

// servedInTimeWeight is the weight of the latest request in class.servedInTime, the moving average of the
// share of requests served in time.
const servedInTimeWeight = 0.02

// A Retry-After is drawn uniformly between minRetryAfterShare and minRetryAfterShare + retryAfterSpread times
// the latency objective. This spreads the retries over time, and they arrive while an answer is still useful.
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

	requests    map[uint64]*request // requests in the ledger by ID
	slots       []*request          // all records, used or free; the index is part of the record's timerToken
	freeRecords []*request          // records of finished requests, to be used for new requests
	open        int                 // requests without a final answer
}

// lookup returns the request with this ID, or nil.
func (l *ledger) lookup(id uint64) *request { return l.requests[id] }

// byToken returns the request whose timers have this token, or nil. It also returns a finished request whose
// record has not been reused.
func (l *ledger) byToken(token uint32) *request {
	slot := int(token&(1<<slotBits-1)) - firstRequestToken
	if token < firstRequestToken || slot < 0 || slot >= len(l.slots) || l.slots[slot].timerToken != token {
		return nil
	}
	return l.slots[slot]
}

// openRequests returns the number of requests without a final answer.
func (l *ledger) openRequests() int { return l.open }

// full reports whether more requests are open than permitted, including the request that just arrived.
func (l *ledger) full() bool { return l.open > l.settings.Limits.MaxOpenRequests }

// newRequest adds a request to the ledger and returns its record, or returns nil if its class is unknown.
func (l *ledger) newRequest(now Micros, in Request) *request {
	c, t := l.demand.resolveClass(&in)
	if c == nil {
		return nil
	}
	var r *request
	if n := len(l.freeRecords); n > 0 {
		r, l.freeRecords = l.freeRecords[n-1], l.freeRecords[:n-1]
	} else {
		r = &request{timerToken: uint32(len(l.slots) + firstRequestToken)}
		l.slots = append(l.slots, r)
	}
	// The high bits of the token count the uses of the slot, so that timers of earlier uses are ignored.
	r.timerToken += 1 << slotBits
	underEarlierSettings := in.ReceivedUnder != nil
	in.ReceivedUnder = nil // otherwise, the record would keep old settings from being garbage collected
	*r = request{
		Request: in, class: c, idempotency: c.Idempotency, deduplicationScope: c.DeduplicationScope, tenant: t,
		timerToken: r.timerToken, arrivedAt: now,
		attempts: r.attempts[:0], awaitedEndpoints: r.awaitedEndpoints[:0],
	}
	if underEarlierSettings {
		l.restrictIdempotency(r)
	}
	l.requests[in.ID] = r
	l.open++
	return r
}

// finish marks r as answered and cancels its attempts in flight, if Limits.CancelAttempts is set. The record
// remains in the ledger until the last of these attempts has an outcome.
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
		l.freeRecords = append(l.freeRecords, r)
	}
}

// send starts an attempt at e if the rules permit it, and reports whether it did.
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

// recordBodyWritten records that the last byte of a streamed request body was sent. After that, the body
// can't be sent again. The latency of the request and its latest attempt is measured from now.
func (l *ledger) recordBodyWritten(now Micros, r *request, deadline Micros) {
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

// endAttempt records the end of an attempt and returns its request and the attempt, or nil and nil if this
// attempt is not in flight.
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
	if o.Status.NeverExecuted() {
		a.mayHaveExecuted = false
	}
	if responded(o.Status) {
		a.endpoint.lastResponseAt = now
		a.endpoint.lastAnsweredSentAt = max(a.endpoint.lastAnsweredSentAt, a.sentAt)
	}
	return r, a
}

// reject gives the final answer "rejected" if the rules permit it, otherwise "failed".
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
