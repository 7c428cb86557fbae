package balancer

// The circuit breaker of each endpoint.

// go-zero's constants.
const (
	window      = 10 * second
	buckets     = 40
	maxK        = 1.5
	minK        = 1.1
	protection  = 5
	forcedPass  = second
	activation  = 3
	ceilingPart = 0.95
	fallDivisor = 4
	riseDivisor = 100
	currDivisor = 4
	latencyCap  = 0.3
)

func (k *breaker) errorChance(now Micros) float64 {
	k.slide(now)
	failing := 0
	for i := k.head + 1; i <= k.head+buckets; i++ {
		if at := &k.ring[i%buckets]; at.accepts > 0 {
			failing = 0
		} else if at.failures > 0 {
			failing++
		}
	}
	weight := max(minK, maxK-(maxK-minK)*float64(failing)/buckets)
	return dropChance(float64(k.requests), weight*float64(k.accepts))
}

func dropChance(requests, allowed float64) float64 {
	return max(0, (requests-protection-allowed)/(requests+1))
}

func (k *breaker) latencyChance(timeout float64) float64 {
	threshold := activation * k.base
	ceiling := ceilingPart * timeout
	if k.base <= 0 || ceiling <= threshold {
		return 0
	}
	return min(latencyCap, max(0, (k.current-threshold)/(ceiling-threshold)*latencyCap))
}

// drops draws a lot with this chance; one request passes now and then.
func (b *Balancer) drops(now Micros, chance float64, passed *Micros) bool {
	if chance > 0 && now-*passed > forcedPass {
		*passed = now
		return false
	}
	return b.rng.float() < chance
}

// throttles draws the lot of the error throttle over the whole pool: where each endpoint gets few requests,
// no breaker of one gets past its protection. An answer beyond its aim is not accepted: it shows overload.
func (b *Balancer) throttles(now Micros) bool {
	b.recent.fade(now)
	throttled := b.drops(now, dropChance(b.recent.requests, maxK*b.recent.accepts), &b.recent.passed)
	b.recent.requests += share(throttled)
	return throttled
}

// allows draws the breaker's lot for a request; a refusal counts as a request.
func (b *Balancer) allows(now Micros, r *request, e *endpoint) bool {
	chance := max(e.br.errorChance(now), e.br.latencyChance(float64(r.class.ClientTimeout)))
	if b.drops(now, chance, &e.br.passed) {
		e.br.count(now, 0, 0)
		return false
	}
	return true
}
