package balancer

import "testing"

// A hedged request doubles the work of an endpoint that is slow because it is overloaded.
func TestOverdueAttemptsAreNotHedged(t *testing.T) {
	b, r := start(t, testSettings(), ready(3))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	for i, token := range r.timers {
		b.HandleTimer(1000+r.delays[i]-1, token)
	}
	b.HandleTimer(900_000, r.timers[len(r.timers)-1])
	if len(r.sends) != 1 {
		t.Errorf("%d sends while the first is in flight", len(r.sends))
	}
}

// Where endpoints lose requests and answer the others in time, an attempt that a later one overtook is lost. It is
// hedged as far as its class permits. The first attempt that is answered ends the request and cancels the other.
func TestLostAttemptsAreHedged(t *testing.T) {
	for class, hedges := range []int{1, 1, 1, 1, 0} {
		b, r := start(t, testSettings(), ready(4))
		b.retries.lossRate.value = minHedgingLossRate
		b.HandleRequest(1000, testRequest(1, uint8(class), 1000))
		first := r.sends[0]
		b.membership.byID[first.endpoint].lastAnsweredSentAt = 2000
		b.HandleTimer(500_000, r.timers[len(r.timers)-1])
		if n := len(r.sends) - 1; n != hedges {
			t.Errorf("class %d: %d hedged requests, want %d", class, n, hedges)
			continue
		}
		if hedges == 0 {
			continue
		}
		hedge := r.sends[1]
		sameCell := b.membership.byID[hedge.endpoint].Cell == b.membership.byID[first.endpoint].Cell
		if hedge.endpoint == first.endpoint || class == 3 && !sameCell {
			t.Errorf("class %d: the hedged request went to %d after %d", class, hedge.endpoint, first.endpoint)
		}
		// The hedged request fails. The first may still be answered, so there is no final answer yet.
		b.HandleOutcome(510_000, Outcome{ID: 1, Attempt: 1, Endpoint: hedge.endpoint, Status: EndpointError, Latency: 1000})
		if len(r.rejected)+len(r.failed) != 0 {
			t.Errorf("class %d: a final answer while an attempt is in flight", class)
		}
		cancels := len(r.cancels)
		b.HandleOutcome(520_000, Outcome{
			ID: 1, Attempt: 0, Endpoint: first.endpoint, Status: OK, Latency: 519_000, Answered: true,
		})
		for i := 2; i < len(r.sends); i++ {
			cancels++ // a third attempt is cancelled, too
		}
		if len(r.cancels) != cancels || b.ledger.open != 0 {
			t.Errorf("class %d: %d attempts cancelled, want %d; %d requests open",
				class, len(r.cancels), cancels, b.ledger.open)
		}
	}
}

// A retry of a request with an idempotency key carries the latest instant at which it may begin, less the round trip; a
// first attempt and a retry of an idempotent request carry none, nor does one after an attempt that never executed.
func TestRetryWithKeyCarriesLatestStart(t *testing.T) {
	const roundTrip = 20_000
	for name, c := range map[string]struct {
		class  uint8
		status Status
		want   Micros
	}{
		"keyed, reset":      {1, Reset, 10_000 + 500_000 - roundTrip},
		"keyed, error":      {1, EndpointError, 10_000 + 500_000 - roundTrip},
		"keyed, rejected":   {1, Rejected, 0},
		"idempotent, reset": {0, Reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, r := start(t, testSettings(), ready(4))
			for _, e := range b.membership.endpoints {
				b.estimates.zoneLatencies[e.Zone].add(roundTrip)
			}
			b.HandleRequest(10_000, testRequest(1, c.class, 10_000))
			b.HandleTimer(20_000, r.timers[len(r.timers)-1]) // in case it waits for probes
			if len(r.sends) != 1 || r.latest[0] != 0 {
				t.Fatalf("first attempts %v, latest %v", r.sends, r.latest)
			}
			at := b.ledger.requests[1].attempts[0].sentAt
			b.HandleOutcome(200_000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: c.status})
			want := c.want
			if want > 0 {
				want += at - 10_000
			}
			if len(r.sends) != 2 || r.latest[1] != want {
				t.Errorf("sends %v, latest %v, want %d", r.sends, r.latest, want)
			}
		})
	}
	b, r := start(t, testSettings(), ready(4))
	b.estimates.zoneLatencies[0].add(roundTrip)
	b.estimates.zoneLatencies[1].add(roundTrip)
	b.HandleRequest(0, testRequest(1, 1, 0))
	b.HandleTimer(10_000, r.timers[len(r.timers)-1])
	at := b.ledger.requests[1].attempts[0].sentAt
	b.HandleOutcome(at+500_000-roundTrip, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: Reset})
	if len(r.sends) != 1 || len(r.rejected) != 1 {
		t.Errorf("sends %v, rejected %v: want no retry that could not arrive in time", r.sends, r.rejected)
	}
}

// Retries after attempts that may have executed are limited to a share of the requests. Other retries are not.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	const requests = 300
	for _, c := range []struct {
		status                 Status
		minRetries, maxRetries int
	}{{Reset, 10, maxBudget + requests*retryDeposit + 1}, {ConnectFailed, requests, 2 * requests}} {
		s := testSettings()
		s.Limits.MaxAttempts = 2
		b, r := start(t, s, ready(8))
		retries := 0
		for id := range uint64(requests) {
			now := Micros(id) * second // the error throttle lets one a second through
			sends := len(r.sends)
			b.HandleRequest(now, testRequest(id, 0, now))
			for attempt := 0; sends+attempt < len(r.sends); attempt++ {
				retries += min(attempt, 1)
				target := r.sends[sends+attempt].endpoint
				b.HandleOutcome(now, Outcome{
					ID: id, Attempt: attempt, Endpoint: target, Status: c.status, Latency: 1000,
				})
			}
		}
		if retries < c.minRetries || retries > c.maxRetries {
			t.Errorf("status %d: %d retries of %d requests, want %d to %d",
				c.status, retries, requests, c.minRetries, c.maxRetries)
		}
		if c.status == ConnectFailed && b.retries.retryBudget != maxBudget {
			t.Errorf("retries after attempts that never executed charged %v", maxBudget-b.retries.retryBudget)
		}
	}
}
