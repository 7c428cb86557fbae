package balancer

import (
	"math"
	"slices"
	"testing"
)

func TestInvalidLoadReportsAreIgnored(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	nan := float32(math.NaN())
	for _, load := range [][]float32{nil, {}, {nan}, {-3}, {float32(math.Inf(1))}} {
		b.HandleProbe(1000, 1, OK, 500, load)
		if b.membership.endpoints[0].hasReport {
			t.Errorf("report %v counts as a load", load)
		}
	}
	b.HandleProbe(1000, 99, OK, 500, []float32{1}) // unknown endpoint
	b.HandleProbe(1000, 1, OK, 500, []float32{2, 7, 9})
	if b.estimates.load(1000, b.membership.endpoints[0]) != 2 {
		t.Errorf("load %v, want 2", b.estimates.load(1000, b.membership.endpoints[0]))
	}
}

// Reports that count fewer requests than this balancer has in flight there are late; they must not decide picks.
func TestDelayedReportsAreDetected(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	for id := range uint64(3) {
		b.HandleRequest(1000, testRequest(id, 0, 1000))
	}
	busy := b.membership.byID[r.sends[0].endpoint]
	for i := range Micros(40) {
		busy.probeInFlight = false
		b.probes.probe(12_000+i, busy)
		b.HandleProbe(13_000+i, busy.ID, OK, 500, []float32{0})
	}
	if !b.estimates.reportsLate {
		t.Fatal("late reports are not detected")
	}
	if got := b.estimates.load(14_000, busy); got < float64(busy.inFlight) {
		t.Errorf("load %v, want the %d own attempts in flight at least", got, busy.inFlight)
	}
	for i := range Micros(400) {
		busy.probeInFlight = false
		b.probes.probe(14_000+i, busy)
		b.HandleProbe(15_000+i, busy.ID, OK, 500, []float32{5})
	}
	if b.estimates.reportsLate {
		t.Error("reports count as late though they are not any longer")
	}
}

// While reports are late, their mean at each endpoint counts: endpoints under heavy load from other balancers must
// differ from the others, and the fleet's mean must not raise the latency limit of any.
func TestDelayedReportsAreAveragedByEndpoint(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	b.demand.classes[0].requestRate.add(0, 1)
	r := recordOf(b, testRequest(1, 0, 0))
	r.work = 50_000
	before := b.estimates.latencyLimit(0, r, b.membership.endpoints[0])
	b.estimates.reportsLate = true
	for i := range 20 {
		b.HandleProbe(1000, 1, OK, 500, []float32{float32(4 + 2*(i%2))})
		b.HandleProbe(1000, 2, OK, 500, []float32{float32(i % 2)})
	}
	busy := b.estimates.load(1000, b.membership.byID[1])
	idle := b.estimates.load(1000, b.membership.byID[2])
	if busy < 4 || idle > 1 {
		t.Errorf("load %.1f where reports say 4 to 6, %.1f where they say 0 to 1", busy, idle)
	}
	const roundTrip = 500 // known since the first probe
	if after := b.estimates.latencyLimit(0, r, b.membership.endpoints[0]); after > before+roundTrip {
		t.Errorf("limit %v before, %v while late", before, after)
	}
}

// If reports are old or hold no count, a probe that queued still indicates a queue.
func TestQueuedProbeShowsLoad(t *testing.T) {
	s := testSettings()
	s.ReportFields = []ReportField{FieldServedRate, FieldUtilization}
	b, _ := start(t, s, ready(2))
	e := b.membership.byID[1]
	for range len(b.estimates.zoneLatencies[0].samples) {
		b.HandleProbe(900, 1, OK, 500, []float32{90, 0.2})
	}
	b.HandleProbe(1000, 1, OK, 500, []float32{90, 0.5})
	if got := b.estimates.load(1000, e); got != 0.5*assumedCores {
		t.Errorf("load %v at a utilization of 0.5, want %v", got, 0.5*assumedCores)
	}
	b.HandleProbe(2000, 1, OK, 160_500, []float32{90, 0.5})
	if got := b.estimates.load(2000, e); got < 2*assumedCores {
		t.Errorf("load %v, though the probe waited for two requests' work", got)
	}
	b.HandleProbe(3000, 1, Rejected, 500, nil)
	if e.reportedAt != 0 {
		t.Error("an endpoint that rejects probes stays in the pool")
	}
}

