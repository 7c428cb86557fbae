package balancer

import (
	"math"
	"testing"
)

func TestPoolDropsOldReports(t *testing.T) {
	s := testSettings()
	b, r := start(t, s, ready(2))
	b.HandleProbe(1000, 1, OK, 500, []float32{0})
	now := 1000 + b.probes.maxReportAge(1000, second) + 30*second
	seen := map[uint32]bool{}
	for id := range uint64(20) {
		b.HandleRequest(now, testRequest(id, 0, now))
		b.HandleOutcome(now, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK, Latency: 1000, Answered: true})
		seen[r.sends[len(r.sends)-1].endpoint] = true
	}
	if len(seen) != 2 {
		t.Error("an answer beyond its age still decides: two random draws expected")
	}
}

// A balancer that rejects everything must still learn when it may stop.
func TestProbesContinueWhileAllRequestsAreRejected(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = maxProbeSpend // one probe a request
	b, _ := start(t, s, ready(4))
	for i := range 1000 {
		b.demand.requestRate.add(5000*Micros(i), 1)
	}
	now := 5 * second
	b.demand.rejectedShare.value = 0
	all := b.probes.rate(now)
	for _, c := range []struct{ refused, want float64 }{{0.5, 0.5}, {0.9, minFirstAttemptShare}, {1, minFirstAttemptShare}} {
		b.demand.rejectedShare.value = c.refused
		if got := b.probes.rate(now) / all; math.Abs(got-c.want) > 0.001 {
			t.Errorf("rejected %v: %v of the rate, want %v", c.refused, got, c.want)
		}
	}
}
