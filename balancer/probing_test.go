package balancer

import (
	"math"
	"testing"
)

// An old load report must not make the balancer prefer an endpoint, whose load may have changed since.
func TestPoolDropsOldReports(t *testing.T) {
	s := testSettings()
	b, r := startBalancer(t, s, readyEndpoints(2))
	b.HandleProbe(1000, 1, OK, 500, []float32{0})
	now := 1000 + b.probes.maxReportAge(1000, second) + 30*second
	used := map[uint32]bool{}
	for id := range uint64(20) {
		b.HandleRequest(now, testRequest(id, 0, now))
		target := r.sends[len(r.sends)-1].endpoint
		b.HandleOutcome(now, Outcome{ID: id, Endpoint: target, Status: OK, Latency: 1000, Answered: true})
		used[target] = true
	}
	if len(used) != 2 {
		t.Errorf("%d endpoints used, want 2: reports beyond their age limit must not count", len(used))
	}
}

// A balancer that rejects all requests must still detect that endpoints have recovered, so it must keep probing.
func TestProbesContinueWhileAllRequestsAreRejected(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = maxRoundProbeCost // at this price, one probe per request is permitted
	b, _ := startBalancer(t, s, readyEndpoints(4))
	for i := range 1000 {
		b.demand.requestRate.add(5000*Micros(i), 1)
	}
	now := 5 * second
	b.demand.rejectedShare.value = 0
	full := b.probes.rate(now)
	for _, c := range []struct{ rejected, want float64 }{
		{0.5, 0.5}, {0.9, minProbedRequestShare}, {1, minProbedRequestShare},
	} {
		b.demand.rejectedShare.value = c.rejected
		if got := b.probes.rate(now) / full; math.Abs(got-c.want) > 0.001 {
			t.Errorf("rejected share %v: probe rate %v of the rate without rejections, want %v", c.rejected, got, c.want)
		}
	}
}
