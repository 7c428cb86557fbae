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

// circuitBreaker holds an endpoint's window of outcomes and its two latency averages.
type circuitBreaker struct {
	buckets                     [breakerBuckets]breakerBucket
	newest                      int64 // number of the newest bucket
	requests                    int   // over the window
	accepts                     int
	baseLatency, currentLatency float64
	lastTrialAt                 Micros // last forced pass
}

type breakerBucket struct{ requests, accepts, failures int }

func (k *circuitBreaker) advance(now Micros) *breakerBucket {
	n := now / (breakerWindow / breakerBuckets)
	if n-k.newest >= breakerBuckets {
		k.buckets, k.requests, k.accepts, k.newest = [breakerBuckets]breakerBucket{}, 0, 0, n
	}
	for k.newest < n {
		k.newest++
		old := &k.buckets[k.newest%breakerBuckets]
		k.requests -= old.requests
		k.accepts -= old.accepts
		*old = breakerBucket{}
	}
	return &k.buckets[n%breakerBuckets]
}

// count adds to the newest bucket. Whatever is asked counts as a request.
func (k *circuitBreaker) count(now Micros, accepts, failures int) {
	at := k.advance(now)
	at.requests++
	at.accepts += accepts
	at.failures += failures
	k.requests++
	k.accepts += accepts
}

// addLatency adds one to both averages.
func (k *circuitBreaker) addLatency(x float64) {
	if k.baseLatency <= 0 {
		k.baseLatency, k.currentLatency = x, x
		return
	}
	divisor := float64(baseRiseDivisor)
	if x < k.baseLatency {
		divisor = baseFallDivisor
	}
	k.baseLatency = (x + (divisor-1)*k.baseLatency) / divisor
	k.currentLatency = (x + (currentDivisor-1)*k.currentLatency) / currentDivisor
}
