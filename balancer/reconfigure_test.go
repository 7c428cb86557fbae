package balancer

import (
	"slices"
	"testing"
)

// reconfigure puts changed settings in force, and returns the attempts withdrawn.
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

// The estimates of classes and tenants stay with their names, at any position of the new list. New classes and tenants
// start without, and invalid settings change nothing.
func TestReconfigureKeepsEstimatesByName(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "a", QuotaRate: 50}, {Name: "b", QuotaRate: 50}}
	b, _ := start(t, s, ready(2))
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
		t.Errorf("the first class is now %+v with work %v", c.Class, c.work.value)
	}
	read, added := b.demand.classes[4], b.demand.classes[5]
	if read.Name != "read" || read.work.value != 11 || added.work.value != 100 {
		t.Errorf("read %v has work %v, the new class %v", read.Name, read.work.value, added.work.value)
	}
	tenantC, tenantB, tenantA := b.demand.tenants[0], b.demand.tenants[1], b.demand.tenants[2]
	if tenantA.rate(0) != rateA || tenantA.QuotaRate != 60 || tenantB.rate(0) != rateB || tenantC.rate(0) != 0 {
		t.Errorf("tenants a, b, c have rates %v, %v, %v", tenantA.rate(0), tenantB.rate(0), tenantC.rate(0))
	}
	invalid := b.settings
	invalid.Limits.MaxOpenRequests = 0
	if _, err := b.Reconfigure(invalid); err == nil || b.settings.Limits.MaxOpenRequests == 0 {
		t.Errorf("invalid settings: error %v, limit %d", err, b.settings.Limits.MaxOpenRequests)
	}
}

// A request keeps the class that it arrived under, with its deduplication window and scope, while the list is reversed,
// the class changes or is removed.
func TestOpenRequestKeepsItsClass(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"reordered":  func(s *Settings) { slices.Reverse(s.Classes) },
		"removed":    func(s *Settings) { s.Classes = s.Classes[:1] },
		"changed":    func(s *Settings) { s.Classes[3].DeduplicationWindow, s.Classes[3].DeduplicationScope = 1, ScopeAll },
		"idempotent": func(s *Settings) { s.Classes[3].Idempotency = Idempotent },
	} {
		b, r := start(t, testSettings(), ready(8))
		b.HandleRequest(1000, testRequest(1, 3, 1000)) // keyed-cell
		first := r.sends[0]
		if withdrawn := reconfigure(t, b, change); len(withdrawn) > 0 {
			t.Errorf("%s: %v withdrawn", name, withdrawn)
		}
		b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: first.endpoint, Status: Reset, Latency: 1000})
		if len(r.sends) != 2 || (r.sends[1].endpoint-1)/2 != (first.endpoint-1)/2 {
			t.Errorf("%s: sent to %v, want a retry within the cell", name, r.sends)
			continue
		}
		if latest := r.latest[1]; latest > 1000+500_000 || latest < 1000+400_000 {
			t.Errorf("%s: the latest start of the retry is %d, want it by the window that it arrived under", name, latest)
		}
		class := b.ledger.requests[1].class
		b.HandleOutcome(3000, Outcome{
			ID: 1, Attempt: 1, Endpoint: r.sends[1].endpoint, Status: OK, Latency: 1000, Answered: true,
		})
		if len(b.ledger.requests) != 0 || class.servedInTime.value != 1 || class.Name != "keyed-cell" {
			t.Errorf("%s: %d requests remain; share served in time: %v of %s",
				name, len(b.ledger.requests), class.servedInTime.value, class.Name)
		}
	}
}

// A class that becomes stricter is so for every attempt not sent yet: none follows one that may have executed, and the
// answer does not promise that a retry is harmless.
func TestStricterIdempotencyAppliesToOpenRequests(t *testing.T) {
	set := func(to Idempotency) func(*Settings) { return func(s *Settings) { s.Classes[0].Idempotency = to } }
	rename := func(to string) func(*Settings) { return func(s *Settings) { s.Classes[0].Name = to } }
	both := func(first, second func(*Settings)) func(*Settings) {
		return func(s *Settings) { first(s); second(s) }
	}
	for name, c := range map[string]struct {
		changes []func(*Settings)
		retries int
	}{
		"non-idempotent":          {[]func(*Settings){set(NonIdempotent)}, 0},
		"keyed":                   {[]func(*Settings){set(IdempotentWithKey)}, 0}, // it came without a key
		"non-idempotent and back": {[]func(*Settings){set(NonIdempotent), set(Idempotent)}, 0},
		"removed, then non-idempotent": {[]func(*Settings){
			rename("x"), both(rename("read"), set(NonIdempotent)),
		}, 0},
		"unchanged": {[]func(*Settings){set(Idempotent)}, 1},
	} {
		b, r := start(t, testSettings(), ready(4))
		b.HandleRequest(1000, testRequest(1, 0, 1000))
		for _, change := range c.changes {
			reconfigure(t, b, change)
		}
		b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: Reset, Latency: 1000})
		if got := len(r.sends) - 1; got != c.retries {
			t.Errorf("%s: %d retries, want %d", name, got, c.retries)
		}
		if c.retries == 0 && (len(r.failed) != 1 || len(r.rejected) != 0) {
			t.Errorf("%s: failed %v, rejected %v; a rejection would promise that a retry is harmless",
				name, r.failed, r.rejected)
		}
	}
	// An attempt that never executed is still retried.
	b, r := start(t, testSettings(), ready(4))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	reconfigure(t, b, set(NonIdempotent))
	b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: Rejected, Latency: 1000})
	if len(r.sends) != 2 {
		t.Errorf("%d sends after an attempt that never executed, want 2", len(r.sends))
	}
}

