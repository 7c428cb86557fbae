package balancer

// Circuit breakers of single endpoints, the error throttle over all of them, and outlier ejection.

// The constants of go-zero's adaptive breaker (its pull request 5366). It follows client-side throttling in
// the SRE book (chapter "Handling Overload"), with a K that falls as more buckets in a row fail.
const (
	breakerWindow     = 10 * second // of the outcomes that a breaker judges by
	breakerBuckets    = 40          // in the window
	maxAcceptFactor   = 1.5         // requests allowed for each accepted one: K of the SRE book
	minAcceptFactor   = 1.1         // K if every bucket of the window has failures alone
	protectedRequests = 5           // requests of a window that no failure drops: too few to judge by

	// forcedTrialInterval is the time after which a request is let through in spite of the draw, so that a
	// recovery is noticed.
	forcedTrialInterval = second

	latencyThresholdFactor    = 3    // multiple of the base latency from which requests are dropped
	latencyCeilingShare       = 0.95 // of the client's timeout, at which the drop probability is largest
	maxLatencyDropProbability = 0.3

	// A divisor of n gives the latest latency a weight of 1/n in its average.
	baseLatencyFallDivisor = 4   // if it is below the average
	baseLatencyRiseDivisor = 100 // if it is above: the base latency is not to follow an overload
	currentLatencyDivisor  = 4
)

// circuitBreaker holds an endpoint's window of outcomes and its two latency averages.
type circuitBreaker struct {
	buckets        [breakerBuckets]breakerBucket
	newestBucket   int64   // number of the newest bucket, counted from instant 0
	requests       int     // over the window
	accepts        int     // over the window
	baseLatency    float64 // microseconds; falls fast and rises slowly
	currentLatency float64 // microseconds; an average over the latest few
	lastTrialAt    Micros  // latest request let through in spite of the draw
}

// breakerBucket counts the requests of one bucket of the window.
type breakerBucket struct{ requests, accepts, failures int }

// advance returns the bucket of this instant, after dropping those that are older than the window.
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

// breakerResult is what became of a request.
type breakerResult uint8

const (
	requestAccepted breakerResult = iota
	requestFailed
	requestDropped // by the breaker
)

// count adds a request to the newest bucket.
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

// addLatency adds a latency in microseconds to both averages.
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

// errorDropProbability grows with the failures in the window.
func (k *circuitBreaker) errorDropProbability(now Micros) float64 {
	k.advance(now)
	failingBuckets := 0 // buckets with failures alone, since the latest bucket with a success
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

// latencyDropProbability grows with the current latency between a multiple of the base and the client's
// timeout, which is in microseconds.
func (k *circuitBreaker) latencyDropProbability(timeout float64) float64 {
	threshold := latencyThresholdFactor * k.baseLatency
	ceiling := latencyCeilingShare * timeout
	if k.baseLatency <= 0 || ceiling <= threshold {
		return 0
	}
	excessShare := (k.currentLatency - threshold) / (ceiling - threshold)
	return min(maxLatencyDropProbability, max(0, excessShare*maxLatencyDropProbability))
}

// dropProbability is that of client-side throttling in the SRE book, where allowed is K times the accepted
// requests. Unlike there, some requests are protected.
func dropProbability(requests, allowed float64) float64 {
	return max(0, (requests-protectedRequests-allowed)/(requests+1))
}

// breakers draws for the circuit breakers of endpoints and for the error throttle over all of them.
type breakers struct {
	*environment
	recentAttempts decayingRequestCounts // attempts that ended, and those throttled
}

// configure sets the time constant of the throttle to the longest client timeout: within that, every attempt
// has its outcome.
func (k *breakers) configure(s *Settings) {
	k.recentAttempts.timeConstant = 0
	for i := range s.Classes {
		k.recentAttempts.timeConstant = max(k.recentAttempts.timeConstant, s.Classes[i].ClientTimeout)
	}
}

// drawDrop draws whether to drop a request with this probability. One request in each forcedTrialInterval
// passes.
func (k *breakers) drawDrop(now Micros, probability float64, lastTrialAt *Micros) bool {
	if probability > 0 && now-*lastTrialAt > forcedTrialInterval {
		*lastTrialAt = now
		return false
	}
	return k.random.uniform() < probability
}

// throttle draws for the error throttle over all endpoints: where each endpoint gets few requests, no breaker
// of one gets past its protected requests. An answer later than its objective is not accepted: it shows
// overload.
func (k *breakers) throttle(now Micros) bool {
	k.recentAttempts.decay(now)
	probability := dropProbability(k.recentAttempts.requests, maxAcceptFactor*k.recentAttempts.accepts)
	throttled := k.drawDrop(now, probability, &k.recentAttempts.lastTrialAt)
	k.recentAttempts.requests += indicator(throttled)
	return throttled
}

// allow draws for e's circuit breaker; a request that it drops counts as one.
func (k *breakers) allow(now Micros, r *request, e *endpoint) bool {
	timeout := float64(r.class.ClientTimeout)
	probability := max(e.breaker.errorDropProbability(now), e.breaker.latencyDropProbability(timeout))
	if k.drawDrop(now, probability, &e.breaker.lastTrialAt) {
		e.breaker.count(now, requestDropped)
		return false
	}
	return true
}

// recordResult counts an attempt for the throttle.
func (k *breakers) recordResult(now Micros, status Status, inTime bool) {
	if status != Cancelled && status != NotSent {
		k.recentAttempts.add(now, inTime)
	}
}

// recordOutcome counts an attempt for its endpoint's breaker and failure share.
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
		// A timeout at a short remaining deadline is no evidence of a fault there.
		shortDeadline := status == Timeout && float64(latency) < overdueFactor*a.predictedLatency
		if !a.declaredLost && !shortDeadline {
			k.recordFailure(now, e, status)
		}
	}
}

// recordFailure counts a failure against e, and logs if that ejects it.
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
