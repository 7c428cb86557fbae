package balancer

import (
	"math"
	"testing"
)

// serveBatch sends count requests at once and answers each that was sent after latency. It returns how many were
// rejected.
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

// Requests that are answered within the round trip of a probe have hardly any measurable work. A stall of the sidecar's
// own process delays all answers due at that moment, and must not make idle endpoints seem too late.
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
		list := ready(8)
		for i := range list {
			list[i].Zone = 0
		}
		b, r := start(t, s, list)
		now := second
		for range 9 {
			b.HandleProbe(now, 1, OK, 2*fastLatency, nil)
		}
		for range 200 {
			now += interval
			if rejected := serveBatch(b, r, now, batchSize, 0, fastLatency); rejected > 0 {
				t.Fatalf("%d rejected before the stall", rejected)
			}
		}
		now += interval
		serveBatch(b, r, now, batchSize, 0, stall)
		now += stall
		for round := range 100 {
			now += interval
			if rejected := serveBatch(b, r, now, batchSize, 0, fastLatency); rejected > 0 {
				t.Errorf("%d of %d rejected in round %d after a stall of %d us: %v",
					rejected, batchSize, round, stall, r.logs)
				break
			}
		}
	}
}

// One slow answer to a request with hardly any work is due to the network. It must not change the service times
// expected of others.
func TestSlowAnswerToTinyRequestDoesNotAffectServiceTime(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.estimates.workHintExponent = 1
	now := second
	for range 100 {
		now += second / 10
		serveBatch(b, r, now, 1, 20_000, 20_000)
	}
	before := b.estimates.latency(now, b.membership.endpoints[0], 20_000)
	now += second / 10
	serveBatch(b, r, now, 1, 2, 30_000)
	now += 10 * second // the trend has decayed
	b.membership.endpoints[0].serviceTimeRatioAt = now
	if after := b.estimates.latency(now, b.membership.endpoints[0], 20_000); after > 2*before {
		t.Errorf("%.0f us expected before, %.0f us after an answer in 30,000 us", before, after)
	}
}

// Latencies of zero must leave positive, finite estimates.
func TestZeroLatencyKeepsEstimatesFinite(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	for i := range Micros(100_000) {
		serveBatch(b, r, 1000*i, 1, 0, 0)
	}
	serveBatch(b, r, 100*second, 1, 0, second/10)
	work := b.demand.classes[0].work.value
	ratio := b.estimates.serviceTimeRatio(100*second, b.membership.endpoints[0])
	if !(work > 0) || math.IsNaN(ratio) || math.IsInf(ratio, 0) {
		t.Errorf("work %v, service time ratio %v", work, ratio)
	}
}

// The capacity of a warming endpoint grows with its warm-up fraction, and so must the expectation, also once its
// service time ratio has been learned.
func TestWarmingEndpointIsExpectedToBeSlow(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	b.HandleEndpoints(1000, ListDelta, []Endpoint{{ID: 9, State: Ready, StartTime: 1000}})
	e := b.membership.byID[9]
	// The warm-up fraction is 0.2.
	if got := b.estimates.serviceTimeRatio(1000, e); !almostEqual(got, 1+4*initialWarmingSlowness) {
		t.Errorf("service time ratio %v just started, before any was measured", got)
	}
	b.estimates.warmingSlowness = newEWMA(1) // as slow as the least warm-up fraction implies
	if got := b.estimates.serviceTimeRatio(1000, e); !almostEqual(got, 5) {
		t.Errorf("service time ratio %v just started", got)
	}
	e.serviceTimeRatio, e.serviceTimeRatioAt = newEWMA(2), 6*second
	if got := b.estimates.serviceTimeRatio(6*second, e); got < 2.9 || got > 3 { // warm-up fraction 0.68
		t.Errorf("service time ratio %v halfway", got)
	}
	if got := b.estimates.serviceTimeRatio(12*second, e); got > 2 {
		t.Errorf("service time ratio %v once warm", got)
	}
}

