package balancer

import (
	"slices"
	"testing"
)

// reconfigure applies a change to the balancer's settings, and returns the attempts that the host must withdraw.
func reconfigure(t *testing.T, b *Balancer, change func(*Settings)) []AttemptID {
	t.Helper()
	next := b.settings
	next.Classes, next.Tenants = slices.Clone(b.settings.Classes), slices.Clone(b.settings.Tenants)
	change(&next)
	withdrawn, err := b.Reconfigure(next)
	if err != nil {
		t.Fatal(err)
	}
	return withdrawn
}

// Classes and tenants keep their estimates by name, at any index of the new lists. New classes and tenants start
// without learned estimates. Invalid settings change nothing.
func TestReconfigureKeepsEstimatesByName(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "a", QuotaRate: 50}, {Name: "b", QuotaRate: 50}}
	b, _ := startBalancer(t, s, readyEndpoints(2))
	b.demand.classNamed("read").work.value, b.demand.classNamed("write").work.value = 11, 22
	b.demand.tenantNamed("a").add(0, 30)
	b.demand.tenantNamed("b").add(0, 60)
	rateA, rateB := b.demand.tenantNamed("a").rate(0), b.demand.tenantNamed("b").rate(0)
	reconfigure(t, b, func(s *Settings) {
		slices.Reverse(s.Classes)
		s.Classes = append(s.Classes, Class{Name: "new", LatencyObjective: 500, ClientTimeout: second})
		s.Classes[0].LatencyObjective = 300_000
		s.Tenants = []Tenant{{Name: "c", QuotaRate: 5}, {Name: "b", QuotaRate: 40}, {Name: "a", QuotaRate: 60}}
	})
	if c := b.demand.classes[0]; c.Name != "write" || c.work.value != 22 || c.LatencyObjective != 300_000 {
		t.Errorf("first class: got %+v with work %v, want write with work 22 and objective 300000", c.Class, c.work.value)
	}
	read, added := b.demand.classes[4], b.demand.classes[5]
	if read.Name != "read" || read.work.value != 11 || added.work.value != 100 {
		t.Errorf("got class %q with work %v and a new class with work %v; want \"read\" with 11, and 100",
			read.Name, read.work.value, added.work.value)
	}
	tenantC, tenantB, tenantA := b.demand.tenants[0], b.demand.tenants[1], b.demand.tenants[2]
	if tenantA.rate(0) != rateA || tenantA.QuotaRate != 60 || tenantB.rate(0) != rateB || tenantC.rate(0) != 0 {
		t.Errorf("got request rates %v, %v, %v of tenants a, b, c and quota %v of a; want %v, %v, 0 and 60",
			tenantA.rate(0), tenantB.rate(0), tenantC.rate(0), tenantA.QuotaRate, rateA, rateB)
	}
	invalid := b.settings
	invalid.Limits.MaxOpenRequests = 0
	if _, err := b.Reconfigure(invalid); err == nil || b.settings.Limits.MaxOpenRequests == 0 {
		t.Errorf("invalid settings: got error %v and limit %d in force, want an error and the earlier limit",
			err, b.settings.Limits.MaxOpenRequests)
	}
}

