package balancer

// The circuit breaker of each endpoint.

// go-zero's constants.
const (
	breakerWindow             = 10 * second
	breakerBuckets            = 40
	maxK                      = 1.5
	minK                      = 1.1
	protectedRequests         = 5
	forcedTrialInterval       = second
	latencyActivationFactor   = 3
	latencyCeilingShare       = 0.95
	baseFallDivisor           = 4
	baseRiseDivisor           = 100
	currentDivisor            = 4
	maxLatencyDropProbability = 0.3
)

func (k *circuitBreaker) errorDropProbability(now Micros) float64 {
	k.advance(now)
	failing := 0
	for i := k.newest + 1; i <= k.newest+breakerBuckets; i++ {
		if at := &k.buckets[i%breakerBuckets]; at.accepts > 0 {
			failing = 0
		} else if at.failures > 0 {
			failing++
		}
	}
	weight := max(minK, maxK-(maxK-minK)*float64(failing)/breakerBuckets)
	return dropProbability(float64(k.requests), weight*float64(k.accepts))
}

func dropProbability(requests, allowed float64) float64 {
	return max(0, (requests-protectedRequests-allowed)/(requests+1))
}

func (k *circuitBreaker) latencyDropProbability(timeout float64) float64 {
	threshold := latencyActivationFactor * k.baseLatency
	ceiling := latencyCeilingShare * timeout
	if k.baseLatency <= 0 || ceiling <= threshold {
		return 0
	}
	excess := (k.currentLatency - threshold) / (ceiling - threshold)
	return min(maxLatencyDropProbability, max(0, excess*maxLatencyDropProbability))
}

// drops draws a lot with this chance; one request passes now and then.
func (b *Balancer) drops(now Micros, chance float64, passed *Micros) bool {
	if chance > 0 && now-*passed > forcedTrialInterval {
		*passed = now
		return false
	}
	return b.random.uniform() < chance
}

// throttles draws the lot of the error throttle over the whole pool: where each endpoint gets few requests,
// no breaker of one gets past its protection. An answer beyond its aim is not accepted: it shows overload.
func (b *Balancer) throttles(now Micros) bool {
	b.recentAttempts.decay(now)
	chance := dropProbability(b.recentAttempts.requests, maxK*b.recentAttempts.accepts)
	throttled := b.drops(now, chance, &b.recentAttempts.lastTrialAt)
	b.recentAttempts.requests += indicator(throttled)
	return throttled
}

// breakerAllows draws the breaker's lot for a request; a refusal counts as a request.
func (b *Balancer) breakerAllows(now Micros, r *request, e *endpoint) bool {
	timeout := float64(r.class.ClientTimeout)
	chance := max(e.breaker.errorDropProbability(now), e.breaker.latencyDropProbability(timeout))
	if b.drops(now, chance, &e.breaker.lastTrialAt) {
		e.breaker.count(now, 0, 0)
		return false
	}
	return true
}
