package balancer

import "testing"

// withNames sets the name of each endpoint of a list, in place, to 100 plus its ID. It returns the list.
func withNames(list []Endpoint) []Endpoint {
	for i := range list {
		list[i].Name = uint64(100 + list[i].ID)
	}
	return list
}

// A cordoned endpoint gets neither requests nor probes, whatever its state in discovery. Cordoning and uncordoning are
// idempotent.
func TestCordonedEndpointGetsNothing(t *testing.T) {
	list := withNames(readyEndpoints(2))
	b, r := startBalancer(t, testSettings(), list)
	now := Micros(0)
	id := uint64(0)
	// sendRequests sends 200 requests. It returns the number of probes of endpoint 1 and, by endpoint ID, the number of
	// attempts.
	sendRequests := func() (probes int, sends [3]int) {
		r.sends = r.sends[:0]
		for range 200 {
			now += 20_000
			id++
			b.HandleRequest(now, testRequest(id, 0, now))
			b.HandleTimer(now, probeTimerToken)
			for _, p := range r.probes {
				b.HandleProbe(now, p, OK, 1000, []float32{0})
				if p == 1 {
					probes++
				}
			}
			r.probes = r.probes[:0]
			s := r.sends[len(r.sends)-1]
			sends[s.endpoint]++
			b.HandleOutcome(now+10_000, Outcome{
				ID: s.id, Endpoint: s.endpoint, Status: OK, Latency: 10_000, Answered: true,
			})
		}
		return probes, sends
	}
	if probes, sends := sendRequests(); sends[1] == 0 || probes == 0 {
		t.Fatalf("before the cordon: %d probes of endpoint 1, sends by endpoint %v, want some of both", probes, sends)
	}
	b.Cordon(now, 101, true, now)
	b.Cordon(now, 101, true, now)
	restarted := list[0]
	restarted.StartTime = now + 1
	removed := list[0]
	removed.State = Removed
	for name, updates := range map[string][]Endpoint{
		"no update": nil, "a restart": {restarted}, "a removal and return": {removed, restarted},
	} {
		for i := range updates {
			b.HandleEndpoints(now, ListDelta, updates[i:i+1])
		}
		if probes, sends := sendRequests(); sends[1] != 0 || probes != 0 || sends[2] != 200 {
			t.Errorf("cordoned, after %s: %d probes of endpoint 1, sends by endpoint %v, want all 200 at 2", name, probes, sends)
		}
	}
	if s := b.Stats(now); s.Cordoned != 1 {
		t.Errorf("%d endpoints counted as cordoned, want 1", s.Cordoned)
	}
	b.Cordon(now, 101, false, now)
	e := b.membership.byID[1]
	if !e.isWarming(now, &b.settings.Contract) {
		t.Error("endpoint 1 is not warming up after uncordoning, want it to")
	}
	if probes, sends := sendRequests(); sends[1] == 0 {
		t.Errorf("after uncordoning: %d probes of endpoint 1, sends by endpoint %v, want some at 1", probes, sends)
	}
	warmingSince := e.warmingSince
	if b.Cordon(now, 101, false, now); b.membership.byID[1].warmingSince != warmingSince {
		t.Errorf("warming since %d after uncordoning twice, want %d as before",
			b.membership.byID[1].warmingSince, warmingSince)
	}
}

// An endpoint that is cordoned before it is first listed stays cordoned.
func TestCordonBeforeListing(t *testing.T) {
	b, r := startBalancer(t, testSettings(), nil)
	b.Cordon(0, 101, true, 0)
	b.HandleEndpoints(0, ListFull, withNames(readyEndpoints(1)))
	b.HandleRequest(1, testRequest(1, 0, 1))
	if len(r.sends) != 0 || len(r.rejected) != 1 {
		t.Errorf("sent %v, rejected %v, want none sent and request 1 rejected", r.sends, r.rejected)
	}
}

// An endpoint that is no longer cordoned gets a request at once, although warm endpoints would answer sooner. Only a
// few of a thousand balancers may send it a request at once, since a request from every balancer could overload it.
func TestUncordonedEndpointIsUsedSoon(t *testing.T) {
	used := 0
	for seed := range uint64(1000) {
		s := testSettings()
		s.Balancers = 1000
		r := &recorder{}
		b, err := New(s, seed, r)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.HandleEndpoints(0, ListCached, withNames(readyEndpoints(10)))
		now := 30 * second
		b.Cordon(now, 101, true, now)
		b.Cordon(now, 101, false, now)
		b.HandleProbe(now+1000, 1, OK, 1000, []float32{0})
		b.HandleRequest(now+2000, testRequest(1, 0, now+2000))
		if len(r.sends) == 1 && r.sends[0].endpoint == 1 {
			used++
		}
	}
	if used < 1 || used > 4*maxTrialBalancers {
		t.Errorf("%d of 1000 balancers sent to the uncordoned endpoint at once, want 1 to %d", used, 4*maxTrialBalancers)
	}
}

// Guards against a set of names that grows with each endpoint that operators have ever cordoned and uncordoned.
func TestUncordonedNamesAreForgotten(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), withNames(readyEndpoints(2)))
	for name := uint64(1); name <= 200; name++ { // includes the names of endpoints that are listed
		b.Cordon(Micros(name), name, true, 0)
		b.Cordon(Micros(name), name, false, 0)
	}
	if n := len(b.membership.cordoned); n != 0 {
		t.Errorf("got %d names of cordoned endpoints after all were uncordoned, want none", n)
	}
}