// A request keeps the class under which it arrived, with its deduplication window and scope, even if the list of
// classes is reversed or the class is changed or removed.
func TestOpenRequestKeepsItsClass(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"reordered":  func(s *Settings) { slices.Reverse(s.Classes) },
		"removed":    func(s *Settings) { s.Classes = s.Classes[:1] },
		"changed":    func(s *Settings) { s.Classes[3].DeduplicationWindow, s.Classes[3].DeduplicationScope = 1, ScopeAll },
		"idempotent": func(s *Settings) { s.Classes[3].Idempotency = Idempotent },
	} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(8))
		b.HandleRequest(1000, testRequest(1, 3, 1000)) // keyed-cell
		first := r.sends[0]
		if withdrawn := reconfigure(t, b, change); len(withdrawn) > 0 {
			t.Errorf("%s: got withdrawn attempts %v, want none", name, withdrawn)
		}
		b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: first.endpoint, Status: Reset, Latency: 1000})
		if len(r.sends) != 2 || (r.sends[1].endpoint-1)/2 != (first.endpoint-1)/2 {
			t.Errorf("%s: got attempts %v, want one retry within the cell of the first", name, r.sends)
			continue
		}
		if latest := r.latestStarts[1]; latest > 1000+500_000 || latest < 1000+400_000 {
			t.Errorf("%s: got latest start %d of the retry, want 401000 to 501000 by the window at its arrival", name, latest)
		}
		class := b.ledger.requests[1].class
		b.HandleOutcome(3000, Outcome{
			ID: 1, Attempt: 1, Endpoint: r.sends[1].endpoint, Status: OK, Latency: 1000, Answered: true,
		})
		if len(b.ledger.requests) != 0 || class.servedInTime.value != 1 || class.Name != "keyed-cell" {
			t.Errorf("%s: got %d requests in the ledger and share %v served in time of class %s, want 0 and 1 of keyed-cell",
				name, len(b.ledger.requests), class.servedInTime.value, class.Name)
		}
	}
}

// If a class becomes stricter about repeated execution, that also applies to its open requests. After an attempt that
// may have executed, no other attempt is sent, and the final answer does not promise that a retry is harmless.
func TestStricterIdempotencyAppliesToOpenRequests(t *testing.T) {
	setIdempotency := func(to Idempotency) func(*Settings) { return func(s *Settings) { s.Classes[0].Idempotency = to } }
	renameClass := func(to string) func(*Settings) { return func(s *Settings) { s.Classes[0].Name = to } }
	inOrder := func(first, second func(*Settings)) func(*Settings) {
		return func(s *Settings) { first(s); second(s) }
	}
	for name, c := range map[string]struct {
		changes []func(*Settings)
		retries int
	}{
		"non-idempotent":          {[]func(*Settings){setIdempotency(NonIdempotent)}, 0},
		"keyed":                   {[]func(*Settings){setIdempotency(IdempotentWithKey)}, 0}, // the request has no key
		"non-idempotent and back": {[]func(*Settings){setIdempotency(NonIdempotent), setIdempotency(Idempotent)}, 0},
		"removed, then non-idempotent": {[]func(*Settings){
			renameClass("x"), inOrder(renameClass("read"), setIdempotency(NonIdempotent)),
		}, 0},
		"unchanged": {[]func(*Settings){setIdempotency(Idempotent)}, 1},
	} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(4))
		b.HandleRequest(1000, testRequest(1, 0, 1000))
		for _, change := range c.changes {
			reconfigure(t, b, change)
		}
		b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: Reset, Latency: 1000})
		if got := len(r.sends) - 1; got != c.retries {
			t.Errorf("%s: got %d retries, want %d", name, got, c.retries)
		}
		if c.retries == 0 && (len(r.failed) != 1 || len(r.rejected) != 0) {
			t.Errorf("%s: got failed %v, rejected %v; want a failure, since a rejection promises that a retry is harmless",
				name, r.failed, r.rejected)
		}
	}
	// An attempt that never executed is still retried.
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	reconfigure(t, b, setIdempotency(NonIdempotent))
	b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: Rejected, Latency: 1000})
	if len(r.sends) != 2 {
		t.Errorf("got %d attempts where the first never executed, want 2", len(r.sends))
	}
}

