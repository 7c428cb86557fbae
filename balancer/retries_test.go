package balancer

import "testing"

// While no attempts get lost, an overdue attempt must not be hedged: a hedged request would double the work of an
// endpoint that is slow because it is overloaded.
func TestOverdueAttemptsAreNotHedged(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(3))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	for i, token := range r.timers {
		b.HandleTimer(1000+r.delays[i]-1, token)
	}
	b.HandleTimer(900_000, r.timers[len(r.timers)-1])
	if len(r.sends) != 1 {
		t.Errorf("got %d attempts while the first is in flight, want 1", len(r.sends))
	}
}

// If endpoints lose some requests and answer the others in time, an overdue attempt is regarded as lost once its
// endpoint has answered a later attempt. The request is then hedged if its class permits hedging. The first answer
// ends the request and cancels its other attempts.
func TestLostAttemptsAreHedged(t *testing.T) {
	for class, wantHedges := range []int{1, 1, 1, 1, 0} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(4))
		b.retries.lossRate.value = minHedgingLossRate
		b.HandleRequest(1000, testRequest(1, uint8(class), 1000))
		first := r.sends[0]
		b.membership.byID[first.endpoint].lastAnsweredSentAt = 2000
		b.HandleTimer(500_000, r.timers[len(r.timers)-1])
		if n := len(r.sends) - 1; n != wantHedges {
			t.Errorf("class %d: got %d hedged requests, want %d", class, n, wantHedges)
			continue
		}
		if wantHedges == 0 {
			continue
		}
		hedge := r.sends[1]
		sameCell := b.membership.byID[hedge.endpoint].Cell == b.membership.byID[first.endpoint].Cell
		if hedge.endpoint == first.endpoint || class == 3 && !sameCell {
			t.Errorf("class %d: got the hedged request at endpoint %d after the first attempt at %d; want another endpoint, "+
				"for class 3 of the same cell", class, hedge.endpoint, first.endpoint)
		}
		// The hedged request fails. The first attempt may still be answered, so there is no final answer yet.
		b.HandleOutcome(510_000, Outcome{ID: 1, Attempt: 1, Endpoint: hedge.endpoint, Status: EndpointError, Latency: 1000})
		if len(r.rejected)+len(r.failed) != 0 {
			t.Errorf("class %d: got rejected %v, failed %v while an attempt is in flight, want no final answer",
				class, r.rejected, r.failed)
		}
		cancels := len(r.cancels)
		b.HandleOutcome(520_000, Outcome{
			ID: 1, Attempt: 0, Endpoint: first.endpoint, Status: OK, Latency: 519_000, Answered: true,
		})
		for i := 2; i < len(r.sends); i++ {
			cancels++ // a third attempt is cancelled, too
		}
		if len(r.cancels) != cancels || b.ledger.open != 0 {
			t.Errorf("class %d: got %d cancelled attempts and %d open requests, want %d and 0",
				class, len(r.cancels), b.ledger.open, cancels)
		}
	}
}

// A retry of a request with an idempotency key has a latest start, the instant after which the host must not start it.
// It is the end of the deduplication window less the round-trip time. First attempts, retries of idempotent requests,
// and retries after an attempt that never executed have no latest start.
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
			b, r := startBalancer(t, testSettings(), readyEndpoints(4))
			for _, e := range b.membership.endpoints {
				b.estimates.zoneLatencies[e.Zone].add(roundTrip)
			}
			b.HandleRequest(10_000, testRequest(1, c.class, 10_000))
			b.HandleTimer(20_000, r.timers[len(r.timers)-1]) // in case the request waits for probes
			if len(r.sends) != 1 || r.latestStarts[0] != 0 {
				t.Fatalf("got attempts %v with latest starts %v, want one attempt without a latest start",
					r.sends, r.latestStarts)
			}
			sentAt := b.ledger.requests[1].attempts[0].sentAt
			b.HandleOutcome(200_000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: c.status})
			want := c.want
			if want > 0 {
				want += sentAt - 10_000
			}
			if len(r.sends) != 2 || r.latestStarts[1] != want {
				t.Errorf("got attempts %v with latest starts %v, want two attempts, the second with %d",
					r.sends, r.latestStarts, want)
			}
		})
	}
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	b.estimates.zoneLatencies[0].add(roundTrip)
	b.estimates.zoneLatencies[1].add(roundTrip)
	b.HandleRequest(0, testRequest(1, 1, 0))
	b.HandleTimer(10_000, r.timers[len(r.timers)-1])
	sentAt := b.ledger.requests[1].attempts[0].sentAt
	b.HandleOutcome(sentAt+500_000-roundTrip, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: Reset})
	if len(r.sends) != 1 || len(r.rejected) != 1 {
		t.Errorf("got attempts %v, rejected %v; want a rejection, since a retry could not arrive within the window",
			r.sends, r.rejected)
	}
}

// The retry budget limits retries after attempts that may have executed to a share of the requests. It does not limit
// other retries.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	const requests = 300
	for _, c := range []struct {
		status                 Status
		minRetries, maxRetries int
	}{{Reset, 10, maxBudget + requests*retryDeposit + 1}, {ConnectFailed, requests, 2 * requests}} {
		s := testSettings()
		s.Limits.MaxAttempts = 2
		b, r := startBalancer(t, s, readyEndpoints(8))
		retries := 0
		for id := range uint64(requests) {
			now := Micros(id) * second // the error throttle lets at least one request per second pass
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
			t.Errorf("status %d: got %d retries of %d requests, want %d to %d",
				c.status, retries, requests, c.minRetries, c.maxRetries)
		}
		if c.status == ConnectFailed && b.retries.retryBudget != maxBudget {
			t.Errorf("retries after attempts that never executed: got %v taken from the retry budget, want 0",
				maxBudget-b.retries.retryBudget)
		}
	}
}
