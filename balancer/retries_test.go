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

// Guards against a sound response that is cut off because its endpoint pauses: an attempt whose response has begun may be
// given up only if a retry is allowed and has at least as much time, and only once for each request.
func TestStalledResponseIsGivenUpOnlyForARetryWithTime(t *testing.T) {
	const sentAt, longTime = 1000, 3 * second
	for name, c := range map[string]struct {
		class    uint8
		timeLeft Micros
		after    Micros // time from the send of the attempt to the question
		change   func(*Balancer)
		want     StallDecision
	}{
		"at once":                       {0, longTime, second / 10, nil, StallWait},
		"after a second":                {0, longTime, second, nil, StallGiveUp},
		"after half of the time":        {0, longTime, longTime / 2, nil, StallGiveUp},
		"after more than half":          {0, longTime, longTime/2 + 1, nil, StallKeep},
		"little time, at once":          {0, 2*second - 1, second / 10, nil, StallKeep},
		"little time, after a second":   {0, 2*second - 1, second, nil, StallKeep},
		"with a key, within its window": {1, longTime, second, widenWindows, StallGiveUp},
		"with a key, after its window":  {1, longTime, second, nil, StallKeep},
		"not idempotent":                {4, longTime, second, nil, StallKeep},
		"attempts can't be cancelled": {0, longTime, second,
			func(b *Balancer) { b.settings.Limits.CancelAttempts = false }, StallKeep},
		"no retry left in the budget": {0, longTime, second, func(b *Balancer) { b.retries.retryBudget = 0 }, StallKeep},
		"no other endpoint": {0, longTime, second, func(b *Balancer) {
			b.HandleEndpoints(sentAt, ListFull, nil)
		}, StallKeep},
	} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(4))
		in := testRequest(1, c.class, sentAt)
		in.Deadline = sentAt + c.timeLeft
		b.HandleRequest(sentAt, in)
		if c.change != nil {
			c.change(b)
		}
		if got := b.HandleStalledResponse(sentAt+c.after, 1, 0); got != c.want {
			t.Errorf("%s: got decision %d, want %d", name, got, c.want)
		}
		if len(r.sends) != 1 {
			t.Errorf("%s: got %d attempts while the first is in flight, want 1", name, len(r.sends))
		}
	}
}

// widenWindows makes the deduplication windows of all classes longer than any time in the test.
func widenWindows(b *Balancer) {
	for _, r := range b.ledger.requests {
		r.class.DeduplicationWindow = 10 * second
	}
}

// Guards against a request that loses its response because its attempt was given up, and the circuit breakers then
// reject the retry. Its second attempt is never given up.
func TestGivenUpAttemptIsReplaced(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	in := testRequest(1, 0, 1000)
	in.Deadline = 1000 + 4*second
	b.HandleRequest(1000, in)
	now := 1000 + second
	if got := b.HandleStalledResponse(now, 1, 0); got != StallGiveUp {
		t.Fatalf("got decision %d, want %d", got, StallGiveUp)
	}
	b.breakers.recentAttempts.requests, b.breakers.recentAttempts.lastTrialAt = 1e9, now
	b.HandleOutcome(now, Outcome{ID: 1, Attempt: 0, Endpoint: r.sends[0].endpoint, Status: Reset, Latency: second})
	if len(r.sends) != 2 || r.sends[1].endpoint == r.sends[0].endpoint {
		t.Fatalf("got the attempts %v, rejected %v; want a second one at another endpoint", r.sends, r.rejected)
	}
	if got := b.HandleStalledResponse(now+second, 1, 1); got != StallKeep {
		t.Errorf("got decision %d on the second attempt, want %d", got, StallKeep)
	}
}
