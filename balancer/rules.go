package balancer

// The rules for attempts and final answers: limits, idempotency, deduplication and slow start.

// maySend reports whether the rules allow an attempt at e now.
func (l *ledger) maySend(now Micros, r *request, e *endpoint) bool {
	mayHedge := l.settings.Limits.HedgedRequests && !r.StreamingBody
	if r.answered || r.streaming || r.bodyConsumed || r.hasPendingAttempt(mayHedge) || now >= r.Deadline ||
		len(r.attempts) >= l.settings.Limits.MaxAttempts || !e.usable() {
		return false
	}
	if e.isWarming(now, &l.settings.Contract) && !l.slowStart.maySend(now, e, r.work) {
		return false
	}
	first := r.firstExecuted()
	return first == nil || r.idempotency == Idempotent ||
		r.idempotency == IdempotentWithKey && now < l.latestStart(r, e) &&
			r.class.DeduplicationScope.covers(first, e)
}

// covers reports whether e drops a duplicate of the request that the first attempt may have executed.
func (scope DeduplicationScope) covers(first *attempt, e *endpoint) bool {
	return scope == ScopeAll || scope == ScopeZone && e.Zone == first.zone ||
		scope == ScopeCell && e.Cell == first.cell
}

// latestStart returns the instant up to which an attempt at e may begin, or 0 where only the deadline counts.
// A retry with an idempotency key may wait for a connection, and must arrive within the deduplication
// window.
func (l *ledger) latestStart(r *request, e *endpoint) Micros {
	first := r.firstExecuted()
	if first == nil || r.idempotency != IdempotentWithKey {
		return 0
	}
	return first.sentAt + r.class.DeduplicationWindow - Micros(l.estimates.roundTrip(e))
}

// mayReject reports whether r may be answered as rejected, which promises that a client's retry is harmless.
func (l *ledger) mayReject(r *request) bool {
	return r.idempotency == Idempotent || r.firstExecuted() == nil ||
		r.idempotency == IdempotentWithKey && r.class.DeduplicationScope == ScopeAll
}

// restrictIdempotency makes r non-idempotent if its class, as now in force, permits less than the one that r
// arrived under: r may lack the key by which endpoints drop duplicates. It returns the attempts to withdraw:
// if several may have executed, those in flight.
func (l *ledger) restrictIdempotency(r *request) (withdrawn []AttemptID) {
	if c := l.demand.classNamed(r.class.Name); c != nil && c.Idempotency > r.idempotency {
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

// restrictAll restricts every open request, and returns the attempts to withdraw.
func (l *ledger) restrictAll() (withdrawn []AttemptID) {
	for _, r := range l.slots {
		if l.requests[r.ID] == r && !r.answered {
			withdrawn = append(withdrawn, l.restrictIdempotency(r)...)
		}
	}
	return withdrawn
}
