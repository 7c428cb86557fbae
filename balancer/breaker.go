package balancer

// This file holds the circuit breakers of single endpoints, the error throttle over all endpoints, and
// outlier ejection.

// The constants are those of go-zero's adaptive breaker (its pull request 5366). That breaker follows
// client-side throttling in the SRE book (chapter "Handling Overload"): the accept factor K is the number of
// requests allowed for each accepted one. Here, K falls as more buckets in a row fail.
const (
	breakerWindow     = 10 * second // time span of the outcomes that a breaker judges by
	breakerBuckets    = 40          // number of buckets in the window
	maxAcceptFactor   = 1.5         // accept factor K if the latest bucket with outcomes has a success
	minAcceptFactor   = 1.1         // accept factor K if every bucket of the window has only failures
	protectedRequests = 5           // a window with at most this many requests drops none: too few to judge by

	// forcedTrialInterval is the time after which a breaker or the throttle lets a request through as a trial,
	// without a random draw, so that a recovery is noticed. It is also the shortest time between two trials of
	// a class; see admission.tooLate.
	forcedTrialInterval = second

	latencyThresholdFactor    = 3    // multiple of the base latency above which requests are dropped
	latencyCeilingShare       = 0.95 // share of the client's timeout at which the drop probability is largest
	maxLatencyDropProbability = 0.3  // upper bound of the drop probability by latency

	// Divisors of the latency averages: with divisor n, the latest latency x changes an average a to
	// (x + (n-1) a) / n. The weight of x is therefore 1/n.
	baseLatencyFallDivisor = 4   // divisor for the base latency if x is below it
	baseLatencyRiseDivisor = 100 // divisor if x is above it: the base latency must not follow an overload
	currentLatencyDivisor  = 4   // divisor for the current latency
)

// circuitBreaker holds the recent outcomes of one endpoint and two averages of its latency.
type circuitBreaker struct {
	buckets        [breakerBuckets]breakerBucket // ring of the buckets in the window
	newestBucket   int64                         // number of the newest bucket, counted from instant 0
	requests       int                           // requests in the window
	accepts        int                           // accepted requests in the window
	baseLatency    float64                       // microseconds; falls fast, rises slowly; 0 without samples
	currentLatency float64                       // microseconds; mean of the latest few; 0 without samples
	lastTrialAt    Micros                        // instant of the latest trial; see forcedTrialInterval
}

// breakerBucket counts the requests in one part of the window, breakerWindow/breakerBuckets long. Requests
// that the breaker dropped are neither accepts nor failures.
type breakerBucket struct{ requests, accepts, failures int }

// advance removes the buckets that are older than the window at the instant now, and returns the bucket of
// now.
func (k *circuitBreaker) advance(now Micros) *breakerBucket {
	n := now / (breakerWindow / breakerBuckets)
	if n-k.newestBucket >= breakerBuckets {
		k.buckets, k.requests, k.accepts, k.newestBucket = [breakerBuckets]breakerBucket{}, 0, 0, n
	}
	for k.newestBucket < n {
		k.newestBucket++
		expired := &k.buckets[k.newestBucket%breakerBuckets]
		k.requests -= expired.requests
		k.accepts -= expired.accepts
		*expired = breakerBucket{}
	}
	return &k.buckets[n%breakerBuckets]
}

// breakerResult is the result of a request, as a breaker counts it.
type breakerResult uint8

const (
	requestAccepted breakerResult = iota // served by the endpoint
	requestFailed                        // not served: error, rejection, timeout or lost connection
	requestDropped                       // dropped by the breaker
)

// count counts a request that had this result in the bucket of now.
func (k *circuitBreaker) count(now Micros, result breakerResult) {
	bucket := k.advance(now)
	bucket.requests++
	k.requests++
	switch result {
	case requestAccepted:
		bucket.accepts++
		k.accepts++
	case requestFailed:
		bucket.failures++
	case requestDropped:
	}
}

// addLatency adds the latency x in microseconds to both averages.
func (k *circuitBreaker) addLatency(x float64) {
	if k.baseLatency <= 0 {
		k.baseLatency, k.currentLatency = x, x
		return
	}
	divisor := float64(baseLatencyRiseDivisor)
	if x < k.baseLatency {
		divisor = baseLatencyFallDivisor
	}
	k.baseLatency = (x + (divisor-1)*k.baseLatency) / divisor
	k.currentLatency = (x + (currentLatencyDivisor-1)*k.currentLatency) / currentLatencyDivisor
}

// errorDropProbability returns the probability to drop a request because of failures in the window. It is
// dropProbability with K = max(b, a - (a-b) n / breakerBuckets), where a is maxAcceptFactor, b is
// minAcceptFactor and n is the number of buckets with failures since the latest bucket with a success.
func (k *circuitBreaker) errorDropProbability(now Micros) float64 {
	k.advance(now)
	failingBuckets := 0 // number of buckets with failures since the latest one with a success
	for i := k.newestBucket + 1; i <= k.newestBucket+breakerBuckets; i++ {
		if bucket := &k.buckets[i%breakerBuckets]; bucket.accepts > 0 {
			failingBuckets = 0
		} else if bucket.failures > 0 {
			failingBuckets++
		}
	}
	acceptFactor := max(minAcceptFactor,
		maxAcceptFactor-(maxAcceptFactor-minAcceptFactor)*float64(failingBuckets)/breakerBuckets)
	return dropProbability(float64(k.requests), acceptFactor*float64(k.accepts))
}