// Of several attempts of a request that may have executed, a class that becomes non-idempotent withdraws those in
// flight; a single one goes on.
func TestStricterIdempotencyWithdrawsAttempts(t *testing.T) {
	b, r := start(t, testSettings(), ready(4))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	b.HandleRequest(1000, testRequest(2, 0, 1000))
	b.HandleOutcome(2000, Outcome{ID: 2, Endpoint: r.sends[1].endpoint, Status: Reset, Latency: 1000})
	if len(r.sends) != 3 {
		t.Fatalf("sends %v, want a retry of the second request", r.sends)
	}
	restrict := func(s *Settings) { s.Classes[0].Idempotency = NonIdempotent }
	if got := reconfigure(t, b, restrict); !slices.Equal(got, []AttemptID{{2, 1}}) {
		t.Errorf("withdrawn %v, want the retry of the second request", got)
	}
	b.HandleOutcome(3000, Outcome{ID: 2, Attempt: 1, Endpoint: r.sends[2].endpoint, Status: NotSent})
	if !slices.Equal(r.failed, []uint64{2}) || len(r.sends) != 3 {
		t.Errorf("failed %v after sends %v, want the second request failed", r.failed, r.sends)
	}
}

// A request that was read under earlier settings is resolved by their names: by its own class, also if that was
// removed, and under the stricter rule if it changed.
func TestRequestReceivedUnderEarlierSettings(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "a", QuotaRate: 50}, {Name: "b", QuotaRate: 50}}
	b, r := start(t, s, ready(4))
	reconfigure(t, b, func(s *Settings) {
		s.Classes = []Class{s.Classes[4], s.Classes[0]}
		s.Classes[1].Idempotency = NonIdempotent
		s.Tenants = []Tenant{s.Tenants[1]}
	})
	for id, c := range []struct {
		class       uint8  // position under the earlier settings
		tenant      uint16 // position under the earlier settings
		name        string
		idempotency Idempotency
		owner       *tenant
	}{
		{0, 0, "read", NonIdempotent, nil},
		{1, 1, "keyed-all", IdempotentWithKey, b.demand.tenants[0]},
		{4, 9, "write", NonIdempotent, nil},
	} {
		in := testRequest(uint64(id+1), c.class, 1000)
		in.Tenant, in.ReceivedUnder = c.tenant, &s
		b.HandleRequest(1000, in)
		got := b.ledger.requests[in.ID]
		if got == nil || got.class.Name != c.name || got.idempotency != c.idempotency ||
			got.tenant != c.owner || got.ReceivedUnder != nil {
			t.Errorf("request %d is recorded as %+v, want class %s", in.ID, got, c.name)
		}
	}
	in := testRequest(9, 7, 1000)
	in.ReceivedUnder = &s
	if b.HandleRequest(1000, in); !slices.Equal(r.rejected, []uint64{9}) || len(r.sends) != 3 {
		t.Errorf("rejected %v, sends %v; want the request of an unknown class rejected", r.rejected, r.sends)
	}
}

// New limits and prices apply from then on. Probe rounds that one change stops and another starts must not run twice.
func TestReconfiguredLimits(t *testing.T) {
	b, r := start(t, testSettings(), ready(4))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	b.HandleRequest(1000, testRequest(2, 0, 1000))
	reconfigure(t, b, func(s *Settings) { s.Limits.MaxOpenRequests, s.Prices.Probe = 2, 0.01 })
	b.HandleRequest(2000, testRequest(3, 0, 2000))
	if !slices.Equal(r.rejected, []uint64{3}) || b.ledger.open != 2 || b.probes.probesPerRequest != 2 {
		t.Errorf("rejected %v with %d open, %v probes a request", r.rejected, b.ledger.open, b.probes.probesPerRequest)
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
		t.Error("a second series of probe rounds is started")
	}
	permitProbes(false)
	probes := len(r.probes)
	if b.HandleTimer(second, probeTimerToken); scheduledRounds() != scheduled || len(r.probes) != probes {
		t.Error("probe rounds continue though probes are not permitted")
	}
	if permitProbes(true); scheduledRounds() != scheduled+1 {
		t.Error("probe rounds do not start once probes are permitted")
	}
}

// Many changes do not accumulate: a free record refers to one class at most.
func TestReconfigureKeepsNoOldSettings(t *testing.T) {
	b, _ := start(t, testSettings(), ready(4))
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
		t.Errorf("%d classes, %d tenants, %d requests, %d records", classes, tenants, requests, records)
	}
}
