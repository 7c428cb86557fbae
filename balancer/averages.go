package balancer

import (
	"math"
	"slices"
)

// ewma is an exponentially weighted moving average. Its first sample counts in full.
type ewma struct {
	value       float64
	initialized bool
}

func (a *ewma) add(x, weight float64) {
	if !a.initialized {
		a.value, a.initialized = x, true
		return
	}
	a.value += (x - a.value) * weight
}

// or returns the average, or the fallback if there is no sample.
func (a *ewma) or(fallback float64) float64 {
	if a.initialized {
		return a.value
	}
	return fallback
}

// cumulativeMean is a moving average that begins as the plain mean of its samples, until the weight counts for more.
// Where samples are few, a first one that counted in full would dominate for many seconds.
type cumulativeMean struct {
	value   float64
	samples int
}

// maxMeanSamples bounds the count of samples; any weight in use counts for more long before.
const maxMeanSamples = 1 << 20

func (m *cumulativeMean) add(x, weight float64) {
	m.samples = min(m.samples+1, maxMeanSamples)
	m.value += (x - m.value) * max(weight, 1/float64(m.samples))
}

// zoneLatency is the latency of a probe to an idle endpoint of a zone: the median of the latest few, since a single
// quick answer, as before any traffic, says little of those to come.
type zoneLatency struct {
	samples   [9]float64
	count     int
	median    float64
	deviation ewma // mean distance of samples from the median
}

const (
	initialDeviationShare = 0.3 // of the median, until more is known
	deviationWeight       = 0.1
	maxDeviations         = 4.0 // distance from the median that is explained by its deviation
)

func (z *zoneLatency) add(x float64) {
	z.samples[z.count%len(z.samples)] = x
	z.count++
	sorted := z.samples
	n := min(z.count, len(sorted))
	slices.Sort(sorted[:n])
	z.median = sorted[n/2]
	if !z.deviation.initialized {
		z.deviation = ewma{value: initialDeviationShare * z.median, initialized: true}
	}
	z.deviation.add(math.Abs(x-z.median), deviationWeight)
}

// queueingDelay is the part of a probe's latency that the network does not explain; 0 until enough is known of that.
func (z *zoneLatency) queueingDelay(latency float64) float64 {
	if waited := latency - z.median; z.count >= len(z.samples) && waited > maxDeviations*z.deviation.value {
		return waited
	}
	return 0
}

// decayingRate is a rate a second, averaged over about rateTimeConstant.
type decayingRate struct {
	sum       float64
	updatedAt Micros
}

const rateTimeConstant = 2 * second

func (m *decayingRate) add(now Micros, x float64) { m.sum, m.updatedAt = m.decayed(now)+x, now }

func (m *decayingRate) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateTimeConstant))
}

func (m *decayingRate) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateTimeConstant)
}

// decayingAcceptance counts requests, and those accepted of them; both counts decay.
type decayingAcceptance struct {
	requests, accepts       float64
	updatedAt, timeConstant Micros
	lastTrialAt             Micros // latest request let through in spite of the draw
}

func (t *decayingAcceptance) decay(now Micros) {
	factor := math.Exp(-float64(now-t.updatedAt) / float64(t.timeConstant))
	t.requests, t.accepts, t.updatedAt = t.requests*factor, t.accepts*factor, now
}

func (t *decayingAcceptance) add(now Micros, accepted bool) {
	t.decay(now)
	t.requests++
	t.accepts += indicator(accepted)
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// isPositiveFinite tells whether a stored figure may be used.
func isPositiveFinite(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