// latencyDropProbability returns the probability to drop a request because of the current latency C:
//
//	maxLatencyDropProbability * (C - threshold) / (ceiling - threshold)
//
// limited to 0..maxLatencyDropProbability, where threshold = latencyThresholdFactor * base latency and
// ceiling = latencyCeilingShare * timeout. It is 0 without samples, and if ceiling <= threshold. timeout is
// the client's timeout in microseconds.
func (k *circuitBreaker) latencyDropProbability(timeout float64) float64 {
	threshold := latencyThresholdFactor * k.baseLatency
	ceiling := latencyCeilingShare * timeout
	if k.baseLatency <= 0 || ceiling <= threshold {
		return 0
	}
	excessShare := (k.currentLatency - threshold) / (ceiling - threshold)
	return min(maxLatencyDropProbability, max(0, excessShare*maxLatencyDropProbability))
}

// dropProbability returns max(0, (requests - protectedRequests - allowed) / (requests + 1)), where allowed is
// the accept factor K times the number of accepted requests. Client-side throttling in the SRE book has no
// protected requests.
func dropProbability(requests, allowed float64) float64 {
	return max(0, (requests-protectedRequests-allowed)/(requests+1))
}

// breakers decides by random draws which requests are dropped by the circuit breakers of single endpoints and
// by the error throttle over all endpoints.
type breakers struct {
	*environment
	recentAttempts decayingRequestCounts // attempts that ended, and requests throttled
}

// configure sets the time constant of the throttle to the longest client timeout of a class: every attempt
// ends within that time.
func (k *breakers) configure(s *Settings) {
	k.recentAttempts.timeConstant = 0
	for i := range s.Classes {
		k.recentAttempts.timeConstant = max(k.recentAttempts.timeConstant, s.Classes[i].ClientTimeout)
	}
}

// drawDrop draws whether to drop a request, with this probability. One request in each forcedTrialInterval
// passes without a draw, and its instant is stored in lastTrialAt.
func (k *breakers) drawDrop(now Micros, probability float64, lastTrialAt *Micros) bool {
	if probability > 0 && now-*lastTrialAt > forcedTrialInterval {
		*lastTrialAt = now
		return false
	}
	return k.random.uniform() < probability
}

// throttle draws whether the error throttle over all endpoints rejects a request. The throttle is needed
// where each endpoint gets few requests: the window of a single breaker then holds at most protectedRequests,
// and the breaker drops none. An answer later than the latency objective is not counted as accepted, because
// it shows overload.
func (k *breakers) throttle(now Micros) bool {
	k.recentAttempts.decay(now)
	probability := dropProbability(k.recentAttempts.requests, maxAcceptFactor*k.recentAttempts.accepts)
	throttled := k.drawDrop(now, probability, &k.recentAttempts.lastTrialAt)
	k.recentAttempts.requests += indicator(throttled)
	return throttled
}

// allow draws whether e's circuit breaker lets r through. A request that it drops is counted in its window.
func (k *breakers) allow(now Micros, r *request, e *endpoint) bool {
	timeout := float64(r.class.ClientTimeout)
	probability := max(e.breaker.errorDropProbability(now), e.breaker.latencyDropProbability(timeout))
	if k.drawDrop(now, probability, &e.breaker.lastTrialAt) {
		e.breaker.count(now, requestDropped)
		return false
	}
	return true
}

// recordResult counts the end of an attempt for the throttle. inTime tells whether the attempt was answered
// within the latency objective of its class.
func (k *breakers) recordResult(now Micros, status Status, inTime bool) {
	if status != Cancelled && status != NotSent {
		k.recentAttempts.add(now, inTime)
	}
}

// recordOutcome counts the outcome of the attempt a in the breaker, the failure share and the rejected share
// of its endpoint.
func (k *breakers) recordOutcome(now Micros, a *attempt, status Status, latency Micros) {
	e := a.endpoint
	switch status {
	case OK:
		e.breaker.count(now, requestAccepted)
		e.breaker.addLatency(float64(latency))
		e.recordOutcome(now, false, failureWeight)
	case Cancelled, NotSent:
	default:
		e.breaker.count(now, requestFailed)
		e.rejectedShare.add(indicator(status == Rejected), rejectedFailureWeight)
		// A timeout does not show a fault of the endpoint if the deadline left too little time for an answer.
		shortDeadline := status == Timeout && float64(latency) < overdueFactor*a.predictedLatency
		if !a.declaredLost && !shortDeadline {
			k.recordFailure(now, e, status)
		}
	}
}

// recordFailure counts a failure in e's failure share, and logs if e is ejected by it.
func (k *breakers) recordFailure(now Micros, e *endpoint, status Status) {
	weight := failureWeight
	if status == Reset || status == ConnectFailed || status == Timeout {
		weight = connectionFailureWeight
	}
	wasEjected := e.isEjected(now)
	e.recordOutcome(now, true, weight)
	if !wasEjected && e.isEjected(now) {
		k.log(now, "eject", "endpoint %d ejected, %.0f%% of its recent attempts failed", e.ID, 100*e.failureShare)
	}
}
