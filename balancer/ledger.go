package balancer

import "slices"

// The request ledger. Every send, refusal and failure leaves through send, refuse and fail: they alone keep
// the rules, and no policy can get round them.

// finish marks that the final answer is out; the record stays for late outcomes.
func (b *Balancer) finish(r *request) {
	if !r.answered {
		r.class.servedInTime.add(r.servedInTime, 0.02)
		r.answered = true
		b.stopAwaiting(r)
		b.openRequests--
		for i := range r.attempts {
			if r.attempts[i].inFlight && b.settings.Limits.CancelAttempts {
				b.actions.Cancel(r.ID, i)
			}
		}
	}
	if r.inFlight == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.freeRequests = append(b.freeRequests, r)
	}
}

// maySend says whether the rules allow an attempt at e now.
func (b *Balancer) maySend(now Micros, r *request, e *endpoint) bool {
	mayHedge := b.settings.Limits.HedgedRequests && !r.StreamingBody
	if r.answered || r.streaming || r.bodyConsumed || r.hasPendingAttempt(mayHedge) || now >= r.Deadline ||
		len(r.attempts) >= b.settings.Limits.MaxAttempts || !e.usable() {
		return false
	}
	if e.isWarming(now, b) && !b.warmingMayServe(now, e, r.work) {
		return false
	}
	c, first := r.class, r.firstExecuted()
	return first == nil || r.idempotency == Idempotent ||
		r.idempotency == IdempotentWithKey && now < b.latestStart(r, e) &&
			(c.DeduplicationScope == ScopeAll || c.DeduplicationScope == ScopeZone && e.Zone == first.zone ||
				c.DeduplicationScope == ScopeCell && e.Cell == first.cell)
}

// latestStart is the instant up to which an attempt at e may begin, or 0 where only the deadline counts: a
// keyed repeat, which may wait for a connection, has to arrive while its group still drops it.
func (b *Balancer) latestStart(r *request, e *endpoint) Micros {
	first := r.firstExecuted()
	if first == nil || r.idempotency != IdempotentWithKey {
		return 0
	}
	return first.sentAt + r.class.DeduplicationWindow - Micros(b.zoneLatencies[e.Zone].median)
}

func (b *Balancer) mayReject(r *request) bool {
	return r.idempotency == Idempotent || r.firstExecuted() == nil ||
		r.idempotency == IdempotentWithKey && r.class.DeduplicationScope == ScopeAll
}

// restrictIdempotency has the class in force hold for what is not sent yet of r, which in all else keeps the
// one that it began under. Where that permitted more, r may lack the key by which endpoints drop a repeat:
// none may begin any more. Of several attempts that may run, those that have not begun are withdrawn.
func (b *Balancer) restrictIdempotency(r *request) (withdrawn []AttemptID) {
	if c := b.classNamed(r.class.Name); c != nil && c.Idempotency > r.idempotency {
		r.idempotency = NonIdempotent
	}
	if r.idempotency != NonIdempotent || r.executedAttempts() < 2 {
		return nil
	}
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			withdrawn = append(withdrawn, AttemptID{r.ID, i})
		}
	}
	return withdrawn
}

// send starts an attempt if the rules allow it.
func (b *Balancer) send(now Micros, r *request, e *endpoint) bool {
	if !b.maySend(now, r, e) {
		return false
	}
	cold := e.isWarming(now, b)
	if cold {
		b.warmingTokens -= r.work * warmingCharge
		e.warmingWork += r.work * warmingCharge
		e.awaitsTrial = false
		b.nextWarming = nil
		b.stats.WarmingAttempts++
	}
	latest := b.latestStart(r, e)
	a := attempt{
		endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: now, warming: cold,
		predictedLatency: b.predictLatency(now, e, r.work),
		predictedWithoutTrend: b.zoneLatencies[e.Zone].median +
			r.work*e.currentServiceTimeRatio(now, b)*b.queueingFactor(now, e),
		queueingFactor: b.queueingFactor(now, e),
		inFlight:       true, mayHaveExecuted: true, bodyWritten: !r.StreamingBody,
	}
	overdue := max(overdueFactor*a.predictedLatency, minOverdueShare*float64(r.class.LatencyObjective))
	a.overdueAt = now + Micros(overdue)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if e.lastSentAt = now; r.StreamingBody {
		e.uploading++ // the endpoint begins it with its last byte
	} else {
		e.inFlight++
	}
	b.stats.Attempts++
	b.sentWorkRate.add(now, r.work)
	b.actions.Send(r.ID, e.ID, latest)
	if len(r.attempts) == 1 {
		b.actions.StartTimer(max(1, r.Deadline-now), r.timerToken)
	}
	if b.lostAttemptShare.value >= minLostShare && a.overdueAt+Micros(a.predictedLatency) < r.Deadline {
		b.actions.StartTimer(a.overdueAt-now, r.timerToken)
	}
	return true
}

