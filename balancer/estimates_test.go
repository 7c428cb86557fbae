package balancer

import (
	"encoding/json"
	"math"
	"testing"
)

// What one process has learned the next one goes by, from its first request on; an
// endpoint's new life owes nothing to what was known of the old one.
func TestNextProcessGoesOnFromWhatWasLearned(t *testing.T) {
	list := named(ready(4))
	list[3].StartTime = 5
	old, r := start(t, testSettings(), list)
	for id := range uint64(400) {
		now := Micros(id) * 50_000
		old.HandleRequest(now, request0(id+1, 0, now))
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
	work := next.classes[0].work.value
	if work != old.classes[0].work.value || next.typicalLoad.value != old.typicalLoad.value || next.zoneLatencies[0].median != old.zoneLatencies[0].median {
		t.Errorf("work %v, usual load %v, way %v; want %v, %v, %v", work, next.typicalLoad.value, next.zoneLatencies[0].median,
			old.classes[0].work.value, old.typicalLoad.value, old.zoneLatencies[0].median)
	}
	seen := 0
	for id := uint32(1); id <= 3; id++ {
		was, is := old.endpointByID[id].currentServiceTimeRatio(now, old), next.endpointByID[id].currentServiceTimeRatio(now, next)
		if math.Abs(was-is) > 1e-9 {
			t.Errorf("pace of endpoint %d: %v, was %v", id, is, was)
		}
		if old.endpointByID[id].serviceTimeRatio.initialized {
			seen++
		}
	}
	if seen < 2 {
		t.Error("few endpoints have a pace: the test shows little")
	}
	if next.endpointByID[4].serviceTimeRatio.initialized {
		t.Error("a new life goes by the old one's pace")
	}
}

// What makes no sense, or is of other settings, changes nothing.
func TestSenselessLearnedIsIgnored(t *testing.T) {
	unknown := []ClassWorkEstimate{{"read", 0}}
	for name, l := range map[string]Estimates{
		"nothing": {}, "other classes": {ServiceTimeRatio: 2, ClassWork: []ClassWorkEstimate{{"elsewhere", 1}}}, "no pace": {ServiceTimeRatio: math.NaN(), ClassWork: unknown},
		"endless": {ServiceTimeRatio: math.Inf(1), ClassWork: unknown}, "no work": {ServiceTimeRatio: 1, ClassWork: unknown, WarmingSlowness: 9},
	} {
		b, _ := start(t, testSettings(), ready(2))
		work := b.classes[0].work.value
		b.Restore(&l)
		if b.classes[0].work.value != work || b.warmingSlowness.value > 1 || !isPositiveFinite(b.fleetServiceTimeRatio.or(1)) {
			t.Errorf("%s: work %v, coldSlowness %v, pace %v", name, b.classes[0].work.value, b.warmingSlowness.value, b.fleetServiceTimeRatio.value)
		}
	}
}

// The next process may know the classes in another order, and others beside them.
func TestLearnedWorksGoByName(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	for i, c := range b.classes {
		c.work.value = float64(i + 1)
	}
	b.fleetServiceTimeRatio.add(1, 1)
	l := b.Estimates()
	s := testSettings()
	s.Classes = []Class{{Name: "new", LatencyObjective: 500, ClientTimeout: second}, s.Classes[4], s.Classes[0]}
	next, _ := start(t, s, ready(2))
	next.Restore(&l)
	if got := [...]float64{next.classes[0].work.value, next.classes[1].work.value, next.classes[2].work.value}; got != [...]float64{100, 5, 1} {
		t.Errorf("works of new, write and read: %v, want 100, 5 and 1", got)
	}
}
