package balancer

import (
	"math"
	"slices"
	"testing"
)

// A load report that is empty, or whose load is negative, infinite or not a number, must not become the load of an
// endpoint. A probe result for an unknown endpoint must have no effect.
func TestInvalidLoadReportsAreIgnored(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(1))
	nan := float32(math.NaN())
	for _, load := range [][]float32{nil, {}, {nan}, {-3}, {float32(math.Inf(1))}} {
		b.HandleProbe(1000, 1, OK, 500, load)
		if b.membership.endpoints[0].hasReport {
			t.Errorf("report %v was taken as a load, want it ignored", load)
		}
	}
	b.HandleProbe(1000, 99, OK, 500, []float32{1}) // no endpoint has ID 99
	b.HandleProbe(1000, 1, OK, 500, []float32{2, 7, 9})
	if b.estimates.load(1000, b.membership.endpoints[0]) != 2 {
		t.Errorf("load %v of endpoint 1 after a report of 2, want 2", b.estimates.load(1000, b.membership.endpoints[0]))
	}
}

// A report is late if it counts fewer requests than this balancer has in flight at the endpoint. Late reports must be
// detected, and must not be used to pick an endpoint.
func TestDelayedReportsAreDetected(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(2))
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
		t.Fatal("reports of 0 requests at an endpoint with requests in flight are not detected as late")
	}
	if got := b.estimates.load(14_000, busy); got < float64(busy.inFlight) {
		t.Errorf("load %v while reports are late, want at least the %d own attempts in flight", got, busy.inFlight)
	}
	for i := range Micros(400) {
		busy.probeInFlight = false
		b.probes.probe(14_000+i, busy)
		b.HandleProbe(15_000+i, busy.ID, OK, 500, []float32{5})
	}
	if b.estimates.reportsLate {
		t.Error("reports still count as late after 400 reports on time, want them in use again")
	}
}

// While reports are late, the load of an endpoint is taken to be the mean of its reports: an endpoint under heavy load
// from other balancers must still show a higher load than an idle one. The mean of the reports over the fleet must not
// raise any latency limit.
func TestDelayedReportsAreAveragedByEndpoint(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(2))
	b.demand.classes[0].requestRate.add(0, 1)
	r := newRecord(b, testRequest(1, 0, 0))
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
		t.Errorf("load %.1f where reports are 4 and 6, %.1f where they are 0 and 1, want at least 4 and at most 1",
			busy, idle)
	}
	const roundTrip = 500 // microseconds; the balancer knows it from the first probe on
	if after := b.estimates.latencyLimit(0, r, b.membership.endpoints[0]); after > before+roundTrip {
		t.Errorf("latency limit %v us while reports are late, want at most %v us", after, before+roundTrip)
	}
}

// Where reports are old or contain no count of requests, a slow answer to a probe must still show that requests queue.
func TestQueuedProbeShowsLoad(t *testing.T) {
	s := testSettings()
	s.ReportFields = []ReportField{FieldServedRate, FieldUtilization}
	b, _ := startBalancer(t, s, readyEndpoints(2))
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
		t.Errorf("load %v after a probe that waited for two requests' work, want at least %v", got, 2*assumedCores)
	}
	b.HandleProbe(3000, 1, Rejected, 500, nil)
	if e.reportedAt != 0 {
		t.Errorf("an endpoint that rejects a probe stays in the pool: reportedAt is %d, want 0", e.reportedAt)
	}
}

