package balancer

import (
	"strings"
	"testing"
)

// If the work of a class is estimated too high, its requests must not be rejected forever. Some requests that are
// predicted too late are therefore sent as trials, and their latencies correct the estimate. Trials must be a share of
// the requests: one trial per second at each of a thousand balancers with little traffic would keep an overloaded
// fleet overloaded.
func TestTooLateRejectionLetsTrialsThrough(t *testing.T) {
	for _, c := range []struct {
		interval           Micros // time between two requests
		minSends, maxSends int
	}{{second / 100, 3, 6}, {second, 28, 33}} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(1))
		b.demand.classes[0].work.value = float64(100 * second)
		for i := range uint64(300) {
			now := 10*second + Micros(i)*c.interval
			b.HandleRequest(now, testRequest(i, 0, now))
		}
		if n := len(r.sends); n < c.minSends || n > c.maxSends {
			t.Errorf("a request every %d us: %d of 300 sent, want %d to %d", c.interval, n, c.minSends, c.maxSends)
		}
		if len(r.rejected) != 300-len(r.sends) {
			t.Errorf("%d rejected and %d sent, want 300 together", len(r.rejected), len(r.sends))
		}
	}
}

// A balancer with few requests in a large fleet cannot keep its pool of load reports fresh. It must probe endpoints
// when a request arrives, and send the request to the least loaded of the probed endpoints. No request may be lost
// while it waits for probes.
func TestQuietBalancerProbesBeforeItSends(t *testing.T) {
	startWaiting := func() (*Balancer, *recorder) { // returns a balancer at which request 1 waits for probes
		s := testSettings()
		s.Balancers = 1000
		b, r := startBalancer(t, s, readyEndpoints(40))
		if len(r.probes) != 0 {
			t.Errorf("%d probes at the start, want none", len(r.probes))
		}
		b.HandleTimer(second, probeTimerToken)
		r.probes, r.timers = nil, nil
		b.HandleRequest(2*second, testRequest(1, 0, 2*second))
		if len(r.sends) != 0 || len(r.probes) < 2 {
			t.Fatalf("%d sends and %d probes before any answer, want no send and 2 probes at least", len(r.sends), len(r.probes))
		}
		return b, r
	}
	answer := func(b *Balancer, r *recorder, i int, load float32) {
		b.HandleProbe(2*second+1000, r.probes[i], OK, 500, []float32{load})
	}

	b, r := startWaiting()
	for i := range r.probes {
		answer(b, r, i, float32(4-i))
	}
	if last := r.probes[len(r.probes)-1]; len(r.sends) != 1 || r.sends[0].endpoint != last {
		t.Errorf("sends %v, want one to endpoint %d, the least loaded of %v", r.sends, last, r.probes)
	}

	b, r = startWaiting()
	answer(b, r, 0, 0)
	if len(r.sends) != 1 || r.sends[0].endpoint != r.probes[0] {
		t.Errorf("sends %v, want one to the idle endpoint %d at once", r.sends, r.probes[0])
	}

	b, r = startWaiting() // no probe is answered
	b.HandleTimer(2*second+50_000, r.timers[len(r.timers)-1])
	if len(r.sends) != 1 {
		t.Errorf("%d sends after the wait for probes, want 1", len(r.sends))
	}

	b, r = startWaiting()
	b.HandleClientGone(2*second+500, 1)
	for i := range r.probes {
		answer(b, r, i, 0)
	}
	b.HandleTimer(2*second+50_000, r.timers[len(r.timers)-1])
	if len(r.sends)+len(r.rejected)+len(r.failed) != 0 || len(b.waiting.requests) != 0 {
		t.Errorf("after the client left: %d sends, %d rejections, %d failures and %d requests waiting, want none",
			len(r.sends), len(r.rejected), len(r.failed), len(b.waiting.requests))
	}
}

// If the sidecar itself is slow, all measured latencies grow. Rejecting requests although no request queues at the
// endpoints would not relieve any endpoint, and would make clients retry.
func TestSlowdownAloneRejectsNothing(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	b.estimates.trend, b.estimates.trendAt = maxTrendRatio, 1000
	b.estimates.fleetServiceTimeRatio = newEWMA(20)
	b.HandleProbe(1000, 1, OK, 500, []float32{0})
	b.HandleRequest(2000, testRequest(1, 0, 2000))
	if len(r.sends) != 1 {
		t.Errorf("%d sends to an idle endpoint while all endpoints seem slow, want 1", len(r.sends))
	}
	b.HandleProbe(3000, 1, OK, 500, []float32{5})
	b.HandleRequest(3000, testRequest(2, 0, 3000))
	if len(r.sends) != 1 {
		t.Errorf("%d sends, want 1: the second request would wait behind five at a slow endpoint", len(r.sends))
	}
}

