package balancer

import (
	"encoding/json"
	"math"
	"testing"
)

// A new process of a sidecar continues from the estimates of the previous one, from its first request on. Only the
// estimates of an endpoint that has been restarted since are not taken over.
func TestRestoreContinuesFromEstimates(t *testing.T) {
	list := withNames(readyEndpoints(4))
	list[3].StartTime = 5
	old, r := startBalancer(t, testSettings(), list)
	for id := range uint64(400) {
		now := Micros(id) * 50_000
		old.HandleRequest(now, testRequest(id+1, 0, now))
		for _, p := range r.probes {
			old.HandleProbe(now, p, OK, 5000, []float32{float32((id/8 + uint64(p)) % 4)})
		}
		s := r.sends[len(r.sends)-1]
		latency := 100_000 + 1000*Micros(s.endpoint)
		old.HandleOutcome(now+latency, Outcome{
			ID: s.id, Endpoint: s.endpoint, Status: OK, Latency: latency, Answered: true,
		})
	}
	now := 20 * second
	text, err := json.Marshal(old.Estimates())
	if err != nil {
		t.Fatal(err)
	}
	var restored Estimates
	if err := json.Unmarshal(text, &restored); err != nil {
		t.Fatal(err)
	}
	list[3].StartTime = 6
	next, err := New(testSettings(), 8, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	next.Start(now)
	next.Restore(&restored)
	next.HandleEndpoints(now, ListCached, list)
	type learned struct{ work, typicalLoad, zoneLatency float64 }
	learnedBy := func(b *Balancer) learned {
		return learned{
			b.demand.classes[0].work.value, b.estimates.typicalLoad.value, b.estimates.zoneLatencies[0].median,
		}
	}
	if got, want := learnedBy(next), learnedBy(old); got != want {
		t.Errorf("restored estimates %+v, want %+v", got, want)
	}
	measured := 0
	for id := uint32(1); id <= 3; id++ {
		want := old.estimates.serviceTimeRatio(now, old.membership.byID[id])
		got := next.estimates.serviceTimeRatio(now, next.membership.byID[id])
		if math.Abs(want-got) > 1e-9 {
			t.Errorf("service time ratio of endpoint %d: %v, want %v", id, got, want)
		}
		if old.membership.byID[id].serviceTimeRatio.initialized {
			measured++
		}
	}
	if measured < 2 {
		t.Errorf("%d of endpoints 1 to 3 have a measured service time ratio, want at least 2", measured)
	}
	if next.membership.byID[4].serviceTimeRatio.initialized {
		t.Error("endpoint 4, a new process, has a service time ratio, want none from the old process")
	}
}

// Estimates that are invalid, or that name only other classes, must not change the work of a class or make an estimate
// invalid.
func TestInvalidEstimatesAreIgnored(t *testing.T) {
	noWork := []ClassWorkEstimate{{"read", 0}}
	otherClass := []ClassWorkEstimate{{"elsewhere", 1}}
	for name, invalid := range map[string]Estimates{
		"empty":                       {},
		"other classes":               {ServiceTimeRatio: 2, ClassWork: otherClass},
		"NaN service time ratio":      {ServiceTimeRatio: math.NaN(), ClassWork: noWork},
		"infinite service time ratio": {ServiceTimeRatio: math.Inf(1), ClassWork: noWork},
		"no work":                     {ServiceTimeRatio: 1, ClassWork: noWork, WarmingSlowness: 9},
	} {
		b, _ := startBalancer(t, testSettings(), readyEndpoints(2))
		before := b.demand.classes[0].work.value
		b.Restore(&invalid)
		work, slowness := b.demand.classes[0].work.value, b.estimates.warmingSlowness.value
		ratio := b.estimates.fleetServiceTimeRatio
		if work != before || slowness > 1 || !isPositiveFinite(ratio.valueOr(1)) {
			t.Errorf("%s: work %v, warming slowness %v, service time ratio %v; want work %v, slowness up to 1, a finite ratio",
				name, work, slowness, ratio.value, before)
		}
	}
}

// The next process may have the classes in another order, and new classes: the work of a class is restored by its name.
func TestClassWorkIsRestoredByName(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(2))
	for i, c := range b.demand.classes {
		c.work.value = float64(i + 1)
	}
	b.estimates.fleetServiceTimeRatio.add(1, 1)
	estimates := b.Estimates()
	s := testSettings()
	s.Classes = []Class{{Name: "new", LatencyObjective: 500, ClientTimeout: second}, s.Classes[4], s.Classes[0]}
	next, _ := startBalancer(t, s, readyEndpoints(2))
	next.Restore(&estimates)
	var got [3]float64
	for i, c := range next.demand.classes {
		got[i] = c.work.value
	}
	if got != [...]float64{100, 5, 1} {
		t.Errorf("work of the classes new, write and read: %v, want 100, 5 and 1", got)
	}
}
