package balancer

import (
	"slices"
	"testing"
)

// A balancer whose subscription breaks may miss a change of the endpoint list, although the protocol regards it as
// notified. A draining endpoint serves requests only for the drain grace. The first call after the break must
// therefore come early enough for its answer to arrive within the drain grace, however short or long that grace is.
// Later calls back off. If the balancer was not subscribed before, its first call backs off, too.
func TestBrokenSubscriptionIsRenewedWithinDrainGrace(t *testing.T) {
	for _, grace := range []Micros{0, second / 5, second / 2, 2 * second, 30 * second} {
		s := testSettings()
		s.SubscribeToDiscovery, s.Contract.DrainGrace = true, grace
		for seed := range uint64(20) {
			r := &recorder{}
			b, err := New(s, seed, r)
			if err != nil {
				t.Fatal(err)
			}
			failCall := func() Micros { // fails the pending call and returns the delay of the next call
				r.timers, r.delays = nil, nil
				b.HandleEndpoints(0, ListFailed, nil)
				i := slices.Index(r.timers, uint32(pollTimerToken))
				if i < 0 {
					t.Fatal("no timer was started for the next call to discovery")
				}
				return r.delays[i]
			}
			b.Start(0)
			b.HandleEndpoints(0, ListCached, readyEndpoints(2))
			if delay := failCall(); delay < s.Contract.PollInterval/40 {
				t.Errorf("drain grace %d us: next call %d us after a failed first call, want %d us at least",
					grace, delay, s.Contract.PollInterval/40)
			}
			b.HandleEndpoints(0, ListDelta, nil)
			for n := range 8 {
				delay := failCall()
				if limit := max(grace/2, minInitialBackoff*3/2+1); n == 0 && delay > limit {
					t.Errorf("drain grace %d us: first call %d us after the break, want %d us at most", grace, delay, limit)
				}
				if limit := min(s.Contract.PollInterval/8, minInitialBackoff/2<<n); delay < limit {
					t.Errorf("drain grace %d us: call %d has a delay of %d us, want %d us at least", grace, n, delay, limit)
				}
			}
		}
	}
}

// If a call to discovery fails or its answer is lost, the balancer must keep its endpoints and call again: otherwise
// its endpoint list would never change again. Once subscribed, it must not call.
func TestFailedSubscriptionIsRetried(t *testing.T) {
	s := testSettings()
	s.SubscribeToDiscovery = true
	b, r := startBalancer(t, s, readyEndpoints(2))
	now := Micros(0)
	fireTimer := func() {
		for i, token := range r.timers {
			if token == pollTimerToken {
				now += r.delays[i]
				r.timers, r.delays = nil, nil
				b.HandleTimer(now, pollTimerToken)
				return
			}
		}
		t.Fatal("no timer was started for the next call to discovery")
	}
	fireTimer()
	for n := 1; n < 8; n++ {
		if r.watches != n {
			t.Fatalf("%d calls to discovery, want %d", r.watches, n)
		}
		before := now
		if n%2 == 0 {
			b.HandleEndpoints(now, ListFailed, nil)
		} // if n is odd, the answer to the call is lost
		fireTimer()
		if now-before > s.Contract.PollInterval {
			t.Fatalf("call %d came %d us after the one before, want %d us at most", n+1, now-before, s.Contract.PollInterval)
		}
	}
	if len(b.membership.endpoints) != 2 {
		t.Errorf("%d endpoints after failed calls, want 2 as before", len(b.membership.endpoints))
	}
	b.HandleEndpoints(now, ListDelta, nil)
	n := r.watches
	b.HandleTimer(now+100*second, pollTimerToken)
	if r.watches != n {
		t.Errorf("%d calls to discovery after subscribing, want none", r.watches-n)
	}
}
