package balancer

import (
	"math"
	"slices"
)

// ewma is an exponentially weighted moving average. Its first sample counts in full, unless newEWMA made it.
type ewma struct {
	value       float64
	initialized bool
}

// newEWMA returns an average that starts from an initial value.
func newEWMA(initial float64) ewma { return ewma{value: initial, initialized: true} }

// add adds a sample of this weight, 0 to 1.
func (a *ewma) add(x, weight float64) {
	if !a.initialized {
		a.value, a.initialized = x, true
		return
	}
	a.value += (x - a.value) * weight
}

// valueOr returns the average, valueOr the fallback if there is no sample.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.initialized {
		return a.value
	}
	return fallback
}

// cumulativeMean is a moving average that begins as the arithmetic mean of its samples. Where samples are few, an
// ewma would be dominated by its first one for many seconds.
type cumulativeMean struct {
	value   float64
	samples int
}

// maxMeanSamples bounds the count of samples. Every weight in use exceeds 1/maxMeanSamples by far.
const maxMeanSamples = 1 << 20

// add adds a sample of this weight, or of 1/n for the nth sample if that is more.
func (m *cumulativeMean) add(x, weight float64) {
	m.samples = min(m.samples+1, maxMeanSamples)
	m.value += (x - m.value) * max(weight, 1/float64(m.samples))
}

// zoneLatency is the latency in microseconds of a probe to an idle endpoint of a zone: the median of the latest few,
// since a single quick answer, as before any traffic, is not typical.
type zoneLatency struct {
	samples   [9]float64 // a ring of the latest
	count     int        // of all samples
	median    float64
	deviation ewma // mean distance of samples from the median
}

const (
	initialDeviationShare = 0.3 // of the median: the deviation that the first sample starts from
	deviationSampleWeight = 0.1 // of the latest sample
	maxDeviations         = 4.0 // mean deviations from the median up to which a latency shows no queueing
)

// add adds the latency of a probe that did not queue.
func (z *zoneLatency) add(x float64) {
	z.samples[z.count%len(z.samples)] = x
	z.count++
	sorted := z.samples
	n := min(z.count, len(sorted))
	slices.Sort(sorted[:n])
	z.median = sorted[n/2]
	if !z.deviation.initialized {
		z.deviation = newEWMA(initialDeviationShare * z.median)
	}
	z.deviation.add(math.Abs(x-z.median), deviationSampleWeight)
}

// queueingDelay is the part of a probe's latency beyond the median, if the deviation does not explain it. It is 0 until
// the ring of samples is full.
func (z *zoneLatency) queueingDelay(latency float64) float64 {
	if waited := latency - z.median; z.count >= len(z.samples) && waited > maxDeviations*z.deviation.value {
		return waited
	}
	return 0
}

// decayingRate is a rate per second. It sums events, and the sum decays exponentially.
type decayingRate struct {
	sum       float64 // at updatedAt
	updatedAt Micros
}

// rateTimeConstant is that of the decay: the time in which a sum falls to 1/e.
const rateTimeConstant = 2 * second

// add adds events, or an amount such as work.
func (m *decayingRate) add(now Micros, x float64) { m.sum, m.updatedAt = m.sumAt(now)+x, now }

// sumAt is the sum as sumAt by now.
func (m *decayingRate) sumAt(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateTimeConstant))
}

// rate is the rate per second: a steady rate makes a sum of rateTimeConstant times itself.
func (m *decayingRate) rate(now Micros) float64 {
	return m.sumAt(now) * float64(second) / float64(rateTimeConstant)
}

// decayingRequestCounts counts requests, and those accepted of them. Both counts decay exponentially.
type decayingRequestCounts struct {
	requests, accepts float64 // at updatedAt
	updatedAt         Micros
	timeConstant      Micros // in which the counts fall to 1/e
	lastTrialAt       Micros // latest request let through in spite of the draw
}

// decay brings the counts up to this instant.
func (t *decayingRequestCounts) decay(now Micros) {
	factor := math.Exp(-float64(now-t.updatedAt) / float64(t.timeConstant))
	t.requests, t.accepts, t.updatedAt = t.requests*factor, t.accepts*factor, now
}

// add counts a request.
func (t *decayingRequestCounts) add(now Micros, accepted bool) {
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

// isPositiveFinite reports whether a stored figure may be used. It is false for NaN.
func isPositiveFinite(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