// A few long latencies must not cause rejections at an endpoint where no request queues.
func TestIdleEndpointIsNeverTooLate(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	e := b.membership.endpoints[0]
	e.serviceTimeRatio, e.serviceTimeRatioAt = newEWMA(9), 1000
	b.HandleProbe(1000, 1, OK, 500, []float32{0})
	b.HandleRequest(2000, testRequest(1, 0, 2000))
	if len(r.sends) != 1 {
		t.Errorf("%d sends to an idle endpoint expected to be slow, want 1", len(r.sends))
	}
}

// Trials are requests that are sent although they are predicted too late. They add to the load of an overloaded
// endpoint: each trial that is not served in time must make later trials rarer.
func TestFailedTrialsMakeTrialsRarer(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	b.demand.classes[0].work.value = float64(100 * second)
	trialsByHalf := [2]int{} // trials among the first and the second 200 requests
	for i := range uint64(400) {
		now := 10*second + Micros(i)*second
		b.HandleProbe(now, 1, OK, 500, []float32{50})
		b.HandleRequest(now, testRequest(i, 0, now))
		if n := len(r.sends); n > 0 && r.sends[n-1].id == i {
			trialsByHalf[i/200]++
			b.HandleOutcome(now+second, Outcome{ID: i, Endpoint: 1, Status: Timeout, Latency: second})
		}
	}
	if trialsByHalf[0] < 3 || trialsByHalf[0] > 8 || trialsByHalf[1] > 2 {
		t.Errorf("%d of the first 200 requests were trials, want 3 to 8; %d of the next 200, want 2 at most",
			trialsByHalf[0], trialsByHalf[1])
	}
	b.admission.requestsPerTrial = maxRequestsPerTrial
	r.sends = nil
	b.demand.classes[0].work.value = 1000
	b.HandleRequest(500*second, testRequest(1000, 0, 500*second))
	b.HandleOutcome(501*second, Outcome{ID: 1000, Endpoint: 1, Status: OK, Latency: 1000, Answered: true})
	b.HandleRequest(502*second, testRequest(1001, 0, 502*second))
	b.HandleOutcome(502*second+1000, Outcome{ID: 1001, Endpoint: 1, Status: OK, Latency: 1000, Answered: true})
	if b.admission.requestsPerTrial != minRequestsPerTrial {
		t.Errorf("%d requests per trial after an answer in time, want %d",
			b.admission.requestsPerTrial, minRequestsPerTrial)
	}
}

// Answers to probes of a distant zone come too late if the wait for probes is short: probes must then stay in the
// balancer's own zone.
func TestRequestProbesAvoidDistantZones(t *testing.T) {
	s := testSettings()
	s.Balancers = 1000
	list := readyEndpoints(40)
	for i := range list {
		list[i].Zone = uint8(i % 2)
	}
	b, r := startBalancer(t, s, list)
	b.estimates.zoneLatencies[0] = zoneLatency{median: 500, count: 1}
	b.estimates.zoneLatencies[1] = zoneLatency{median: 30_000, count: 1}
	b.HandleTimer(second, probeTimerToken)
	for id := range uint64(20) {
		b.HandleRequest(2*second, testRequest(id, 0, 2*second))
	}
	for _, e := range r.probes {
		if b.membership.byID[e].Zone != 0 {
			t.Fatalf("endpoint %d, 30 ms away, is probed for a wait of 40 ms; want probes of zone 0 only", e)
		}
	}
	if len(r.probes) < 10 {
		t.Errorf("%d probes, want 10 at least", len(r.probes))
	}
}

// Operators must see why requests are rejected: in one log line per second, not in thousands.
func TestRejectionsAreLoggedOnceASecond(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	b.HandleProbe(1000, 1, OK, 500, []float32{50})
	for id := range uint64(200) {
		now := second + 5000*Micros(id)
		b.HandleProbe(now, 1, OK, 500, []float32{50})
		b.HandleRequest(now, testRequest(id, 0, now))
	}
	if len(r.rejected) < 150 {
		t.Fatalf("%d requests rejected, want 150 at least", len(r.rejected))
	}
	if len(r.logs) != 1 || !strings.Contains(r.logs[0], "endpoint, 1, would take") {
		t.Errorf("log lines %q, want one that names endpoint 1", r.logs)
	}
}
