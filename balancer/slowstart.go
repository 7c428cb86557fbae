package balancer

// Slow start: how much work goes to endpoints that are warming up.
//
// Cold endpoints together get a share of the mean work per warm endpoint, by their warmth, in turn; a send
// is charged a little more than its work. With warm endpoints at a load r of what they can do, all balancers
// together send a cold one in OverloadWindow up to warmingShare x (1 + maxExtraFraction) / warmingCharge =
// 0.49 of N r, N being what it may get. None begins with a whole send saved; N + 2 root N + 2 make it fall.
// One put back by hand gets up to 2 from each of min(10, 1 + 0.4 N) on top: 2 + 1.29 N up to N = 22, then 20
// + 0.49 N.
const (
	warmingShare           = 0.28 // of the multiple at which it falls over
	warmingCharge          = 1.15
	maxExtraFraction       = 1.0 // times the least warmth is believed on top, once so many
	fullTrustSamples       = 20  // answers showed it: far from what makes one fall over
	initialWarmingSlowness = 0.2 // of the slowness that the least warmth makes, until more is known
	warmingSlownessWeight  = 0.05
	probeWorkShare         = 0.01 // of a request's work, taken from the cold endpoints' room by a probe
	maxTrialBalancers      = 10   // balancers that send one at once to an endpoint put back by hand,
	trialShare             = 0.4  // and more than one by this share of the requests that it may get at first
)

// beginSlowStart marks e as warming up since then.
func (b *Balancer) beginSlowStart(now Micros, e *endpoint, since Micros) {
	// A quiet balancer takes long to earn one send: each starts at a random point of that, and with a random
	// endpoint. A new endpoint starts at the level of the others, or it would get all until it has caught up.
	unit := warmingCharge * b.classes[0].work.value
	e.warming, e.warmingSince = true, min(since, now)
	e.warmingWork = b.warmingServedLevel*e.warmupFraction(now, b) - b.random.uniform()*unit
	if start := b.random.uniform() * unit; b.warmingServedLevel == 0 || start < b.warmingTokens {
		b.warmingTokens = start
	}
}

// warmingMayServe says whether it is the turn of a cold endpoint, and a request of this work fits.
func (b *Balancer) warmingMayServe(now Micros, e *endpoint, work float64) bool {
	if b.warmingTokensAt != now || b.nextWarming == nil {
		b.refillWarmingTokens(now, work)
	}
	return e == b.nextWarming && b.warmingTokens >= work*warmingCharge
}

// refillWarmingTokens refills the token bucket of the cold endpoints and finds the one whose turn it is: that
// which got least for its warmth.
func (b *Balancer) refillWarmingTokens(now Micros, work float64) {
	var warm, ready, cold, least, level float64
	b.nextWarming = nil
	believed := 1 + maxExtraFraction*min(1, float64(b.warmingSamples)/fullTrustSamples)
	for _, o := range b.endpoints {
		if !o.usable() {
			continue
		}
		ready++
		if !o.isWarming(now, b) {
			warm++
			continue
		}
		// How slow they show to be tells more than the least warmth, which none needs to keep to.
		warmth := min(believed*o.warmupFraction(now, b), max(o.warmupFraction(now, b), 1/o.warmingSlowdown(now, b)))
		cold += warmth
		got := (o.warmingWork + work) / warmth
		if level == 0 || got < level {
			level = got
		}
		if got *= indicator(!o.awaitsTrial || o.lastResponseAt == 0); b.nextWarming == nil || got < least {
			b.nextWarming, least = o, got
		}
	}
	b.warmingServedLevel = level
	rate := b.sentWorkRate.rate(now)
	if warm == 0 { // nothing to compare with: an even share of what is asked
		warm, rate = ready, b.requestRate.rate(now)*work
	}
	fill := min(1, warmingShare*b.settings.Contract.OverloadFactor) * cold * rate / max(1, warm)
	most := max(fill*float64(b.settings.Contract.OverloadWindow)/float64(second)/2, work*warmingCharge)
	b.warmingTokens += fill * float64(now-b.warmingTokensAt) / float64(second)
	if b.nextWarming != nil && b.warmingTokens > most {
		// It lets its turn pass: busy or far away, it would keep all others from theirs.
		b.nextWarming.warmingWork += b.warmingTokens - most
	}
	b.warmingTokens, b.warmingTokensAt = min(most, b.warmingTokens), now
}
