package balancer

import (
	"math"
	"testing"
)

// serveTogether sends count requests at once and answers each that was sent after latency. It returns how many
// were refused.
func serveTogether(b *Balancer, r *recorder, now Micros, count int, hint, latency Micros) int {
	r.sends, r.rejected = nil, nil
	for i := range count {
		id := uint64(now) + uint64(i)
		b.HandleRequest(now, Request{ID: id, Deadline: now + 10*second, WorkHint: hint, HasWorkHint: hint > 0})
	}
	for _, send := range r.sends {
		b.HandleOutcome(now+latency, Outcome{ID: send.id, Endpoint: send.endpoint, Status: OK, Latency: latency, Answered: true})
	}
	return len(r.rejected)
}

// Endpoints that answer within the time of a probe show next to no work. A stall of the sidecar's own process
// delays all answers that are due at that moment, and must not make idle endpoints look hopeless.
func TestStallAfterFastAnswersRejectsNothing(t *testing.T) {
	const (
		together = 16
		fast     = 1_000
		interval = second / 100
	)
	for _, stall := range []Micros{30_000, 300_000, second} {
		s := testSettings()
		s.Balancers, s.ReportFields = 350, nil
		s.Classes = []Class{{Name: "read", Idempotency: Idempotent, LatencyObjective: 5 * second, ClientTimeout: 10 * second, PriorityWeight: 1}}
		list := ready(8)
		for i := range list {
			list[i].Zone = 0
		}
		b, r := start(t, s, list)
		now := second
		for range 9 {
			b.HandleProbe(now, 1, OK, 2*fast, nil)
		}
		for range 200 {
			now += interval
			if refused := serveTogether(b, r, now, together, 0, fast); refused > 0 {
				t.Fatalf("%d refused before the stall", refused)
			}
		}
		now += interval
		serveTogether(b, r, now, together, 0, stall)
		now += stall
		for round := range 100 {
			now += interval
			if refused := serveTogether(b, r, now, together, 0, fast); refused > 0 {
				t.Errorf("%d of %d refused in round %d after a stall of %d us: %v", refused, together, round, stall, r.logs)
				break
			}
		}
	}
}

// One slow answer to a request of almost no work tells of the way there, not of the time that the work of others
// takes.
func TestSlowAnswerToTinyRequestDoesNotAffectServiceTime(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.estimates.workHintTrust = 1
	now := second
	for range 100 {
		now += second / 10
		serveTogether(b, r, now, 1, 20_000, 20_000)
	}
	before := b.estimates.latency(now, b.membership.endpoints[0], 20_000)
	now += second / 10
	serveTogether(b, r, now, 1, 2, 30_000)
	now += 10 * second // the slowdown of all has faded
	b.membership.endpoints[0].serviceTimeRatioAt = now
	if after := b.estimates.latency(now, b.membership.endpoints[0], 20_000); after > 2*before {
		t.Errorf("%.0f us expected before, %.0f us after an answer in 30,000 us", before, after)
	}
}

// What takes no time at all leaves figures that can be computed with.
func TestZeroLatencyKeepsEstimatesFinite(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	for i := range Micros(100_000) {
		serveTogether(b, r, 1000*i, 1, 0, 0)
	}
	serveTogether(b, r, 100*second, 1, 0, second/10)
	work, pace := b.demand.classes[0].work.value, b.estimates.serviceTimeRatio(100*second, b.membership.endpoints[0])
	if !(work > 0) || math.IsNaN(pace) || math.IsInf(pace, 0) {
		t.Errorf("work %v, pace %v", work, pace)
	}
}
