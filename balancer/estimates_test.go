package balancer

import (
	"encoding/json"
	"math"
	"testing"
)

// The next process continues from the estimates of the one before, from its first request on; a new process of an
// endpoint shares nothing with the old.
func TestRestoreContinuesFromEstimates(t *testing.T) {
	list := withNames(ready(4))
	list[3].StartTime = 5
	old, r := start(t, testSettings(), list)
	for id := range uint64(400) {
		now := Micros(id) * 50_000
		old.HandleRequest(now, testRequest(id+1, 0, now))
		for _, p := range r.probes {
			old.HandleProbe(now, p, OK, 5000, []float32{float32((id/8 + uint64(p)) % 4)})
		}
		s := r.sends[len(r.sends)-1]
		took := 100_000 + 1000*Micros(s.endpoint)
		old.HandleOutcome(now+took, Outcome{ID: s.id, Endpoint: s.endpoint, Status: OK, Latency: took, Answered: true})
	}
	now := 20 * second
	text, err := json.Marshal(old.Estimates())
	if err != nil {
		t.Fatal(err)
	}
	var l Estimates
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	list[3].StartTime = 6
	next, err := New(testSettings(), 8, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	next.Start(now)
	next.Restore(&l)
	next.HandleEndpoints(now, ListCached, list)
	work := next.demand.classes[0].work.value
	if work != old.demand.classes[0].work.value || next.estimates.typicalLoad.value != old.estimates.typicalLoad.value || next.estimates.zoneLatencies[0].median != old.estimates.zoneLatencies[0].median {
		t.Errorf("work %v, typical load %v, zone latency %v; want %v, %v, %v", work, next.estimates.typicalLoad.value, next.estimates.zoneLatencies[0].median,
			old.demand.classes[0].work.value, old.estimates.typicalLoad.value, old.estimates.zoneLatencies[0].median)
	}
	seen := 0
	for id := uint32(1); id <= 3; id++ {
		was, is := old.estimates.serviceTimeRatio(now, old.membership.byID[id]), next.estimates.serviceTimeRatio(now, next.membership.byID[id])
		if math.Abs(was-is) > 1e-9 {
			t.Errorf("service time ratio of endpoint %d: %v, was %v", id, is, was)
		}
		if old.membership.byID[id].serviceTimeRatio.initialized {
			seen++
		}
	}
	if seen < 2 {
		t.Error("few endpoints have a service time ratio: the test shows little")
	}
	if next.membership.byID[4].serviceTimeRatio.initialized {
		t.Error("a new process takes over the service time ratio of the old")
	}
}

// Estimates that are invalid, or from other settings, change nothing.
func TestInvalidEstimatesAreIgnored(t *testing.T) {
	unknown := []ClassWorkEstimate{{"read", 0}}
	for name, l := range map[string]Estimates{
		"nothing": {}, "other classes": {ServiceTimeRatio: 2, ClassWork: []ClassWorkEstimate{{"elsewhere", 1}}}, "no service time ratio": {ServiceTimeRatio: math.NaN(), ClassWork: unknown},
		"endless": {ServiceTimeRatio: math.Inf(1), ClassWork: unknown}, "no work": {ServiceTimeRatio: 1, ClassWork: unknown, WarmingSlowness: 9},
	} {
		b, _ := start(t, testSettings(), ready(2))
		work := b.demand.classes[0].work.value
		b.Restore(&l)
		if b.demand.classes[0].work.value != work || b.estimates.warmingSlowness.value > 1 || !isPositiveFinite(b.estimates.fleetServiceTimeRatio.or(1)) {
			t.Errorf("%s: work %v, warmingSlowness %v, service time ratio %v", name, b.demand.classes[0].work.value, b.estimates.warmingSlowness.value, b.estimates.fleetServiceTimeRatio.value)
		}
	}
}

// The next process may have the classes in another order, and others beside them.
func TestClassWorkIsRestoredByName(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	for i, c := range b.demand.classes {
		c.work.value = float64(i + 1)
	}
	b.estimates.fleetServiceTimeRatio.add(1, 1)
	l := b.Estimates()
	s := testSettings()
	s.Classes = []Class{{Name: "new", LatencyObjective: 500, ClientTimeout: second}, s.Classes[4], s.Classes[0]}
	next, _ := start(t, s, ready(2))
	next.Restore(&l)
	if got := [...]float64{next.demand.classes[0].work.value, next.demand.classes[1].work.value, next.demand.classes[2].work.value}; got != [...]float64{100, 5, 1} {
		t.Errorf("works of new, write and read: %v, want 100, 5 and 1", got)
	}
}