// reject gives the final answer "refused" where that is true, else "failed".
func (b *Balancer) reject(now Micros, r *request) {
	if r.answered || !b.mayReject(r) {
		b.fail(r)
		return
	}
	var after Micros
	if b.settings.Limits.RetryAfter {
		// Spread the returns, and let them come while an answer is still wanted.
		spread := (0.1 + 0.2*b.random.uniform()) * float64(r.class.LatencyObjective)
		after = min(Micros(spread), b.settings.Limits.MaxRetryAfter)
	}
	b.stats.Rejected++
	b.actions.Reject(r.ID, after)
	b.finish(r)
}

func (b *Balancer) fail(r *request) {
	if !r.answered {
		b.stats.Failed++
		b.actions.Fail(r.ID)
		b.finish(r)
	}
}

// HandleClientGone handles a client that left before its final answer.
func (b *Balancer) HandleClientGone(now Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// HandleHeaders handles the start of a streamed answer: no deadline and no attempt concern it from here on.
func (b *Balancer) HandleHeaders(now Micros, id uint64, attempt int, latency Micros) {
	r := b.requests[id]
	if r == nil || r.answered || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.streaming = true
}

// HandleBodyWritten handles the last byte of a request that is passed on while it comes: its time counts from
// here.
func (b *Balancer) HandleBodyWritten(now Micros, id uint64, deadline Micros) {
	r := b.requests[id]
	if r == nil || r.answered || len(r.attempts) == 0 {
		return
	}
	r.arrivedAt, r.Deadline, r.bodyConsumed = now, deadline, true
	a := &r.attempts[len(r.attempts)-1]
	if a.inFlight && !a.bodyWritten {
		a.bodyWritten = true
		a.endpoint.uploading--
		a.endpoint.inFlight++
	}
	a.sentAt, a.overdueAt = now, a.overdueAt+now-a.sentAt
	b.actions.StartTimer(max(1, deadline-now), r.timerToken)
}

// newRequest returns the record of a request, or nil if its class is not known.
func (b *Balancer) newRequest(now Micros, in Request) *request {
	c, t := b.resolveClass(&in)
	if c == nil {
		return nil
	}
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r, b.freeRequests = b.freeRequests[n-1], b.freeRequests[:n-1]
	} else {
		r = &request{timerToken: uint32(len(b.requestSlots) + firstRequestToken)}
		b.requestSlots = append(b.requestSlots, r)
	}
	// The high bits count uses of the slot, so that an old timer finds nothing.
	r.timerToken += 1 << slotBits
	changed := in.ReceivedUnder != nil
	in.ReceivedUnder = nil // or a record that waits to be used again would keep old settings
	*r = request{
		Request: in, class: c, idempotency: c.Idempotency, tenant: t, timerToken: r.timerToken, arrivedAt: now,
		attempts: r.attempts[:0], awaitedEndpoints: r.awaitedEndpoints[:0],
	}
	if changed {
		b.restrictIdempotency(r)
	}
	b.requests[in.ID] = r
	b.openRequests++
	return r
}

// stopAwaiting ends r's wait for probes.
func (b *Balancer) stopAwaiting(r *request) {
	if r.awaitingProbes {
		r.awaitingProbes, r.awaitedEndpoints = false, r.awaitedEndpoints[:0]
		b.awaitingProbes = slices.DeleteFunc(b.awaitingProbes, func(h *request) bool { return h == r })
	}
}
