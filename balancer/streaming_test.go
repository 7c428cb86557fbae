package balancer

import "testing"

// A request whose body is forwarded while it arrives is not counted as in flight, and so not as load, until the last
// byte of its body was sent. Its latency is measured from that instant.
func TestStreamedRequestIsTimedFromItsLastByte(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	in := testRequest(1, 0, 0)
	in.StreamingBody, in.Deadline = true, 600*second
	b.HandleRequest(0, in)
	if len(r.sends) != 1 {
		t.Fatalf("got attempts %v, want one", r.sends)
	}
	if s := b.Stats(0); s.InFlight != 0 || s.Uploading != 1 {
		t.Errorf("while the body is sent: got %d attempts in flight and %d uploading, want 0 and 1", s.InFlight, s.Uploading)
	}
	now := 20 * second
	b.HandleBodyWritten(now, 1, now+second)
	if s := b.Stats(now); s.InFlight != 1 || s.Uploading != 0 {
		t.Errorf("after the body was sent: got %d attempts in flight and %d uploading, want 1 and 0", s.InFlight, s.Uploading)
	}
	if last := len(r.timers) - 1; r.delays[last] != second {
		t.Errorf("got a deadline timer after %d µs, want %d µs", r.delays[last], second)
	}
	b.HandleTimer(now+second, r.timers[len(r.timers)-1])
	if len(r.rejected) != 1 || len(r.cancels) != 1 {
		t.Errorf("at the deadline: got rejected %v, cancelled %v; want one of each", r.rejected, r.cancels)
	}
	b.HandleOutcome(now+second, Outcome{ID: 1, Endpoint: 1, Status: Cancelled, Answered: true})
	if s := b.Stats(now); s.InFlight+s.Uploading != 0 || len(b.ledger.requests) != 0 {
		t.Errorf("after the end: got %d attempts in flight, %d uploading, %d requests in the ledger; want none",
			s.InFlight, s.Uploading, len(b.ledger.requests))
	}
}

// After a failed attempt, a request whose body the host no longer has is rejected if it never executed, and fails if
// it may have executed. A request whose complete body the host still has is retried at another endpoint.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		status                              Status
		bodyWritten, bodyConsumed           bool
		wantSends, wantRejected, wantFailed int
	}{
		{ConnectFailed, false, false, 2, 0, 0},
		{ConnectFailed, false, true, 1, 1, 0},
		{Rejected, true, true, 1, 1, 0},
		{Reset, true, true, 1, 0, 1},
	} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(4))
		in := testRequest(1, 4, 0)
		in.StreamingBody, in.Deadline = true, 600*second
		b.HandleRequest(0, in)
		if c.bodyWritten {
			b.HandleBodyWritten(1000, 1, second)
		}
		b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: c.status, BodyConsumed: c.bodyConsumed})
		if len(r.sends) != c.wantSends || len(r.rejected) != c.wantRejected || len(r.failed) != c.wantFailed {
			t.Errorf("%+v: got %d attempts, %d rejected, %d failed", c, len(r.sends), len(r.rejected), len(r.failed))
		}
	}
}

// Once a streamed response has begun, the client has a part of it. The deadline must then neither end the request nor
// cause another attempt.
func TestStreamedAnswerIsNotInterrupted(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(2))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	b.HandleHeaders(2000, 1, 0, 1000)
	b.HandleTimer(2*second, b.ledger.requests[1].timerToken)
	if len(r.sends) != 1 || len(r.rejected)+len(r.failed) != 0 {
		t.Errorf("after a streamed response began: got attempts %v, rejected %v, failed %v; want only the first attempt",
			r.sends, r.rejected, r.failed)
	}
	b.HandleOutcome(3*second, Outcome{
		ID: 1, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 3 * second, Answered: true,
	})
	if len(b.ledger.requests) != 0 {
		t.Errorf("got %d requests in the ledger after the last one ended, want 0", len(b.ledger.requests))
	}
}
