package balancer

import "testing"

// Each idempotency against each outcome of the first attempt.
func TestAttemptsAfterEachOutcome(t *testing.T) {
	neverExecuted := map[Status]bool{Rejected: true, ConnectFailed: true, NotSent: true}
	for class := range uint8(5) {
		for status := EndpointError; status <= NotSent; status++ {
			s := testSettings()
			b, r := start(t, s, ready(4)) // endpoints 1, 2 share a zone and a cell; so do 3, 4
			b.HandleRequest(1000, testRequest(1, class, 1000))
			a := b.ledger.requests[1].attempts[0]
			b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: a.endpoint.ID, Status: status, Latency: 1000})
			sends := len(r.sends)
			switch kind := s.Classes[class]; {
			case kind.Idempotency == NonIdempotent && !neverExecuted[status]:
				if sends != 1 || len(r.failed) != 1 {
					t.Errorf("non-idempotent, status %d: %d sends, %d failed", status, sends, len(r.failed))
				}
			case sends != 2:
				t.Errorf("class %d status %d: %d sends, want 2", class, status, sends)
			case kind.Idempotency == IdempotentWithKey && kind.DeduplicationScope != ScopeAll && !neverExecuted[status]:
				if (r.sends[0].endpoint-1)/2 != (r.sends[1].endpoint-1)/2 {
					t.Errorf("class %d status %d: retry outside the deduplication scope", class, status)
				}
			}
		}
	}
}

func TestDeduplicationWindowStartsAtFirstExecutedAttempt(t *testing.T) {
	s := testSettings()
	s.Limits.HedgedRequests = false
	b, r := start(t, s, ready(2))
	b.HandleRequest(1000, testRequest(1, 3, 1000))
	first := r.sends[0].endpoint
	b.HandleOutcome(1000+s.Classes[3].DeduplicationWindow, Outcome{ID: 1, Endpoint: first, Status: Reset})
	if len(r.sends) != 1 || len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("after the window: sends %v, failed %v, rejected %v", r.sends, r.failed, r.rejected)
	}
}

func TestNoEndpointMeansRejection(t *testing.T) {
	b, r := start(t, testSettings(), nil)
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	b.HandleRequest(1000, Request{ID: 2, Deadline: 500})
	if len(r.rejected) != 2 || b.ledger.open != 0 || len(b.ledger.requests) != 0 {
		t.Errorf("rejected %v, open %d", r.rejected, b.ledger.open)
	}
}

func TestUnansweredAttemptEndsAtTheDeadline(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	token := b.ledger.requests[1].timerToken
	b.HandleTimer(1000+second, token)
	if len(r.failed) != 1 || len(r.cancels) != 1 {
		t.Fatalf("failed %v, cancelled %v", r.failed, r.cancels)
	}
	b.HandleOutcome(2*second, Outcome{ID: 1, Endpoint: 1, Status: OK, Latency: second, Answered: true})
	e := b.membership.endpoints[0]
	if e.breaker.accepts != 1 || e.inFlight != 0 || len(b.ledger.requests) != 0 {
		t.Error("a late outcome is not counted")
	}
	b.HandleRequest(3*second, testRequest(2, 0, 3*second))
	b.HandleTimer(3*second, token) // of the ended request, whose slot is in use again
	if len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Error("an old timer ended another request")
	}
}

// Whatever is unusual about a request, it is accepted once and answered once.
func TestUnusualRequestsAreAnsweredOnce(t *testing.T) {
	for name, c := range map[string]struct {
		list  []Endpoint
		in    Request
		twice bool
	}{
		"class out of range":  {list: ready(2), in: Request{ID: 1, Class: 99, Deadline: second}},
		"tenant out of range": {list: ready(2), in: Request{ID: 1, Tenant: 999, Deadline: second}},
		"deadline passed":     {list: ready(2), in: Request{ID: 1, Deadline: 10}},
		"empty list":          {in: Request{ID: 1, Deadline: second}},
		"all draining":        {list: []Endpoint{{ID: 1, State: Draining}}, in: Request{ID: 1, Deadline: second}},
		"repeated id":         {list: ready(2), in: Request{ID: 1, Deadline: second}, twice: true},
		"negative work hint":  {list: ready(2), in: Request{ID: 1, Deadline: second, WorkHint: -5, HasWorkHint: true}},
	} {
		b, r := start(t, testSettings(), c.list)
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
			t.Errorf("%s: %d final answers, %d sends", name, n, len(r.sends))
		}
	}
}
