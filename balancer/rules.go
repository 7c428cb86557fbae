package balancer

// The rules for attempts and final answers: limits, idempotency, deduplication and slow start.

// maySend reports whether the rules permit an attempt of r at e now.
func (l *ledger) maySend(now Micros, r *request, e *endpoint) bool {
	mayHedge := l.settings.Limits.HedgedRequests && !r.StreamingBody
	if r.answered || r.streaming || r.bodyConsumed || r.hasPendingAttempt(mayHedge) || now >= r.Deadline ||
		len(r.attempts) >= l.settings.Limits.MaxAttempts || !e.usable() {
		return false
	}
	if e.isWarming(now, &l.settings.Contract) && !l.slowStart.maySend(now, e, r.work) {
		return false
	}
	first := r.firstPossiblyExecuted()
	return first == nil || r.idempotency == Idempotent ||
		r.idempotency == IdempotentWithKey && now < l.latestStart(r, e) &&
			r.deduplicationScope.covers(first, e)
}

// covers reports whether e drops duplicates of first, the first possibly executed attempt of a request. Under
// ScopeAll, e may be any endpoint. Under ScopeZone and ScopeCell, e must be in the zone or cell of the
// endpoint to which first was sent.
func (scope DeduplicationScope) covers(first *attempt, e *endpoint) bool {
	return scope.coversAttempt(first, &attempt{zone: e.Zone, cell: e.Cell})
}

// coversAttempt is like covers, for the endpoint of another attempt at the time when it was sent.
func (scope DeduplicationScope) coversAttempt(first, other *attempt) bool {
	return scope == ScopeAll || scope == ScopeZone && other.zone == first.zone ||
		scope == ScopeCell && other.cell == first.cell
}

// latestStart returns the latest instant at which an attempt of r at e may start, or 0 if only the deadline
// limits it. A retry with an idempotency key may wait for a connection, but must reach e within the
// deduplication window, which starts when the first possibly executed attempt is sent.
func (l *ledger) latestStart(r *request, e *endpoint) Micros {
	first := r.firstPossiblyExecuted()
	if first == nil || r.idempotency != IdempotentWithKey {
		return 0
	}
	return first.sentAt + r.class.DeduplicationWindow - Micros(l.estimates.roundTrip(e))
}

// mayReject reports whether r may get the answer "rejected", which tells the client that a retry is harmless.
func (l *ledger) mayReject(r *request) bool {
	return r.idempotency == Idempotent || r.firstPossiblyExecuted() == nil ||
		r.idempotency == IdempotentWithKey && r.deduplicationScope == ScopeAll
}

// restrictIdempotency makes r non-idempotent if the class in force with the name of r's class is stricter
// than r's idempotency. r never becomes IdempotentWithKey, since it may lack the key by which endpoints drop
// duplicates. If that class has a smaller deduplication scope, r gets it, too. If several attempts of r may
// have executed, restrictIdempotency returns those in flight that are no longer permitted, which the host
// must withdraw.
func (l *ledger) restrictIdempotency(r *request) (withdrawn []AttemptID) {
	if c := l.demand.classNamed(r.class.Name); c != nil {
		if c.Idempotency > r.idempotency {
			r.idempotency = NonIdempotent
		}
		if c.Idempotency == IdempotentWithKey {
			r.deduplicationScope = max(r.deduplicationScope, c.DeduplicationScope)
		}
	}
	if r.idempotency == Idempotent || r.countPossiblyExecuted() < 2 {
		return nil
	}
	first := r.firstPossiblyExecuted()
	for i := range r.attempts {
		a := &r.attempts[i]
		permitted := r.idempotency == IdempotentWithKey && r.deduplicationScope.coversAttempt(first, a)
		if a.inFlight && !permitted {
			withdrawn = append(withdrawn, AttemptID{r.ID, i})
		}
	}
	return withdrawn
}

// restrictOpenRequests calls restrictIdempotency for every open request, and returns the attempts that the
// host must withdraw.
func (l *ledger) restrictOpenRequests() (withdrawn []AttemptID) {
	for _, r := range l.slots {
		if l.requests[r.ID] == r && !r.answered {
			withdrawn = append(withdrawn, l.restrictIdempotency(r)...)
		}
	}
	return withdrawn
}
