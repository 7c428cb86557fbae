package balancer

import "testing"

// A request whose body is forwarded while it arrives does not count as load until its last byte, and its latency is
// measured from there.
func TestStreamedRequestIsTimedFromItsLastByte(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	in := testRequest(1, 0, 0)
	in.StreamingBody, in.Deadline = true, 600*second
	b.HandleRequest(0, in)
	if len(r.sends) != 1 {
		t.Fatalf("sends %v", r.sends)
	}
	if s := b.Stats(0); s.InFlight != 0 || s.Uploading != 1 {
		t.Errorf("while it is written: %d in flight, %d being written", s.InFlight, s.Uploading)
	}
	now := 20 * second
	b.HandleBodyWritten(now, 1, now+second)
	if s := b.Stats(now); s.InFlight != 1 || s.Uploading != 0 {
		t.Errorf("once it is written: %d in flight, %d being written", s.InFlight, s.Uploading)
	}
	if last := len(r.timers) - 1; r.delays[last] != second {
		t.Errorf("the timer of its deadline comes after %d, want %d", r.delays[last], second)
	}
	b.HandleTimer(now+second, r.timers[len(r.timers)-1])
	if len(r.rejected) != 1 || len(r.cancels) != 1 {
		t.Errorf("at its deadline: rejected %v, cancelled %v", r.rejected, r.cancels)
	}
	b.HandleOutcome(now+second, Outcome{ID: 1, Endpoint: 1, Status: Cancelled, Answered: true})
	if s := b.Stats(now); s.InFlight+s.Uploading != 0 || len(b.ledger.requests) != 0 {
		t.Errorf("after its end: %d in flight, %d being written, %d open",
			s.InFlight, s.Uploading, len(b.ledger.requests))
	}
}

// A request that can't be sent again is rejected if it never executed, and fails if it may have; one whose body is
// complete goes to another endpoint.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		status                  Status
		written, consumed       bool // the request body
		sends, rejected, failed int
	}{
		{ConnectFailed, false, false, 2, 0, 0},
		{ConnectFailed, false, true, 1, 1, 0},
		{Rejected, true, true, 1, 1, 0},
		{Reset, true, true, 1, 0, 1},
	} {
		b, r := start(t, testSettings(), ready(4))
		in := testRequest(1, 4, 0)
		in.StreamingBody, in.Deadline = true, 600*second
		b.HandleRequest(0, in)
		if c.written {
			b.HandleBodyWritten(1000, 1, second)
		}
		b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: c.status, BodyConsumed: c.consumed})
		if len(r.sends) != c.sends || len(r.rejected) != c.rejected || len(r.failed) != c.failed {
			t.Errorf("%+v: %d sends, %d rejected, %d failed", c, len(r.sends), len(r.rejected), len(r.failed))
		}
	}
}

func TestStreamedAnswerIsNotInterrupted(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	b.HandleHeaders(2000, 1, 0, 1000)
	b.HandleTimer(2*second, b.ledger.requests[1].timerToken)
	if len(r.sends) != 1 || len(r.rejected)+len(r.failed) != 0 {
		t.Error("a request whose streamed answer has begun was ended or hedged")
	}
	b.HandleOutcome(3*second, Outcome{
		ID: 1, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 3 * second, Answered: true,
	})
	if len(b.ledger.requests) != 0 {
		t.Error("the record of an ended request is kept")
	}
}
