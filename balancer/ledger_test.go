package balancer

import "testing"

// For each class and each status of the first attempt, a second attempt is sent only if the class permits one after
// that status. If the first attempt may have executed, the second must be within the deduplication scope of the class.
func TestAttemptsAfterEachOutcome(t *testing.T) {
	neverExecuted := map[Status]bool{Rejected: true, ConnectFailed: true, NotSent: true}
	for class := range uint8(5) {
		for status := EndpointError; status <= NotSent; status++ {
			s := testSettings()
			b, r := startBalancer(t, s, readyEndpoints(4)) // endpoints 1 and 2 share a zone and a cell, as do 3 and 4
			b.HandleRequest(1000, testRequest(1, class, 1000))
			a := b.ledger.requests[1].attempts[0]
			b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: a.endpoint.ID, Status: status, Latency: 1000})
			sends := len(r.sends)
			switch classSettings := s.Classes[class]; {
			case classSettings.Idempotency == NonIdempotent && !neverExecuted[status]:
				if sends != 1 || len(r.failed) != 1 {
					t.Errorf("non-idempotent class, status %d: got %d attempts and %d failed requests, want 1 and 1",
						status, sends, len(r.failed))
				}
			case sends != 2:
				t.Errorf("class %d, status %d: got %d attempts, want 2", class, status, sends)
			case classSettings.Idempotency == IdempotentWithKey &&
				classSettings.DeduplicationScope != ScopeAll && !neverExecuted[status]:
				if (r.sends[0].endpoint-1)/2 != (r.sends[1].endpoint-1)/2 {
					t.Errorf("class %d, status %d: got a retry outside the deduplication scope: attempts %v",
						class, status, r.sends)
				}
			}
		}
	}
}

// A retry after the deduplication window could execute a request a second time. The window starts when the first
// attempt that may have executed is sent, not when that attempt ends.
func TestDeduplicationWindowStartsAtFirstExecutedAttempt(t *testing.T) {
	s := testSettings()
	s.Limits.HedgedRequests = false
	b, r := startBalancer(t, s, readyEndpoints(2))
	b.HandleRequest(1000, testRequest(1, 3, 1000))
	first := r.sends[0].endpoint
	b.HandleOutcome(1000+s.Classes[3].DeduplicationWindow, Outcome{ID: 1, Endpoint: first, Status: Reset})
	if len(r.sends) != 1 || len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("after the deduplication window: got attempts %v, failed %v, rejected %v; want one attempt and one failure",
			r.sends, r.failed, r.rejected)
	}
}

// A request that cannot be sent, for lack of an endpoint or because its deadline has passed, must be rejected at once
// and must not remain in the ledger.
func TestNoEndpointMeansRejection(t *testing.T) {
	b, r := startBalancer(t, testSettings(), nil)
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	b.HandleRequest(1000, Request{ID: 2, Deadline: 500})
	if len(r.rejected) != 2 || b.ledger.open != 0 || len(b.ledger.requests) != 0 {
		t.Errorf("got rejected %v, %d open requests, %d in the ledger; want requests 1 and 2 rejected, none left",
			r.rejected, b.ledger.open, len(b.ledger.requests))
	}
}

// If an attempt gets no answer, its request must end at the deadline. A late outcome must still be recorded for the
// endpoint. The timer of the ended request must not end a later request that uses the same slot of the ledger.
func TestUnansweredAttemptEndsAtTheDeadline(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	token := b.ledger.requests[1].timerToken
	b.HandleTimer(1000+second, token)
	if len(r.failed) != 1 || len(r.cancels) != 1 {
		t.Fatalf("at the deadline: got failed %v, cancelled %v; want one of each", r.failed, r.cancels)
	}
	b.HandleOutcome(2*second, Outcome{ID: 1, Endpoint: 1, Status: OK, Latency: second, Answered: true})
	e := b.membership.endpoints[0]
	if e.breaker.accepts != 1 || e.inFlight != 0 || len(b.ledger.requests) != 0 {
		t.Errorf("after a late outcome: got %v accepted, %d in flight, %d requests in the ledger; want 1, 0, 0",
			e.breaker.accepts, e.inFlight, len(b.ledger.requests))
	}
	b.HandleRequest(3*second, testRequest(2, 0, 3*second))
	b.HandleTimer(3*second, token) // the timer of the first request, whose slot the second request now uses
	if len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("a timer of an ended request ended another one: got failed %v, rejected %v", r.failed, r.rejected)
	}
}

// An unusual request, such as one of an unknown class or without a usable endpoint, gets exactly one final answer and
// at most one attempt. A request whose ID is already in use is not accepted a second time.
func TestUnusualRequestsAreAnsweredOnce(t *testing.T) {
	for name, c := range map[string]struct {
		list  []Endpoint
		in    Request
		twice bool
	}{
		"class out of range":  {list: readyEndpoints(2), in: Request{ID: 1, Class: 99, Deadline: second}},
		"tenant out of range": {list: readyEndpoints(2), in: Request{ID: 1, Tenant: 999, Deadline: second}},
		"deadline passed":     {list: readyEndpoints(2), in: Request{ID: 1, Deadline: 10}},
		"empty list":          {in: Request{ID: 1, Deadline: second}},
		"all draining":        {list: []Endpoint{{ID: 1, State: Draining}}, in: Request{ID: 1, Deadline: second}},
		"repeated id":         {list: readyEndpoints(2), in: Request{ID: 1, Deadline: second}, twice: true},
		"negative work hint": {
			list: readyEndpoints(2), in: Request{ID: 1, Deadline: second, WorkHint: -5, HasWorkHint: true},
		},
	} {
		b, r := startBalancer(t, testSettings(), c.list)
		b.HandleRequest(1000, c.in)
		if c.twice {
			b.HandleRequest(1000, c.in)
		}
		for i, token := range r.timers {
			if token >= firstRequestToken {
				b.HandleTimer(max(1000+r.delays[i], c.in.Deadline), token)
			}
		}
		if n := len(r.rejected) + len(r.failed); n != 1 || len(r.sends) > 1 {
			t.Errorf("%s: got %d final answers and %d attempts, want 1 and at most 1", name, n, len(r.sends))
		}
	}
}
