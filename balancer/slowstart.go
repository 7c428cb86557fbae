package balancer

// Slow start: how much work goes to endpoints that are warming up.
//
// A token bucket limits the work of all warming endpoints together to a share of the mean work per warm
// endpoint, in proportion to their warm-up fractions. They take turns: next is the one that got the least
// work for its fraction. If N is the number of requests that a warming endpoint may get in OverloadWindow,
// and warm endpoints are loaded to a share r of their capacity, all balancers together send it up to
//
//	warmingLoadShare x (1 + maxExtraFraction) / warmingCharge x N r = 0.49 N r
//
// requests in that time. No balancer starts with the tokens of a complete request. An endpoint is overloaded
// by N + 2 sqrt(N) + 2 requests. One that was cordoned gets up to 2 more from each of min(10, 1 + 0.4 N)
// balancers: 2 + 1.29 N in all up to N = 22, then 20 + 0.49 N.
const (
	warmingLoadShare = 0.28 // of OverloadFactor: share of the load of a warm endpoint, per warm-up fraction
	warmingCharge    = 1.15 // multiple of its work that a request is charged
	probeWorkShare   = 0.01 // work of a probe, as a share of a request's

	// maxExtraFraction limits the excess of the measured over the least warm-up fraction, as a share of the
	// latter. It is reached after fullExtraSamples latencies. With warmingLoadShare, that stays far below an
	// overload.
	maxExtraFraction = 1.0
	fullExtraSamples = 20

	initialWarmingSlowness = 0.2  // share of the slowness that the least warm-up fraction implies
	warmingSlownessWeight  = 0.05 // of the latest sample in it

	// An endpoint that is no longer cordoned gets trial requests from 1 + trialShare N balancers, but not
	// from more than maxTrialBalancers, where N is the requests that it may get at first. Each may send
	// trialRequests, its probes included.
	maxTrialBalancers = 10
	trialShare        = 0.4
	trialRequests     = 2
)

// slowStart is the token bucket of the endpoints that are warming up.
type slowStart struct {
	*environment
	demand     *demand
	membership *membership
	estimates  *estimator

	next         *endpoint    // the warming endpoint that may be sent to next
	tokens       float64      // microseconds of work that all warming endpoints together may still get
	tokensAt     Micros       // instant of the latest refill
	servedLevel  float64      // least work of a warming endpoint over its warm-up fraction; 0 if none is warming
	sentWorkRate decayingRate // work sent to all endpoints
}

// begin marks e as warming up since an instant.
//
// A balancer with little traffic takes long to fill the bucket up to one request. Each therefore starts with
// a random level below that and, by the random start of warmingWork, with a random endpoint. A new endpoint
// starts at the served level of the others, or it would get all requests until it has caught up.
func (s *slowStart) begin(now Micros, e *endpoint, since Micros) {
	unit := warmingCharge * s.demand.referenceWork()
	e.warming, e.warmingSince = true, min(since, now)
	e.warmingWork = s.servedLevel*e.warmupFraction(now, &s.settings.Contract) - s.random.uniform()*unit
	if start := s.random.uniform() * unit; s.servedLevel == 0 || start < s.tokens {
		s.tokens = start
	}
}

// offerTrial permits a few balancers, drawn at random, to send to e at once: operators wait for an endpoint
// that they put back into service to serve a request. One request from each balancer could overload it.
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

// maySend reports whether e is the next warming endpoint, and there are tokens for a request of this work.
func (s *slowStart) maySend(now Micros, e *endpoint, work float64) bool {
	if s.tokensAt != now || s.next == nil {
		s.refill(now, work)
	}
	return e == s.next && s.tokens >= work*warmingCharge
}

// charge takes the tokens for a request sent to e, and ends its turn.
func (s *slowStart) charge(e *endpoint, work float64) {
	s.tokens -= work * warmingCharge
	e.warmingWork += work * warmingCharge
	e.awaitsTrial = false
	s.next = nil
}

// chargeProbe takes the tokens for a probe of e, if it is warming up.
func (s *slowStart) chargeProbe(now Micros, e *endpoint) {
	s.tokens -= probeWorkShare * s.demand.referenceWork() * indicator(e.isWarming(now, &s.settings.Contract))
}

// recordSend counts the work of a request sent to any endpoint.
func (s *slowStart) recordSend(now Micros, work float64) { s.sentWorkRate.add(now, work) }

// refill fills the token bucket by the time since the latest refill, and finds the next warming endpoint: the
// one that got the least work for its warm-up fraction. work is that of the request at hand.
func (s *slowStart) refill(now Micros, work float64) {
	var warm, ready float64        // endpoints
	var fractions float64          // sum of the warm-up fractions of warming endpoints
	var leastServed, level float64 // work per warm-up fraction: of s.next, and the least of all
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
		fractions += fraction
		served := (e.warmingWork + work) / fraction
		if level == 0 || served < level {
			level = served
		}
		// One that awaits its trial goes first, once it responds.
		if served *= indicator(!e.awaitsTrial || e.lastResponseAt == 0); s.next == nil || served < leastServed {
			s.next, leastServed = e, served
		}
	}
	s.servedLevel = level
	rate := s.sentWorkRate.rate(now)
	if warm == 0 { // nothing to compare with: an even share of the demand
		warm, rate = ready, s.demand.rate(now)*work
	}
	fill := min(1, warmingLoadShare*contract.OverloadFactor) * fractions * rate / max(1, warm)
	limit := max(fill*float64(contract.OverloadWindow)/float64(second)/2, work*warmingCharge)
	s.tokens += fill * float64(now-s.tokensAt) / float64(second)
	if s.next != nil && s.tokens > limit {
		// An endpoint that does not use the tokens is busy or far away, and would block all others: what overflows
		// is charged to it, so that another becomes next.
		s.next.warmingWork += s.tokens - limit
	}
	s.tokens, s.tokensAt = min(limit, s.tokens), now
}
