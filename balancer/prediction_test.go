package balancer

import (
	"math"
	"testing"
)

// serveBatch passes count requests to the balancer at the instant now. Each request has the work hint hint, or none if
// hint is 0. Each attempt that the balancer sends is answered after the given latency. serveBatch returns the number
// of rejected requests.
func serveBatch(b *Balancer, r *recorder, now Micros, count int, hint, latency Micros) int {
	r.sends, r.rejected = nil, nil
	for i := range count {
		id := uint64(now) + uint64(i)
		b.HandleRequest(now, Request{ID: id, Deadline: now + 10*second, WorkHint: hint, HasWorkHint: hint > 0})
	}
	for _, send := range r.sends {
		b.HandleOutcome(now+latency, Outcome{
			ID: send.id, Endpoint: send.endpoint, Status: OK, Latency: latency, Answered: true,
		})
	}
	return len(r.rejected)
}

// Requests that are answered within the round-trip time of a probe have hardly any measurable work. A stall of the
// sidecar's own process delays all answers that are due during the stall. These late answers must not make idle
// endpoints seem so slow that requests are rejected.
func TestStallAfterFastAnswersRejectsNothing(t *testing.T) {
	const (
		batchSize   = 16
		fastLatency = 1_000
		interval    = second / 100
	)
	for _, stall := range []Micros{30_000, 300_000, second} {
		s := testSettings()
		s.Balancers, s.ReportFields = 350, nil
		s.Classes = readClass(5*second, 10*second)
		list := readyEndpoints(8)
		for i := range list {
			list[i].Zone = 0
		}
		b, r := startBalancer(t, s, list)
		now := second
		for range 9 {
			b.HandleProbe(now, 1, OK, 2*fastLatency, nil)
		}
		for range 200 {
			now += interval
			if rejected := serveBatch(b, r, now, batchSize, 0, fastLatency); rejected > 0 {
				t.Fatalf("%d of %d rejected before the stall, want none", rejected, batchSize)
			}
		}
		now += interval
		serveBatch(b, r, now, batchSize, 0, stall)
		now += stall
		for round := range 100 {
			now += interval
			if rejected := serveBatch(b, r, now, batchSize, 0, fastLatency); rejected > 0 {
				t.Errorf("%d of %d rejected in round %d after a stall of %d us, want none; log: %v",
					rejected, batchSize, round, stall, r.logs)
				break
			}
		}
	}
}

// A slow answer to a request with hardly any work is due to the network. It must not change the latency that is
// expected of other requests.
func TestSlowAnswerToTinyRequestDoesNotAffectServiceTime(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	b.estimates.workHintExponent = 1
	now := second
	for range 100 {
		now += second / 10
		serveBatch(b, r, now, 1, 20_000, 20_000)
	}
	before := b.estimates.latency(now, b.membership.endpoints[0], 20_000)
	now += second / 10
	serveBatch(b, r, now, 1, 2, 30_000)
	now += 10 * second // by then the trend, the fleet's mean of latency / prediction, has decayed
	b.membership.endpoints[0].serviceTimeRatioAt = now
	if after := b.estimates.latency(now, b.membership.endpoints[0], 20_000); after > 2*before {
		t.Errorf("expected latency %.0f us after an answer in 30,000 us, want at most twice the %.0f us before",
			after, before)
	}
}

// Latencies of 0 must leave the work positive and the service time ratio finite.
func TestZeroLatencyKeepsEstimatesFinite(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	for i := range Micros(100_000) {
		serveBatch(b, r, 1000*i, 1, 0, 0)
	}
	serveBatch(b, r, 100*second, 1, 0, second/10)
	work := b.demand.classes[0].work.value
	ratio := b.estimates.serviceTimeRatio(100*second, b.membership.endpoints[0])
	if !(work > 0) || math.IsNaN(ratio) || math.IsInf(ratio, 0) {
		t.Errorf("work %v, service time ratio %v after latencies of 0, want a positive and a finite value", work, ratio)
	}
}

