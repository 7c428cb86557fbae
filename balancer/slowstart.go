package balancer

// Slow start: how much work goes to endpoints that are warming up.
//
// Warming endpoints together get a share of the mean work per warm endpoint, in proportion to their warm-up
// fraction, one after the other; a request is charged a little more than its work. If N is the number of
// requests that a warming endpoint may get in OverloadWindow, and warm endpoints are loaded to a share r of
// their capacity, all balancers together send it up to
//
//	warmingShare x (1 + maxExtraFraction) / warmingCharge x N r = 0.49 N r
//
// requests in that time. No balancer starts with a whole request saved up; N + 2 sqrt(N) + 2 overload the
// endpoint. One that was cordoned gets up to 2 more from each of min(10, 1 + 0.4 N) balancers: 2 + 1.29 N in
// all up to N = 22, then 20 + 0.49 N.
const (
	warmingShare           = 0.28 // of OverloadFactor
	warmingCharge          = 1.15 // times the work of a request
	maxExtraFraction       = 1.0  // of the least warm-up fraction is believed on top, once
	fullTrustSamples       = 20   // latencies showed it: with warmingShare, that is far from an overload
	initialWarmingSlowness = 0.2  // of the slowness that the least warm-up fraction implies
	warmingSlownessWeight  = 0.05
	probeWorkShare         = 0.01 // work of a probe, as a share of a request's
	maxTrialBalancers      = 10   // balancers that send at once to an endpoint that is no longer cordoned,
	trialShare             = 0.4  // and more than one by this share of the requests that it may get at first
	trialRequests          = 2    // that such a balancer may send, its probes included
)

// slowStart is the token bucket of the endpoints that are warming up.
type slowStart struct {
	*environment
	demand     *demand
	membership *membership
	estimates  *estimator

	next         *endpoint // the warming endpoint that may be sent to next
	tokens       float64   // work that all warming endpoints together may still get
	tokensAt     Micros
	servedLevel  float64      // least work of a warming endpoint over its warm-up fraction; 0 if none is warming
	sentWorkRate decayingRate // work sent to all endpoints
}

// begin marks e as warming up since an instant.
//
// A balancer with little traffic takes long to earn the tokens of one request: each starts at a random point
// of that, and with a random endpoint. A new endpoint starts at the level of the others, or it would get all
// requests until it has caught up.
func (s *slowStart) begin(now Micros, e *endpoint, since Micros) {
	unit := warmingCharge * s.demand.referenceWork()
	e.warming, e.warmingSince = true, min(since, now)
	e.warmingWork = s.servedLevel*e.warmupFraction(now, &s.settings.Contract) - s.random.uniform()*unit
	if start := s.random.uniform() * unit; s.servedLevel == 0 || start < s.tokens {
		s.tokens = start
	}
}

// offerTrial lets a few balancers send to e at once: operators wait to see an endpoint serve that they put
// back into service. One request of every balancer would soon be more than it can serve.
func (s *slowStart) offerTrial(e *endpoint) {
	c, work := &s.settings.Contract, s.demand.referenceWork()
	n := c.OverloadFactor * c.SlowStartInitialFraction * float64(c.OverloadWindow) / work
	balancers := min(maxTrialBalancers, 1+trialShare*n)
	e.awaitsTrial = s.random.uniform()*float64(s.settings.Balancers) < balancers
	if e.awaitsTrial {
		s.tokens = max(s.tokens, trialRequests*warmingCharge*work)
	}
}

// candidate returns the warming endpoint that may be sent to next, or nil.
func (s *slowStart) candidate() *endpoint { return s.next }

// maySend tells whether e is the next warming endpoint, and there are tokens for a request of this work.
func (s *slowStart) maySend(now Micros, e *endpoint, work float64) bool {
	if s.tokensAt != now || s.next == nil {
		s.refill(now, work)
	}
	return e == s.next && s.tokens >= work*warmingCharge
}

// charge pays for a request sent to e.
func (s *slowStart) charge(e *endpoint, work float64) {
	s.tokens -= work * warmingCharge
	e.warmingWork += work * warmingCharge
	e.awaitsTrial = false
	s.next = nil
}

// chargeProbe pays for a probe of e, if it is warming up.
func (s *slowStart) chargeProbe(now Micros, e *endpoint) {
	s.tokens -= probeWorkShare * s.demand.referenceWork() * indicator(e.isWarming(now, &s.settings.Contract))
}

// recordSend counts the work of a request sent to any endpoint.
func (s *slowStart) recordSend(now Micros, work float64) { s.sentWorkRate.add(now, work) }

// refill fills the token bucket, and finds the next warming endpoint: the one that got the least work for its
// warm-up fraction.
func (s *slowStart) refill(now Micros, work float64) {
	var warm, ready, warming, least, level float64
	s.next = nil
	contract := &s.settings.Contract
	for _, e := range s.membership.list() {
		if !e.usable() {
			continue
		}
		ready++
		if !e.isWarming(now, contract) {
			warm++
			continue
		}
		fraction := s.estimates.likelyWarmupFraction(now, e)
		warming += fraction
		served := (e.warmingWork + work) / fraction
		if level == 0 || served < level {
			level = served
		}
		if served *= indicator(!e.awaitsTrial || e.lastResponseAt == 0); s.next == nil || served < least {
			s.next, least = e, served
		}
	}
	s.servedLevel = level
	rate := s.sentWorkRate.rate(now)
	if warm == 0 { // nothing to compare with: an even share of the demand
		warm, rate = ready, s.demand.rate(now)*work
	}
	fill := min(1, warmingShare*contract.OverloadFactor) * warming * rate / max(1, warm)
	limit := max(fill*float64(contract.OverloadWindow)/float64(second)/2, work*warmingCharge)
	s.tokens += fill * float64(now-s.tokensAt) / float64(second)
	if s.next != nil && s.tokens > limit {
		// An endpoint that does not use its tokens is busy or far away, and would keep them from all others: what
		// overflows counts as its own.
		s.next.warmingWork += s.tokens - limit
	}
	s.tokens, s.tokensAt = min(limit, s.tokens), now
}
