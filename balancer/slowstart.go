package balancer

// Slow start: how much work goes to endpoints that are warming up.
//
// Cold endpoints together get a share of the mean work per warm endpoint, by their warmth, in turn; a send
// is charged a little more than its work. With warm endpoints at a load r of what they can do, all balancers
// together send a cold one in OverloadWindow up to coldShare x (1 + warmthMore) / coldCharge = 0.49 of N r, N
// being what it may get. None begins with a whole send saved; N + 2 root N + 2 make it fall. One put back by
// hand gets up to 2 from each of min(10, 1 + 0.4 N) on top: 2 + 1.29 N up to N = 22, then 20 + 0.49 N.
const (
	coldShare          = 0.28 // of the multiple at which it falls over
	coldCharge         = 1.15
	warmthMore         = 1.0 // times the least warmth is believed on top, once so many
	warmthTells        = 20  // answers showed it: with coldShare, that is far from what makes one fall over
	coldSlownessFirst  = 0.2 // of the slowness that the least warmth makes, until more is known
	coldSlownessWeight = 0.05
	probeShare         = 0.01 // of a request's work, taken from the cold endpoints' room by a probe
	maxPending         = 10   // balancers that send one at once to an endpoint put back by hand,
	pendingShare       = 0.4  // and more than one by this share of the requests that it may get at first
)

// beginSlowStart marks e as warming up since then.
func (b *Balancer) beginSlowStart(now Micros, e *endpoint, since Micros) {
	// A quiet balancer takes long to earn one send: each starts at a random point of that, and with a random
	// endpoint. A new endpoint starts at the level of the others, or it would get all until it has caught up.
	unit := coldCharge * b.classes[0].work.v
	e.isCold, e.coldFrom = true, min(since, now)
	e.taken = b.level*e.warmth(now, b) - b.rng.float()*unit
	if start := b.rng.float() * unit; b.level == 0 || start < b.spare {
		b.spare = start
	}
}

// coldRoom says whether it is the turn of a cold endpoint, and a request of this work fits.
func (b *Balancer) coldRoom(now Micros, e *endpoint, work float64) bool {
	if b.spareAt != now || b.turn == nil {
		b.earn(now, work)
	}
	return e == b.turn && b.spare >= work*coldCharge
}

// earn refills the token bucket of the cold endpoints and finds the one whose turn it is: that which got
// least for its warmth.
func (b *Balancer) earn(now Micros, work float64) {
	var warm, ready, cold, least, level float64
	b.turn = nil
	believed := 1 + warmthMore*min(1, float64(b.coldSamples)/warmthTells)
	for _, o := range b.list {
		if !o.usable() {
			continue
		}
		ready++
		if !o.cold(now, b) {
			warm++
			continue
		}
		// How slow they show to be tells more than the least warmth, which none needs to keep to.
		warmth := min(believed*o.warmth(now, b), max(o.warmth(now, b), 1/o.slowed(now, b)))
		cold += warmth
		got := (o.taken + work) / warmth
		if level == 0 || got < level {
			level = got
		}
		if got *= share(!o.pending || o.heardAt == 0); b.turn == nil || got < least {
			b.turn, least = o, got
		}
	}
	b.level = level
	rate := b.sentWork.rate(now)
	if warm == 0 { // nothing to compare with: an even share of what is asked
		warm, rate = ready, b.demand.rate(now)*work
	}
	fill := min(1, coldShare*b.s.Contract.OverloadFactor) * cold * rate / max(1, warm)
	most := max(fill*float64(b.s.Contract.OverloadWindow)/float64(second)/2, work*coldCharge)
	b.spare += fill * float64(now-b.spareAt) / float64(second)
	if b.turn != nil && b.spare > most {
		// It lets its turn pass: busy or far away, it would keep all others from theirs.
		b.turn.taken += b.spare - most
	}
	b.spare, b.spareAt = min(most, b.spare), now
}
