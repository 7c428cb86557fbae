package balancer

import "testing"

func TestEWMATakesItsFirstSampleInFull(t *testing.T) {
	var a ewma
	if got := a.valueOr(7); got != 7 {
		t.Errorf("without samples %v, want the fallback", got)
	}
	a.add(10, 0.1)
	a.add(20, 0.1)
	if !almostEqual(a.value, 11) || a.valueOr(7) != a.value {
		t.Errorf("average %v, want 11", a.value)
	}
}

func TestCumulativeMeanBeginsAsPlainMean(t *testing.T) {
	var m cumulativeMean
	for _, x := range []float64{9, 1, 2} {
		m.add(x, 0.1)
	}
	if !almostEqual(m.value, 4) {
		t.Errorf("mean of three samples %v, want 4", m.value)
	}
	m.samples = 100
	m.add(14, 0.1)
	if !almostEqual(m.value, 5) {
		t.Errorf("%v after many samples, want 5 by the weight", m.value)
	}
}

func TestDecayingRate(t *testing.T) {
	var m decayingRate
	for now := Micros(0); now < 20*second; now += second / 100 {
		m.add(now, 1)
	}
	if got := m.rate(20 * second); got < 99 || got > 101 {
		t.Errorf("rate %v of 100 events a second", got)
	}
	if got := m.rate(40 * second); got > 0.01 {
		t.Errorf("rate %v twenty seconds after the last event", got)
	}
}

func TestZoneLatencyIsAMedian(t *testing.T) {
	var z zoneLatency
	for i, x := range []float64{100, 110, 90, 5000, 100, 95, 105, 100, 100} {
		if got := z.queueingDelay(1_000_000); got != 0 {
			t.Errorf("queueing delay %v after %d samples, want none until the latency is known", got, i)
		}
		z.add(x)
	}
	if z.median != 100 {
		t.Errorf("median %v, want 100 in spite of an outlier", z.median)
	}
	if got := z.queueingDelay(101); got != 0 {
		t.Errorf("queueing delay %v of a latency within the deviation", got)
	}
	if got := z.queueingDelay(100_100); got != 100_000 {
		t.Errorf("queueing delay %v, want what exceeds the median", got)
	}
}
