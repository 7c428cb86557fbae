package balancer

// Slow start: how much work goes to endpoints that are warming up.
//
// One token bucket limits the work of all warming endpoints together to a share of the mean work per warm
// endpoint, in proportion to their warm-up fractions. The warming endpoints take turns: the next request goes
// to the one with the least work divided by its warm-up fraction.
//
// All balancers together send to one warming endpoint, in OverloadWindow, at most this number of requests:
//
//	k N r = 0.49 N r              if the endpoint was not cordoned
//	k N + 2 b = 2 + 1.29 N        if it was uncordoned and N <= 22
//	k N + 2 b = 20 + 0.49 N       if it was uncordoned and N > 22
//
// where
//
//	N = requests that the endpoint may get in OverloadWindow under Contract.OverloadFactor
//	r = load of the warm endpoints, as a share of their capacity
//	k = overloadFactorShare x (1 + maxExtraFraction) / workChargeFactor = 0.28 x 2 / 1.15 = 0.49
//	b = min(maxTrialBalancers, 1 + trialBalancersPerRequest x N) = min(10, 1 + 0.4 N)
//
// An overload is expected only from N + 2 sqrt(N) + 2 requests on.
//
// The bound k N r follows from four facts: the bucket fills at overloadFactorShare of the permitted rate, the
// likely warm-up fraction is at most 1 + maxExtraFraction times the guaranteed one, each request is charged
// workChargeFactor times its work, and no balancer starts with the tokens of a complete request. The bounds
// for an uncordoned endpoint assume r = 1, that is, warm endpoints at full load. They add the
// trialRequestsPerBalancer = 2 requests that each of b balancers may send.
const (
	// overloadFactorShare multiplies Contract.OverloadFactor. The product, at most 1, is the load that a warming
	// endpoint may get, as a share of a warm endpoint's load and per unit of warm-up fraction.
	overloadFactorShare = 0.28

	workChargeFactor = 1.15 // tokens charged for a request, as a multiple of its work
	probeWorkShare   = 0.01 // work of a probe as a share of referenceWork, the mean work of a request

	// The contract guarantees a warm-up fraction f. The fraction estimated from latencies exceeds f by at most
	//
	//	f x maxExtraFraction x min(1, n / samplesForMaxExtraFraction)
	//
	// where n is the number of latencies measured. Even with this excess, overloadFactorShare
	// keeps the load far below an overload.
	maxExtraFraction           = 1.0
	samplesForMaxExtraFraction = 20

	// The warming slowness is 0 if warming endpoints are as fast as warm ones, and 1 if they are as slow as
	// their guaranteed warm-up fraction implies. It is estimated from measured latencies.
	initialWarmingSlowness = 0.2  // warming slowness before the first sample
	warmingSlownessWeight  = 0.05 // weight of the latest sample in the average

	// An endpoint that is no longer cordoned gets trial requests from
	//
	//	min(maxTrialBalancers, 1 + trialBalancersPerRequest x N)
	//
	// balancers, where N is the number of requests that it may get in OverloadWindow at its initial warm-up
	// fraction. Each of these balancers gets tokens for trialRequestsPerBalancer requests, from which its probes
	// of the endpoint are paid, too.
	maxTrialBalancers        = 10
	trialBalancersPerRequest = 0.4
	trialRequestsPerBalancer = 2
)

// slowStart holds the token bucket that all warming endpoints share, and chooses which of them is next.
type slowStart struct {
	*environment
	demand     *demand
	membership *membership
	estimates  *estimator

	next                 *endpoint    // warming endpoint whose turn it is; nil if not chosen yet
	tokens               float64      // microseconds of work that all warming endpoints together may still get
	tokensAt             Micros       // instant of the latest refill
	leastWorkPerFraction float64      // least of (warmingWork + work) / warm-up fraction; 0 if none is warming
	sentWorkRate         decayingRate // work sent to all endpoints
}

// begin marks e as warming up since the given instant, or since now if that is earlier.
//
// A balancer with little traffic takes a long time to fill the bucket with the tokens of one request. Each
// balancer therefore starts with a random number of tokens below that. The initial warmingWork is random,
// too, so that each balancer starts with a random endpoint. A new endpoint starts at the leastWorkPerFraction
// of the others; otherwise, it would get all requests until it has caught up.
func (s *slowStart) begin(now Micros, e *endpoint, since Micros) {
	requestCharge := workChargeFactor * s.demand.referenceWork()
	e.warming, e.warmingSince = true, min(since, now)
	e.warmingWork = s.leastWorkPerFraction*e.warmupFraction(now, &s.settings.Contract) -
		s.random.uniform()*requestCharge
	if initialTokens := s.random.uniform() * requestCharge; s.leastWorkPerFraction == 0 ||
		initialTokens < s.tokens {
		s.tokens = initialTokens
	}
}