// The capacity of a warming endpoint grows with its warm-up fraction. Its expected service time ratio, the ratio of
// the actual to the predicted service time, must fall accordingly, even after a ratio has been measured at the
// endpoint.
func TestWarmingEndpointIsExpectedToBeSlow(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(2))
	b.HandleEndpoints(1000, ListDelta, []Endpoint{{ID: 9, State: Ready, StartTime: 1000}})
	e := b.membership.byID[9]
	// The warm-up fraction f is 0.2, which implies a service time ratio of 1/f = 5. Before any sample, the endpoint is
	// expected to have the share initialWarmingSlowness of the excess 5 - 1 = 4.
	if got := b.estimates.serviceTimeRatio(1000, e); !almostEqual(got, 1+4*initialWarmingSlowness) {
		t.Errorf("service time ratio %v at the start, before any sample, want %v", got, 1+4*initialWarmingSlowness)
	}
	b.estimates.warmingSlowness = newEWMA(1) // as slow as the warm-up fraction implies
	if got := b.estimates.serviceTimeRatio(1000, e); !almostEqual(got, 5) {
		t.Errorf("service time ratio %v at the start, want 5", got)
	}
	e.serviceTimeRatio, e.serviceTimeRatioAt = newEWMA(2), 6*second
	if got := b.estimates.serviceTimeRatio(6*second, e); got < 2.9 || got > 3 { // the warm-up fraction is 0.68
		t.Errorf("service time ratio %v at 0.6 of the slow start, want 2.9 to 3", got)
	}
	if got := b.estimates.serviceTimeRatio(12*second, e); got > 2 {
		t.Errorf("service time ratio %v once warm, want at most 2", got)
	}
}

// If the entire fleet slows down, the expected latency must rise at once, even at an endpoint that was measured as
// fast. Soon after the recovery, the expected latency must be as before.
func TestFleetWideSlowdownIsLearnedAtOnce(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	// serve sends n requests, 1 ms apart, whose attempts take factor times the predicted latency.
	serve := func(from Micros, n int, factor float64) {
		for i := range n {
			now := from + 1000*Micros(i)
			id := uint64(now)
			b.HandleProbe(now, 1, OK, 500, []float32{9}) // endpoint 1 seems busy, so the others get the requests
			b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 10_000, HasWorkHint: true})
			if len(r.sends) == 0 || r.sends[len(r.sends)-1].id != id {
				continue // rejected
			}
			latency := Micros(factor * b.ledger.requests[id].attempts[0].predictedLatency)
			b.HandleOutcome(now, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK,
				Latency: latency, Answered: true})
		}
	}
	// expected returns the expected latency of a request at endpoint 1, which is idle and measured as fast.
	expected := func(now Micros) float64 {
		b.HandleProbe(now, 1, OK, 500, []float32{0})
		e := b.membership.byID[1]
		e.serviceTimeRatio, e.serviceTimeRatioAt = newEWMA(1), now
		return b.estimates.latency(now, e, 10_000)
	}
	serve(0, 50, 1)
	before := expected(60_000)
	serve(100_000, 15, 4)
	if slow := expected(120_000); slow < 2*before {
		t.Errorf("expected latency %v us after 15 outcomes of 4 times the prediction, want at least twice the %v us before",
			slow, before)
	}
	serve(200_000, 48, 0.5)
	if after := expected(250_000); after > 1.2*before {
		t.Errorf("expected latency %v us after the recovery, want at most 1.2 times the %v us before", after, before)
	}
}

