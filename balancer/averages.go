package balancer

import (
	"math"
	"slices"
)

// ewma is an exponentially weighted moving average. The first sample becomes its value, unless newEWMA gave
// it an initial value.
type ewma struct {
	value       float64
	initialized bool // value holds a sample or the initial value
}

// newEWMA returns an average that starts from an initial value, so that its first sample is weighted, too.
func newEWMA(initial float64) ewma { return ewma{value: initial, initialized: true} }

// add adds the sample x with the given weight w, 0 to 1: value becomes value + w (x - value).
func (a *ewma) add(x, weight float64) {
	if !a.initialized {
		a.value, a.initialized = x, true
		return
	}
	a.value += (x - a.value) * weight
}

// valueOr returns the average, or the fallback if there is neither a sample nor an initial value.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.initialized {
		return a.value
	}
	return fallback
}

// cumulativeMean is a moving average that begins as the arithmetic mean of its samples. Where samples are
// rare, the first sample would dominate an ewma for many seconds.
type cumulativeMean struct {
	value   float64
	samples int // number of samples, at most maxMeanSamples
}

// maxMeanSamples bounds the count of samples. The bound has no effect on the mean: every sample weight in use
// exceeds 1/maxMeanSamples by far.
const maxMeanSamples = 1 << 20

// add adds the sample x, the n-th, with weight w' = max(w, 1/n), where w is the given weight: value becomes
// value + w' (x - value).
func (m *cumulativeMean) add(x, weight float64) {
	m.samples = min(m.samples+1, maxMeanSamples)
	m.value += (x - m.value) * max(weight, 1/float64(m.samples))
}

// zoneLatency is the latency in microseconds of a probe of an idle endpoint in a zone. It is the median of
// the latest few samples: a single quick answer, such as one before there is any traffic, is not typical.
type zoneLatency struct {
	samples   [9]float64 // ring of the latest samples
	count     int        // number of samples ever added
	median    float64    // 0 without samples
	deviation ewma       // mean distance of samples from the median
}

const (
	initialDeviationShare = 0.3 // initial deviation at the first sample, as a share of the median
	deviationSampleWeight = 0.1 // weight of the latest sample in the mean deviation
	maxDeviations         = 4.0 // a latency at most this many mean deviations above the median shows no queueing
)

// add adds the latency x of a probe that did not queue.
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

// queueingDelay returns latency - median if that exceeds maxDeviations mean deviations, and otherwise 0. It
// is 0 until the ring of samples is full.
func (z *zoneLatency) queueingDelay(latency float64) float64 {
	if waited := latency - z.median; z.count >= len(z.samples) && waited > maxDeviations*z.deviation.value {
		return waited
	}
	return 0
}

// decayingRate measures a rate of events per second by a sum of events that decays exponentially.
type decayingRate struct {
	sum       float64 // the sum as of updatedAt
	updatedAt Micros  // instant of the latest event
}

// rateTimeConstant is the time in which the sum of a decayingRate decays to 1/e.
const rateTimeConstant = 2 * second

// add adds x to the sum: a number of events, or an amount such as work.
func (m *decayingRate) add(now Micros, x float64) { m.sum, m.updatedAt = m.sumAt(now)+x, now }

// sumAt returns the sum decayed to the instant now.
func (m *decayingRate) sumAt(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateTimeConstant))
}

// rate returns the rate per second. At a steady rate r the sum is r T, where T is rateTimeConstant; the rate
// is therefore sum / T.
func (m *decayingRate) rate(now Micros) float64 {
	return m.sumAt(now) * float64(second) / float64(rateTimeConstant)
}

// decayingRequestCounts counts requests and how many of them were accepted. Both counts decay exponentially.
type decayingRequestCounts struct {
	requests, accepts float64 // counts as of updatedAt
	updatedAt         Micros
	timeConstant      Micros // time in which the counts decay to 1/e
	lastTrialAt       Micros // instant at which a request was last let through as a trial, without a draw
}

// decay decays the counts to the instant now.
func (t *decayingRequestCounts) decay(now Micros) {
	factor := math.Exp(-float64(now-t.updatedAt) / float64(t.timeConstant))
	t.requests, t.accepts, t.updatedAt = t.requests*factor, t.accepts*factor, now
}

// add counts a request at the instant now.
func (t *decayingRequestCounts) add(now Micros, accepted bool) {
	t.decay(now)
	t.requests++
	t.accepts += indicator(accepted)
}

// indicator returns 1 if the condition is true and 0 otherwise.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// isPositiveFinite reports whether v, such as a stored figure, is usable: positive and finite. It is false
// for NaN.
func isPositiveFinite(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