// offerTrial draws at random whether this balancer may send to e at once. It is called when e is uncordoned:
// operators then wait until e serves a request. Only a few balancers may send at once, since a request from
// every balancer could overload e.
func (s *slowStart) offerTrial(e *endpoint) {
	c, work := &s.settings.Contract, s.demand.referenceWork()
	permittedRequests := c.OverloadFactor * c.SlowStartInitialFraction * float64(c.OverloadWindow) / work
	balancers := min(maxTrialBalancers, 1+trialBalancersPerRequest*permittedRequests)
	e.awaitsTrial = s.random.uniform()*float64(s.settings.Balancers) < balancers
	if e.awaitsTrial {
		s.tokens = max(s.tokens, trialRequestsPerBalancer*workChargeFactor*work)
	}
}

// nextEndpoint returns the warming endpoint whose turn it is, or nil if none is chosen.
func (s *slowStart) nextEndpoint() *endpoint { return s.next }

// maySend reports whether it is e's turn and the bucket holds the tokens for a request of this work.
func (s *slowStart) maySend(now Micros, e *endpoint, work float64) bool {
	if s.tokensAt != now || s.next == nil {
		s.refill(now, work)
	}
	return e == s.next && s.tokens >= work*workChargeFactor
}

// charge takes the tokens for a request of this work sent to e, and ends e's turn.
func (s *slowStart) charge(e *endpoint, work float64) {
	s.tokens -= work * workChargeFactor
	e.warmingWork += work * workChargeFactor
	e.awaitsTrial = false
	s.next = nil
}

// chargeProbe takes the tokens for a probe of e if e is warming up.
func (s *slowStart) chargeProbe(now Micros, e *endpoint) {
	s.tokens -= probeWorkShare * s.demand.referenceWork() * indicator(e.isWarming(now, &s.settings.Contract))
}

// recordSend adds the work of a request sent to any endpoint to sentWorkRate.
func (s *slowStart) recordSend(now Micros, work float64) { s.sentWorkRate.add(now, work) }

// refill adds the tokens for the time since the latest refill, and chooses the next warming endpoint: the one
// with the least (warmingWork + work) / warm-up fraction, where work is that of the current request.
func (s *slowStart) refill(now Micros, work float64) {
	var warmEndpoints, usableEndpoints float64          // numbers of endpoints
	var fractionSum float64                             // sum of the warm-up fractions of warming endpoints
	var nextWorkPerFraction, minWorkPerFraction float64 // (warmingWork + work) / fraction of s.next; the least
	s.next = nil
	contract := &s.settings.Contract
	for _, e := range s.membership.list() {
		if !e.usable() {
			continue
		}
		usableEndpoints++
		if !e.isWarming(now, contract) {
			warmEndpoints++
			continue
		}
		fraction := s.estimates.likelyWarmupFraction(now, e)
		fractionSum += fraction
		workPerFraction := (e.warmingWork + work) / fraction
		if minWorkPerFraction == 0 || workPerFraction < minWorkPerFraction {
			minWorkPerFraction = workPerFraction
		}
		// An endpoint that awaits its trial request goes first once it has responded, for instance to a probe.
		if workPerFraction *= indicator(!e.awaitsTrial || e.lastResponseAt == 0); s.next == nil ||
			workPerFraction < nextWorkPerFraction {
			s.next, nextWorkPerFraction = e, workPerFraction
		}
	}
	s.leastWorkPerFraction = minWorkPerFraction
	rate := s.sentWorkRate.rate(now)
	if warmEndpoints == 0 { // no warm endpoint to compare with: use an even share of the demand
		warmEndpoints, rate = usableEndpoints, s.demand.rate(now)*work
	}
	fillRate := min(1, overloadFactorShare*contract.OverloadFactor) * fractionSum * rate / max(1, warmEndpoints)
	capacity := max(fillRate*float64(contract.OverloadWindow)/float64(second)/2, work*workChargeFactor)
	s.tokens += fillRate * float64(now-s.tokensAt) / float64(second)
	if s.next != nil && s.tokens > capacity {
		// If s.next has not used the tokens, it is busy or far away, and would block all others. The tokens
		// above the capacity are charged to it, so that another endpoint becomes the next.
		s.next.warmingWork += s.tokens - capacity
	}
	s.tokens, s.tokensAt = min(capacity, s.tokens), now
}