// Many attempts are in flight when a slowdown is detected, and their outcomes come afterwards. Since they were sent
// before the detection, these outcomes must not raise the estimated slowdown a second time.
func TestSlowdownIsNotOverestimated(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	now := second
	for id := range uint64(60) {
		b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 10_000, HasWorkHint: true})
	}
	if len(r.sends) != 60 {
		t.Fatalf("%d of 60 requests sent, want all", len(r.sends))
	}
	for _, s := range r.sends {
		latency := Micros(2 * b.ledger.requests[s.id].attempts[0].predictedLatency)
		b.HandleOutcome(now+100_000, Outcome{
			ID: s.id, Endpoint: s.endpoint, Status: OK, Latency: latency, Answered: true,
		})
	}
	if got := b.estimates.slowdown(now + 100_000); got < 1.1 || got > 2 {
		t.Errorf("slowdown %.2f after 60 outcomes of twice the prediction, want 1.1 to 2", got)
	}
}

// If the estimated slowdown is so high that all requests are rejected, there are no further outcomes that could
// correct it. The estimate must therefore decay with time.
func TestSlowdownDecaysWithoutOutcomes(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(4))
	b.estimates.trend, b.estimates.trendAt = maxTrendRatio, second
	if initial, later := b.estimates.slowdown(second), b.estimates.slowdown(4*second); initial < 2 || later != 1 {
		t.Errorf("slowdown %.2f at the last outcome, %.2f three seconds later, want at least 2, then 1", initial, later)
	}
	b.estimates.updateTrend(4*second, 1)
	if got := b.estimates.slowdown(4 * second); got != 1 {
		t.Errorf("slowdown %.2f after an outcome as predicted, want 1, as the earlier trend has decayed", got)
	}
}

// Work hints must affect the predicted latency only as far as they have matched the measured latencies. Otherwise
// requests with wrong hints are rejected although endpoints are idle.
func TestWorkHintExponentIsLearned(t *testing.T) {
	for _, c := range []struct {
		name                     string
		latency                  func(hint Micros) Micros
		minExponent, maxExponent float64
	}{
		{"hints unrelated to latency", func(Micros) Micros { return 20_000 }, 0, 0.15},
		{"exact hints", func(hint Micros) Micros { return hint }, 0.85, 1},
	} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(4))
		hints := splitMix64(3)
		for i := range 4000 {
			now := 10_000 * Micros(i)
			hint := 5_000 + hints.duration(60_000)
			b.HandleRequest(now, Request{ID: uint64(i), Deadline: now + second, WorkHint: hint, HasWorkHint: true})
			if n := len(r.sends); n > 0 && r.sends[n-1].id == uint64(i) {
				b.HandleOutcome(now, Outcome{ID: uint64(i), Endpoint: r.sends[n-1].endpoint, Status: OK,
					Latency: c.latency(hint), Answered: true})
			}
		}
		if got := b.estimates.workHintExponent; got < c.minExponent || got > c.maxExponent {
			t.Errorf("%s: work hint exponent %.2f, want %.2f to %.2f", c.name, got, c.minExponent, c.maxExponent)
		}
	}
}

// If an endpoint has answered a later attempt, the timeout of an earlier attempt must not raise the trend, which is
// the mean of latency / prediction over all endpoints. The earlier attempt was lost, and the endpoint is not slow. If
// lost attempts raised the trend, the entire fleet would be regarded as slow.
func TestOvertakenAttemptsDoNotAffectTrend(t *testing.T) {
	for name, overtaken := range map[string]bool{"overtaken": true, "not overtaken": false} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(1))
		for id := range uint64(5) {
			b.HandleRequest(1000, testRequest(id, 0, 1000))
		}
		if overtaken {
			b.membership.byID[1].lastAnsweredSentAt = 2000
		}
		for _, s := range r.sends {
			b.HandleOutcome(990_000, Outcome{ID: s.id, Endpoint: 1, Status: Timeout, Latency: 989_000})
		}
		if raised := b.estimates.trend > 1; raised == overtaken {
			t.Errorf("%s: trend %v, want above 1 if not overtaken, else at most 1", name, b.estimates.trend)
		}
	}
}