// The latency of probes to a distant zone varies by as much as the service time of a request. This variation must not
// be taken for queueing, and a few quick answers at the start must not make all later probes seem to have queued.
func TestVaryingZoneLatencyIsNoQueue(t *testing.T) {
	for _, c := range []struct {
		name         string
		quickAnswers int // number of answers at the start that take 200 us each
	}{{"latencies vary", 0}, {"quick answers at the start", 3}} {
		s := testSettings()
		s.Classes[0].LatencyObjective = 50_000
		b, _ := startBalancer(t, s, readyEndpoints(2))
		var noise splitMix64 = 5
		now := Micros(1000)
		probe := func(latency Micros) { // handles a probe whose report counts no request
			now += 100_000
			b.HandleProbe(now, 1, OK, latency, []float32{0})
		}
		for range c.quickAnswers {
			probe(200)
		}
		for range 5 {
			if probe(11_000 + noise.duration(4000)); b.estimates.load(now, b.membership.byID[1]) > 0 {
				t.Errorf("%s: load %v at an idle endpoint while its zone latency is being learned, want 0", c.name,
					b.estimates.load(now, b.membership.byID[1]))
			}
		}
		if latency := b.estimates.zoneLatencies[0].median; latency < 11_000 || latency > 15_000 {
			t.Errorf("%s: zone latency %.0f us, want 11,000 to 15,000 us", c.name, latency)
		}
		queued := 0
		for range 100 {
			probe(11_000 + noise.duration(6000))
			queued += int(indicator(b.estimates.load(now, b.membership.byID[1]) > 0))
		}
		if queued > 5 {
			t.Errorf("%s: %d of 100 probes of an idle endpoint show a load, want at most 5", c.name, queued)
		}
		probe(60_000)
		if got := b.estimates.load(now, b.membership.byID[1]); got < assumedCores {
			t.Errorf("%s: load %v after a probe that waited 47 ms, want at least %v", c.name, got, assumedCores)
		}
	}
}

// In an overload, only idle endpoints answer a probe in time. Probe timeouts must therefore be taken as load:
// otherwise the fleet would seem idle, and no request would be rejected.
func TestProbeTimeoutsCountAsLoad(t *testing.T) {
	s := testSettings()
	s.Balancers = 1000
	b, r := startBalancer(t, s, readyEndpoints(40))
	b.HandleTimer(second, probeTimerToken)
	for id := range uint64(40) {
		now := 2*second + 100_000*Micros(id)
		r.timers = nil
		b.HandleRequest(now, Request{ID: id, Deadline: now + second})
		b.HandleTimer(now+40_000, r.timers[len(r.timers)-1])
	}
	if b.estimates.typicalLoad.value < assumedCores {
		t.Errorf("typical load %v while no probe is answered, want at least %v",
			b.estimates.typicalLoad.value, assumedCores)
	}
	if len(r.rejected) == 0 {
		t.Error("no request was rejected while no probe is answered, want at least 1")
	}
}

// A probe timeout must be taken as load only in a fleet where probes queue behind requests. In any other fleet, it
// means that the probe was lost.
func TestLostProbeIsNotLoad(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(2))
	for i := range Micros(20) {
		b.HandleProbe(1000*i, 1, OK, 500, []float32{1})
	}
	before := b.estimates.typicalLoad.value
	b.HandleProbe(30_000, 2, Timeout, 400_000, nil)
	if b.estimates.typicalLoad.value > before {
		t.Errorf("typical load %.1f after a lost probe, want at most %.1f as before", b.estimates.typicalLoad.value, before)
	}
	b.estimates.queuedProbeShare.value = 0.5
	b.HandleProbe(40_000, 2, Timeout, 400_000, nil)
	if b.estimates.typicalLoad.value <= before {
		t.Errorf("typical load %.1f after a timeout where probes queue, want more than %.1f",
			b.estimates.typicalLoad.value, before)
	}
}

// A balancer that probes one of sixty endpoints per second must not reject requests because of its latest few reports.
// These may be outliers, so they must hardly change the typical load, which is the mean of the reported loads. A
// balancer that probes many endpoints must follow its latest reports.
func TestFewReportsDoNotMoveTypicalLoad(t *testing.T) {
	for _, c := range []struct {
		name             string
		endpoints        int
		loads            []float32 // reported loads, one per second
		minLoad, maxLoad float64   // limits of the typical load afterwards
	}{
		{"the first is an outlier", 60, []float32{9, 1, 1, 1, 1, 1, 1, 1, 1, 1}, 1, 2},
		{"all so far are outliers", 60, []float32{9, 9}, 1, 3},
		{"the latest are outliers", 60, append(slices.Repeat([]float32{1}, 20), 9, 9), 1, 2},
		{"many probes", 2, append(slices.Repeat([]float32{1}, 20), 9, 9), 2, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			s.Balancers, s.Prices.Probe = 80, 0.08
			b, _ := startBalancer(t, s, readyEndpoints(c.endpoints))
			for i, load := range c.loads {
				b.HandleProbe(Micros(i)*second, uint32(i%c.endpoints+1), OK, 500, []float32{load})
			}
			if got := b.estimates.typicalLoad.value; got < c.minLoad || got > c.maxLoad {
				t.Errorf("typical load %.2f, want %.1f to %.1f", got, c.minLoad, c.maxLoad)
			}
		})
	}
}