// If the entire fleet slows down, an endpoint measured as fast must be expected to be slow, too, and to be fast again
// soon after the recovery.
func TestFleetWideSlowdownIsLearnedAtOnce(t *testing.T) {
	b, r := start(t, testSettings(), ready(4))
	// serve sends n requests, whose attempts take this factor of the predicted latency.
	serve := func(from Micros, n int, factor float64) {
		for i := range n {
			now := from + 1000*Micros(i)
			id := uint64(now)
			b.HandleProbe(now, 1, OK, 500, []float32{9}) // the others serve
			b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 10_000, HasWorkHint: true})
			if len(r.sends) == 0 || r.sends[len(r.sends)-1].id != id {
				continue // rejected
			}
			latency := Micros(factor * b.ledger.requests[id].attempts[0].predictedLatency)
			b.HandleOutcome(now, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK,
				Latency: latency, Answered: true})
		}
	}
	// expected is the latency expected of a request at endpoint 1 while it is idle and measured as fast.
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
		t.Errorf("expected %v before, %v after 15 outcomes of four times the prediction", before, slow)
	}
	serve(200_000, 48, 0.5)
	if after := expected(250_000); after > 1.2*before {
		t.Errorf("expected %v before, %v after the recovery", before, after)
	}
}

// Attempts sent before a slowdown was detected must not raise it a second time: many are in flight by then, and all of
// their outcomes come later.
func TestSlowdownIsNotOverestimated(t *testing.T) {
	b, r := start(t, testSettings(), ready(4))
	now := second
	for id := range uint64(60) {
		b.HandleRequest(now, Request{ID: id, Deadline: now + second, WorkHint: 10_000, HasWorkHint: true})
	}
	if len(r.sends) != 60 {
		t.Fatalf("%d of 60 sent", len(r.sends))
	}
	for _, s := range r.sends {
		latency := Micros(2 * b.ledger.requests[s.id].attempts[0].predictedLatency)
		b.HandleOutcome(now+100_000, Outcome{
			ID: s.id, Endpoint: s.endpoint, Status: OK, Latency: latency, Answered: true,
		})
	}
	if got := b.estimates.slowdown(now + 100_000); got < 1.1 || got > 2 {
		t.Errorf("slowdown %.2f after 60 outcomes of twice the prediction", got)
	}
}

// A slowdown that rejects all requests must not last for lack of outcomes.
func TestSlowdownDecaysWithoutOutcomes(t *testing.T) {
	b, _ := start(t, testSettings(), ready(4))
	b.estimates.trend, b.estimates.trendAt = maxTrendRatio, second
	if initial, later := b.estimates.slowdown(second), b.estimates.slowdown(4*second); initial < 2 || later != 1 {
		t.Errorf("slowdown %.2f at the last outcome, %.2f three seconds after it", initial, later)
	}
	b.estimates.updateTrend(4*second, 1)
	if got := b.estimates.slowdown(4 * second); got != 1 {
		t.Errorf("slowdown %.2f after an outcome as predicted, want 1: the earlier one has decayed", got)
	}
}

// A work hint must count for as much as it predicts, or requests with wrong hints are rejected at idle endpoints.
func TestWorkHintExponentIsLearned(t *testing.T) {
	for _, c := range []struct {
		name                     string
		latency                  func(hint Micros) Micros
		minExponent, maxExponent float64
	}{
		{"hints without relation", func(Micros) Micros { return 20_000 }, 0, 0.15},
		{"exact hints", func(hint Micros) Micros { return hint }, 0.85, 1},
	} {
		b, r := start(t, testSettings(), ready(4))
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
			t.Errorf("%s: exponent %.2f, want %.2f to %.2f", c.name, got, c.minExponent, c.maxExponent)
		}
	}
}

// The timeout of an attempt that a later one overtook must not raise the trend: the endpoint was not slow, and the
// entire fleet would count as slow.
func TestOvertakenAttemptsDoNotAffectTrend(t *testing.T) {
	for name, overtaken := range map[string]bool{"overtaken": true, "not overtaken": false} {
		b, r := start(t, testSettings(), ready(1))
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
			t.Errorf("%s: trend %v", name, b.estimates.trend)
		}
	}
}
