package balancer

import (
	"math"
	"slices"
)

// ewma is a moving average whose first sample is taken whole.
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

// cumulativeMean is a moving average that begins as the plain mean of its samples, until the weight counts for more: where
// samples are few, the first one taken whole would stand for what all are like for many seconds.
type cumulativeMean struct {
	value   float64
	samples int
}

func (m *cumulativeMean) add(x, weight float64) {
	m.samples = min(m.samples+1, 1<<20)
	m.value += (x - m.value) * max(weight, 1/float64(m.samples))
}

func (a *ewma) or(fallback float64) float64 {
	if a.initialized {
		return a.value
	}
	return fallback
}

// zoneLatency is the time of a probe to a zone and back, where it finds nobody: the median of the latest few, since a
// single quick answer, as before any traffic, says little of those to come.
type zoneLatency struct {
	samples   [9]float64
	count     int
	median    float64
	deviation ewma // how far such probes are from v
}

const (
	initialDeviationShare = 0.3 // of the way, until more is known
	deviationWeight       = 0.1
	maxDeviations         = 4.0 // times the usual sway
)

func (w *zoneLatency) add(x float64) {
	w.samples[w.count%len(w.samples)] = x
	w.count++
	sorted := w.samples
	n := min(w.count, len(sorted))
	slices.Sort(sorted[:n])
	w.median = sorted[n/2]
	if !w.deviation.initialized {
		w.deviation = ewma{value: initialDeviationShare * w.median, initialized: true}
	}
	w.deviation.add(math.Abs(x-w.median), deviationWeight)
}

// queueingDelay is what a probe took that the way does not explain; nothing until enough is known of that.
func (w *zoneLatency) queueingDelay(latency float64) float64 {
	if waited := latency - w.median; w.count >= len(w.samples) && waited > maxDeviations*w.deviation.value {
		return waited
	}
	return 0
}

// indicator counts a yes as a whole.
func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// decayingRate is a rate a second, averaged over about two seconds.
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

// decayingAcceptance counts requests, and those accepted of them; both fade.
type decayingAcceptance struct {
	requests, accepts       float64
	updatedAt, timeConstant Micros
	lastTrialAt             Micros // last forced pass
}

func (t *decayingAcceptance) decay(now Micros) {
	left := math.Exp(-float64(now-t.updatedAt) / float64(t.timeConstant))
	t.requests, t.accepts, t.updatedAt = t.requests*left, t.accepts*left, now
}

func (t *decayingAcceptance) add(now Micros, accepted bool) {
	t.decay(now)
	t.requests++
	t.accepts += indicator(accepted)
}

// isPositiveFinite says whether a figure can be gone on from.
func isPositiveFinite(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