// The latency to a far zone varies by as much as a request's work takes: that must not count as a queue. Nor may a few
// quick answers make all later probes seem to have queued.
func TestVaryingZoneLatencyIsNoQueue(t *testing.T) {
	for _, c := range []struct {
		name         string
		quickAnswers int
	}{{"latencies vary", 0}, {"quick answers at the start", 3}} {
		s := testSettings()
		s.Classes[0].LatencyObjective = 50_000
		b, _ := start(t, s, ready(2))
		var noise splitMix64 = 5
		now := Micros(1000)
		probe := func(latency Micros) { // whose report counts no request
			now += 100_000
			b.HandleProbe(now, 1, OK, latency, []float32{0})
		}
		for range c.quickAnswers {
			probe(200)
		}
		for range 5 {
			if probe(11_000 + noise.duration(4000)); b.estimates.load(now, b.membership.byID[1]) > 0 {
				t.Errorf("%s: an idle endpoint shows a load while its zone latency is being learned", c.name)
			}
		}
		if latency := b.estimates.zoneLatencies[0].median; latency < 11_000 || latency > 15_000 {
			t.Errorf("%s: a zone latency of %.0f us, want 11 to 15 ms", c.name, latency)
		}
		queued := 0
		for range 100 {
			probe(11_000 + noise.duration(6000))
			queued += int(indicator(b.estimates.load(now, b.membership.byID[1]) > 0))
		}
		if queued > 5 {
			t.Errorf("%s: %d of 100 probes of an idle endpoint show a load", c.name, queued)
		}
		probe(60_000)
		if got := b.estimates.load(now, b.membership.byID[1]); got < assumedCores {
			t.Errorf("%s: load %v after a probe that waited 47 ms", c.name, got)
		}
	}
}

// Only idle endpoints answer a probe in time. In an overload, the timeouts must count, or the fleet seems idle.
func TestProbeTimeoutsCountAsLoad(t *testing.T) {
	s := testSettings()
	s.Balancers = 1000
	b, r := start(t, s, ready(40))
	b.HandleTimer(second, probeTimerToken)
	for id := range uint64(40) {
		now := 2*second + 100_000*Micros(id)
		r.timers = nil
		b.HandleRequest(now, Request{ID: id, Deadline: now + second})
		b.HandleTimer(now+40_000, r.timers[len(r.timers)-1])
	}
	if b.estimates.typicalLoad.value < assumedCores {
		t.Errorf("typical load %v though no probe is answered", b.estimates.typicalLoad.value)
	}
	if len(r.rejected) == 0 {
		t.Error("nothing rejected though no probe is answered")
	}
}

// Where probes do not queue behind requests, a probe without answer must not count as load.
func TestLostProbeIsNotLoad(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	for i := range Micros(20) {
		b.HandleProbe(1000*i, 1, OK, 500, []float32{1})
	}
	before := b.estimates.typicalLoad.value
	b.HandleProbe(30_000, 2, Timeout, 400_000, nil)
	if b.estimates.typicalLoad.value > before {
		t.Errorf("typical load %.1f before a lost probe, %.1f after it", before, b.estimates.typicalLoad.value)
	}
	b.estimates.queuedProbeShare.value = 0.5
	b.HandleProbe(40_000, 2, Timeout, 400_000, nil)
	if b.estimates.typicalLoad.value <= before {
		t.Errorf("typical load %.1f after a timeout where probes queue", b.estimates.typicalLoad.value)
	}
}

// A balancer that probes one endpoint of sixty a second must not reject requests by its latest few reports, which may
// be outliers; one that probes many follows them.
func TestFewReportsDoNotMoveTypicalLoad(t *testing.T) {
	for _, c := range []struct {
		name             string
		endpoints        int
		loads            []float32
		minLoad, maxLoad float64 // of the typical load
	}{
		{"the first is an outlier", 60, []float32{9, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 1, 2},
		{"all so far are outliers", 60, []float32{9, 9}, 1, 3},
		{"the latest are outliers", 60, append(slices.Repeat([]float32{1}, 20), 9, 9), 1, 2},
		{"many probes", 2, append(slices.Repeat([]float32{1}, 20), 9, 9), 2, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.Balancers, s.Prices.Probe = 80, 0.08
			b, _ := start(t, s, ready(c.endpoints))
			for i, load := range c.loads {
				b.HandleProbe(Micros(i)*second, uint32(i%c.endpoints+1), OK, 500, []float32{load})
			}
			if got := b.estimates.typicalLoad.value; got < c.minLoad || got > c.maxLoad {
				t.Errorf("the typical load is %.2f, want %.1f to %.1f", got, c.minLoad, c.maxLoad)
			}
		})
	}
}
