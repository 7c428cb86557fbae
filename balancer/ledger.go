package balancer

// The request ledger. Every send, refusal and failure leaves through send, refuse and fail: they alone keep
// the rules, and no policy can get round them.

// end marks that the final answer is out; the record stays for late outcomes.
func (b *Balancer) end(r *request) {
	if !r.ended {
		r.class.good.add(r.good, 0.02)
		r.ended = true
		b.release(r)
		b.open--
		for i := range r.attempts {
			if r.attempts[i].out && b.s.Limits.CancelAttempts {
				b.out.Cancel(r.ID, i)
			}
		}
	}
	if r.out == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.free = append(b.free, r)
	}
}

// maySend says whether the rules allow an attempt at e now.
func (b *Balancer) maySend(now Micros, r *request, e *endpoint) bool {
	mayHedge := b.s.Limits.HedgedRequests && !r.StreamingBody
	if r.ended || r.stream || r.spent || r.waits(mayHedge) || now >= r.Deadline ||
		len(r.attempts) >= b.s.Limits.MaxAttempts || !e.usable() {
		return false
	}
	if e.cold(now, b) && !b.coldRoom(now, e, r.work) {
		return false
	}
	c, first := r.class, r.bound()
	return first == nil || r.repeat == Idempotent || r.repeat == IdempotentWithKey && now < b.latest(r, e) &&
		(c.DeduplicationScope == ScopeAll || c.DeduplicationScope == ScopeZone && e.Zone == first.zone ||
			c.DeduplicationScope == ScopeCell && e.Cell == first.cell)
}

// latest is the instant up to which an attempt at e may begin, or 0 where only the deadline counts: a keyed
// repeat, which may wait for a connection, has to arrive while its group still drops it.
func (b *Balancer) latest(r *request, e *endpoint) Micros {
	first := r.bound()
	if first == nil || r.repeat != IdempotentWithKey {
		return 0
	}
	return first.at + r.class.DeduplicationWindow - Micros(b.ways[e.Zone].v)
}

func (b *Balancer) mayRefuse(r *request) bool {
	return r.repeat == Idempotent || r.bound() == nil ||
		r.repeat == IdempotentWithKey && r.class.DeduplicationScope == ScopeAll
}

// restrict has the class in force hold for what is not sent yet of r, which in all else keeps the one that it
// began under. Where that permitted more, r may lack the key by which endpoints drop a repeat: none may begin
// any more. Of several attempts that may run, those that have not begun are withdrawn.
func (b *Balancer) restrict(r *request) (withdrawn []AttemptID) {
	if c := b.classNamed(r.class.Name); c != nil && c.Idempotency > r.repeat {
		r.repeat = NonIdempotent
	}
	if r.repeat != NonIdempotent || r.mayRun() < 2 {
		return nil
	}
	for i := range r.attempts {
		if r.attempts[i].out {
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
	cold := e.cold(now, b)
	if cold {
		b.spare -= r.work * coldCharge
		e.taken += r.work * coldCharge
		e.pending = false
		b.turn = nil
		b.stats.WarmingAttempts++
	}
	latest := b.latest(r, e)
	a := attempt{ep: e, zone: e.Zone, cell: e.Cell, at: now, cold: cold, expected: b.predict(now, e, r.work),
		plain: b.ways[e.Zone].v + r.work*e.paceNow(now, b)*b.crowding(now, e), crowding: b.crowding(now, e),
		out: true, mayRun: true, written: !r.StreamingBody}
	a.lateAt = now + Micros(max(lateFactor*a.expected, minLateShare*float64(r.class.LatencyObjective)))
	r.attempts = append(r.attempts, a)
	r.out++
	if e.sentAt = now; r.StreamingBody {
		e.writing++ // the endpoint begins it with its last byte
	} else {
		e.inflight++
	}
	b.stats.Attempts++
	b.sentWork.add(now, r.work)
	b.out.Send(r.ID, e.ID, latest)
	if len(r.attempts) == 1 {
		b.out.StartTimer(max(1, r.Deadline-now), r.token)
	}
	if b.lost.v >= minLostShare && a.lateAt+Micros(a.expected) < r.Deadline {
		b.out.StartTimer(a.lateAt-now, r.token)
	}
	return true
}

// refuse gives the final answer "refused" where that is true, else "failed".
func (b *Balancer) refuse(now Micros, r *request) {
	if r.ended || !b.mayRefuse(r) {
		b.fail(r)
		return
	}
	var after Micros
	if b.s.Limits.RetryAfter {
		// Spread the returns, and let them come while an answer is still wanted.
		after = min(Micros((0.1+0.2*b.rng.float())*float64(r.class.LatencyObjective)), b.s.Limits.MaxRetryAfter)
	}
	b.stats.Rejected++
	b.out.Reject(r.ID, after)
	b.end(r)
}

func (b *Balancer) fail(r *request) {
	if !r.ended {
		b.stats.Failed++
		b.out.Fail(r.ID)
		b.end(r)
	}
}

// HandleClientGone handles a client that left before its final answer.
func (b *Balancer) HandleClientGone(now Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.end(r)
	}
}

// HandleHeaders handles the start of a streamed answer: no deadline and no attempt concern it from here on.
func (b *Balancer) HandleHeaders(now Micros, id uint64, attempt int, latency Micros) {
	r := b.requests[id]
	if r == nil || r.ended || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	r.stream = true
}

// HandleBodyWritten handles the last byte of a request that is passed on while it comes: its time counts from
// here.
func (b *Balancer) HandleBodyWritten(now Micros, id uint64, deadline Micros) {
	r := b.requests[id]
	if r == nil || r.ended || len(r.attempts) == 0 {
		return
	}
	r.arrived, r.Deadline, r.spent = now, deadline, true
	a := &r.attempts[len(r.attempts)-1]
	if a.out && !a.written {
		a.written = true
		a.ep.writing--
		a.ep.inflight++
	}
	a.at, a.lateAt = now, a.lateAt+now-a.at
	b.out.StartTimer(max(1, deadline-now), r.token)
}
