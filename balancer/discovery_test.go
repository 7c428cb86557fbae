package balancer

import (
	"slices"
	"testing"
)

// A change that a broken subscription missed may count as notified: the first call after that must leave time for its
// answer within the drain grace, whatever that is, and later ones back off. Without an earlier subscription, the first
// call backs off, too.
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
			failCall := func() Micros { // returns the delay of the next call
				r.timers, r.delays = nil, nil
				b.HandleEndpoints(0, ListFailed, nil)
				i := slices.Index(r.timers, uint32(pollTimerToken))
				if i < 0 {
					t.Fatal("no timer for discovery")
				}
				return r.delays[i]
			}
			b.Start(0)
			b.HandleEndpoints(0, ListCached, ready(2))
			if delay := failCall(); delay < s.Contract.PollInterval/40 {
				t.Errorf("grace %d: after a failed first call polled again after %d", grace, delay)
			}
			b.HandleEndpoints(0, ListDelta, nil)
			for n := range 8 {
				delay := failCall()
				if limit := max(grace/2, minInitialBackoff*3/2+1); n == 0 && delay > limit {
					t.Errorf("grace %d: polled again after %d, want %d at most", grace, delay, limit)
				}
				if limit := min(s.Contract.PollInterval/8, minInitialBackoff/2<<n); delay < limit {
					t.Errorf("grace %d: call %d after %d, want %d at least", grace, n, delay, limit)
				}
			}
		}
	}
}

func TestFailedSubscriptionIsRetried(t *testing.T) {
	s := testSettings()
	s.SubscribeToDiscovery = true
	b, r := start(t, s, ready(2))
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
		t.Fatal("no timer for discovery")
	}
	fireTimer()
	for n := 1; n < 8; n++ {
		if r.watches != n {
			t.Fatalf("%d calls, want %d", r.watches, n)
		}
		before := now
		if n%2 == 0 {
			b.HandleEndpoints(now, ListFailed, nil)
		} // else the answer is lost
		fireTimer()
		if now-before > s.Contract.PollInterval {
			t.Fatalf("polled after %d, want %d at most", now-before, s.Contract.PollInterval)
		}
	}
	if len(b.membership.endpoints) != 2 {
		t.Error("a failed call changed the list")
	}
	b.HandleEndpoints(now, ListDelta, nil)
	n := r.watches
	b.HandleTimer(now+100*second, pollTimerToken)
	if r.watches != n {
		t.Error("polled again while subscribed")
	}
}
