package balancer

import (
	"math"
	"slices"
)

// Estimates is what a balancer has found out of the fleet. The next process of the same sidecar goes on from it: to
// find it out again takes seconds, in which a first slow answer or two pass for what all endpoints are like.
type Estimates struct {
	ServiceTimeRatio float64 `json:"Pace"`
	QueuedProbeShare float64 `json:"Waits"`
	LateReportShare  float64 `json:"Lag"`
	ReportsLate      bool

	TypicalLoad        float64 `json:"Usual"`
	TypicalWarmingLoad float64 `json:"UsualCold"`

	WarmingSlowness float64 `json:"Chill"`  // the file keeps the names that processes of earlier versions read
	WarmingSamples  int     `json:"Chills"` // answers that WarmingSlowness is from

	ClassWork     []ClassWorkEstimate   `json:"Works"`
	ZoneLatencies []ZoneLatencyEstimate `json:"Ways"`
	Endpoints     []EndpointEstimate
}

// ClassWorkEstimate is the mean work of a request of a class.
type ClassWorkEstimate struct {
	Class string
	Work  float64
}

// ZoneLatencyEstimate is the way to a zone.
type ZoneLatencyEstimate struct {
	Zone      uint8
	Latency   float64 `json:"V"`
	Deviation float64 `json:"Sway"`
}

// EndpointEstimate is what is known of one life of an endpoint.
type EndpointEstimate struct {
	Name             uint64
	StartTime        Micros
	MeasuredAt       Micros  `json:"PaceAt"`
	ServiceTimeRatio float64 `json:"Pace"`
	MeanLoad         float64 `json:"Mean"`
}

// sound says whether a figure can be gone on from.
func sound(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

// Estimates returns what is known by now.
func (b *Balancer) Estimates() Estimates {
	l := Estimates{
		ServiceTimeRatio: b.fleet.v,
		QueuedProbeShare: b.waits.v, LateReportShare: b.lag.v, ReportsLate: b.reportsLate,
		TypicalLoad: b.usual.v, TypicalWarmingLoad: b.usualCold.v,
		WarmingSlowness: b.coldSlowness.v, WarmingSamples: b.coldSamples,
	}
	for _, c := range b.classes {
		l.ClassWork = append(l.ClassWork, ClassWorkEstimate{c.Name, c.work.v})
	}
	for zone := range b.ways {
		if w := &b.ways[zone]; w.n > 0 {
			l.ZoneLatencies = append(l.ZoneLatencies, ZoneLatencyEstimate{uint8(zone), w.v, w.sway.v})
		}
	}
	for _, e := range b.list {
		if e.pace.seen {
			l.Endpoints = append(l.Endpoints, EndpointEstimate{e.Name, e.StartTime, e.paceAt, e.pace.v, e.mean.v})
		}
	}
	return l
}

// Restore goes on from what another process of this sidecar knew. It comes after Start and before any list.
func (b *Balancer) Restore(l *Estimates) {
	known := func(w ClassWorkEstimate) bool { return b.classNamed(w.Class) != nil }
	if !sound(l.ServiceTimeRatio) || !slices.ContainsFunc(l.ClassWork, known) {
		return // of a process that knew nothing, or of other settings
	}
	b.fleet = ewma{l.ServiceTimeRatio, true}
	b.coldSlowness.v = min(1, max(0, l.WarmingSlowness))
	b.coldSamples = max(0, l.WarmingSamples)
	b.waits = ewma{min(1, max(0, l.QueuedProbeShare)), true}
	b.lag.v, b.reportsLate = min(1, max(0, l.LateReportShare)), l.ReportsLate
	if sound(l.TypicalLoad) {
		b.usual.v = l.TypicalLoad
	}
	if sound(l.TypicalWarmingLoad) {
		b.usualCold = mean{l.TypicalWarmingLoad, usualGuess}
	}
	for _, w := range l.ClassWork {
		if c := b.classNamed(w.Class); c != nil && sound(w.Work) {
			c.work.v = w.Work
		}
	}
	for _, known := range l.ZoneLatencies {
		w := &b.ways[known.Zone]
		if !sound(known.Latency) || !sound(known.Deviation) {
			continue
		}
		for range w.last {
			w.add(known.Latency)
		}
		w.sway.v = known.Deviation
	}
	b.known = map[uint64]EndpointEstimate{}
	for _, e := range l.Endpoints {
		if sound(e.ServiceTimeRatio) {
			b.known[e.Name] = e
		}
	}
}

// recall takes up what is known of the life of e that is listed now.
func (b *Balancer) recall(e *endpoint) {
	if known, ok := b.known[e.Name]; ok && known.StartTime == e.StartTime {
		e.pace, e.paceAt = ewma{known.ServiceTimeRatio, true}, known.MeasuredAt
		if sound(known.MeanLoad) {
			e.mean = ewma{known.MeanLoad, true}
		}
	}
	delete(b.known, e.Name)
}