// Guards against a keyed request that is executed twice after a new configuration has made the group of its class smaller:
// its retries go only to endpoints of the smaller group, its attempts in flight elsewhere are withdrawn, and its final answer
// does not promise that a retry is harmless.
func TestSmallerDeduplicationScopeAppliesToOpenRequests(t *testing.T) {
	for _, scope := range []DeduplicationScope{ScopeZone, ScopeCell} {
		narrow := func(s *Settings) { s.Classes[1].DeduplicationScope = scope } // keyed-all
		for seed := range 20 {
			b, r := startBalancer(t, testSettings(), readyEndpoints(8))
			b.random = splitMix64(seed)
			b.HandleRequest(1000, testRequest(1, 1, 1000))
			first := r.sends[0]
			reconfigure(t, b, narrow)
			b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: first.endpoint, Status: Reset, Latency: 1000})
			if len(r.sends) != 2 || (r.sends[1].endpoint-1)/2 != (first.endpoint-1)/2 {
				t.Fatalf("scope %d: got attempts %v, want one retry within the group of the first", scope, r.sends)
			}
			b.HandleOutcome(3000, Outcome{ID: 1, Attempt: 1, Endpoint: r.sends[1].endpoint, Status: Reset, Latency: 1000})
			if len(r.sends) != 2 || len(r.failed) != 1 || len(r.rejected) != 0 {
				t.Fatalf("scope %d: got attempts %v, failed %v, rejected %v; want two attempts and a failure",
					scope, r.sends, r.failed, r.rejected)
			}
		}
		b, r := startBalancer(t, testSettings(), readyEndpoints(8))
		b.retries.lossRate.value = minHedgingLossRate
		b.HandleRequest(1000, testRequest(1, 1, 1000))
		first := r.sends[0]
		for _, e := range b.membership.list() { // leave only endpoints of other groups for the hedged request
			e.cordoned = (e.ID-1)/2 == (first.endpoint-1)/2 && e.ID != first.endpoint
		}
		b.membership.byID[first.endpoint].lastAnsweredSentAt = 2000
		b.HandleTimer(500_000, r.timers[len(r.timers)-1])
		if len(r.sends) != 2 {
			t.Fatalf("scope %d: got attempts %v, want a hedged request", scope, r.sends)
		}
		if got, want := reconfigure(t, b, narrow), []AttemptID{{1, 1}}; !slices.Equal(got, want) {
			t.Errorf("scope %d: got withdrawn attempts %v, want %v, the one outside the group", scope, got, want)
		}
	}
}

// If a class becomes non-idempotent and several attempts of an open request may have executed, the attempts of this
// request that are in flight are withdrawn. If only one attempt may have executed, that attempt continues.
func TestStricterIdempotencyWithdrawsAttempts(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	b.HandleRequest(1000, testRequest(2, 0, 1000))
	b.HandleOutcome(2000, Outcome{ID: 2, Endpoint: r.sends[1].endpoint, Status: Reset, Latency: 1000})
	if len(r.sends) != 3 {
		t.Fatalf("got attempts %v, want a third one, a retry of request 2", r.sends)
	}
	restrict := func(s *Settings) { s.Classes[0].Idempotency = NonIdempotent }
	if got := reconfigure(t, b, restrict); !slices.Equal(got, []AttemptID{{2, 1}}) {
		t.Errorf("got withdrawn attempts %v, want the retry of request 2", got)
	}
	b.HandleOutcome(3000, Outcome{ID: 2, Attempt: 1, Endpoint: r.sends[2].endpoint, Status: NotSent})
	if !slices.Equal(r.failed, []uint64{2}) || len(r.sends) != 3 {
		t.Errorf("got failed %v after attempts %v, want request 2 failed without another retry", r.failed, r.sends)
	}
}

// If a request was received under earlier settings, its class and tenant are looked up by the names that the earlier
// settings give them. The class applies even if the current settings no longer have it. If the current settings have a
// class of the same name that is stricter about repeated execution, the request is treated as non-idempotent.
func TestRequestReceivedUnderEarlierSettings(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "a", QuotaRate: 50}, {Name: "b", QuotaRate: 50}}
	b, r := startBalancer(t, s, readyEndpoints(4))
	reconfigure(t, b, func(s *Settings) {
		s.Classes = []Class{s.Classes[4], s.Classes[0]}
		s.Classes[1].Idempotency = NonIdempotent
		s.Tenants = []Tenant{s.Tenants[1]}
	})
	for id, c := range []struct {
		class           uint8  // index in the earlier settings
		tenant          uint16 // index in the earlier settings
		wantClass       string
		wantIdempotency Idempotency
		wantTenant      *tenant
	}{
		{0, 0, "read", NonIdempotent, nil},
		{1, 1, "keyed-all", IdempotentWithKey, b.demand.tenants[0]},
		{4, 9, "write", NonIdempotent, nil},
	} {
		in := testRequest(uint64(id+1), c.class, 1000)
		in.Tenant, in.ReceivedUnder = c.tenant, &s
		b.HandleRequest(1000, in)
		got := b.ledger.requests[in.ID]
		if got == nil || got.class.Name != c.wantClass || got.idempotency != c.wantIdempotency ||
			got.tenant != c.wantTenant || got.ReceivedUnder != nil {
			t.Errorf("request %d: got record %+v, want class %s, idempotency %d and tenant %+v",
				in.ID, got, c.wantClass, c.wantIdempotency, c.wantTenant)
		}
	}
	in := testRequest(9, 7, 1000)
	in.ReceivedUnder = &s
	if b.HandleRequest(1000, in); !slices.Equal(r.rejected, []uint64{9}) || len(r.sends) != 3 {
		t.Errorf("got rejected %v after attempts %v, want request 9 of an unknown class rejected", r.rejected, r.sends)
	}
}

