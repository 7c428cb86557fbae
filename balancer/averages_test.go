package balancer

import "testing"

// An average that started from 0, rather than from its first sample, would be too low for many samples.
func TestEWMATakesItsFirstSampleInFull(t *testing.T) {
	var a ewma
	if got := a.valueOr(7); got != 7 {
		t.Errorf("average %v without samples, want the fallback 7", got)
	}
	a.add(10, 0.1)
	a.add(20, 0.1)
	if !almostEqual(a.value, 11) || a.valueOr(7) != a.value {
		t.Errorf("average %v after the samples 10 and 20 (weight 0.1), want 11", a.value)
	}
}

// The first sample must not dominate the mean, so the first samples have equal weights. Later samples have the given
// weight, so that the mean follows changes.
func TestCumulativeMeanBeginsAsPlainMean(t *testing.T) {
	var m cumulativeMean
	for _, x := range []float64{9, 1, 2} {
		m.add(x, 0.1)
	}
	if !almostEqual(m.value, 4) {
		t.Errorf("mean %v of the samples 9, 1 and 2, want 4", m.value)
	}
	m.samples = 100
	m.add(14, 0.1)
	if !almostEqual(m.value, 5) {
		t.Errorf("mean %v after a sample of 14 with weight 0.1 at a mean of 4, want 5", m.value)
	}
}

// A measured rate must match a steady rate of events, and must not remain high after the last event.
func TestDecayingRate(t *testing.T) {
	var m decayingRate
	for now := Micros(0); now < 20*second; now += second / 100 {
		m.add(now, 1)
	}
	if got := m.rate(20 * second); got < 99 || got > 101 {
		t.Errorf("rate %v at 100 events per second, want 99 to 101", got)
	}
	if got := m.rate(40 * second); got > 0.01 {
		t.Errorf("rate %v twenty seconds after the last event, want at most 0.01", got)
	}
}

// A single slow probe must not change the latency of a zone. Neither a latency within the usual deviation nor any
// latency before the ring of samples is full may be taken for queueing.
func TestZoneLatencyIsAMedian(t *testing.T) {
	var z zoneLatency
	for i, x := range []float64{100, 110, 90, 5000, 100, 95, 105, 100, 100} {
		if got := z.queueingDelay(1_000_000); got != 0 {
			t.Errorf("queueing delay %v after %d samples, want 0 until there are 9", got, i)
		}
		z.add(x)
	}
	if z.median != 100 {
		t.Errorf("median %v, want 100 despite an outlier of 5000", z.median)
	}
	if got := z.queueingDelay(101); got != 0 {
		t.Errorf("queueing delay %v of a latency within the deviation, want 0", got)
	}
	if got := z.queueingDelay(100_100); got != 100_000 {
		t.Errorf("queueing delay %v of a latency of 100100, want 100000, the excess over the median", got)
	}
}