// New limits and prices apply at once. If one change of the settings stops the probe rounds and the next one starts
// them again, there must still be only one series of rounds.
func TestReconfiguredLimits(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	b.HandleRequest(1000, testRequest(2, 0, 1000))
	reconfigure(t, b, func(s *Settings) { s.Limits.MaxOpenRequests, s.Prices.Probe = 2, 0.01 })
	b.HandleRequest(2000, testRequest(3, 0, 2000))
	if !slices.Equal(r.rejected, []uint64{3}) || b.ledger.open != 2 || b.probes.probesPerRequest != 2 {
		t.Errorf("got rejected %v, %d open requests, %v probes per request; want request 3 rejected, 2 and 2",
			r.rejected, b.ledger.open, b.probes.probesPerRequest)
	}
	scheduledRounds := func() (n int) {
		for _, token := range r.timers {
			n += int(indicator(token == probeTimerToken))
		}
		return n
	}
	permitProbes := func(on bool) { reconfigure(t, b, func(s *Settings) { s.Limits.Probes = on }) }
	scheduled := scheduledRounds()
	permitProbes(false)
	permitProbes(true)
	if scheduledRounds() != scheduled {
		t.Errorf("got %d scheduled probe rounds after probes were forbidden and permitted again, want %d",
			scheduledRounds(), scheduled)
	}
	permitProbes(false)
	probes := len(r.probes)
	if b.HandleTimer(second, probeTimerToken); scheduledRounds() != scheduled || len(r.probes) != probes {
		t.Errorf("probes not permitted: got %d scheduled probe rounds and %d probes, want %d and %d",
			scheduledRounds(), len(r.probes), scheduled, probes)
	}
	if permitProbes(true); scheduledRounds() != scheduled+1 {
		t.Errorf("probes permitted again: got %d scheduled probe rounds, want %d", scheduledRounds(), scheduled+1)
	}
}

// The balancer must not accumulate memory over many changes of the settings. A ledger record that no request uses
// refers to at most one class, and the classes and tenants of earlier settings are dropped.
func TestReconfigureKeepsNoOldSettings(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(4))
	for i := range 1000 {
		now := Micros(i) * 1000
		reconfigure(t, b, func(s *Settings) {
			s.Classes[0].Name = string(rune('a' + i%26))
			s.Tenants = []Tenant{{Name: string(rune('a' + i%26)), QuotaRate: 1}}
		})
		b.HandleRequest(now, testRequest(uint64(i), 0, now))
		b.HandleClientGone(now, uint64(i))
		for _, r := range b.ledger.slots {
			for attempt := range r.attempts {
				b.HandleOutcome(now, Outcome{ID: r.ID, Attempt: attempt, Status: Cancelled, Answered: true})
			}
		}
	}
	classes, tenants := len(b.demand.classes), len(b.demand.tenants)
	requests, records := len(b.ledger.requests), len(b.ledger.slots)
	if classes != 5 || tenants != 1 || requests != 0 || records > 2 {
		t.Errorf("got %d classes, %d tenants, %d requests, %d records; want 5, 1, 0 and at most 2",
			classes, tenants, requests, records)
	}
}
