package balancer

import (
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

// Estimates returns what is known by now.
func (b *Balancer) Estimates() Estimates {
	l := Estimates{
		ServiceTimeRatio: b.fleetServiceTimeRatio.value,
		QueuedProbeShare: b.queuedProbeShare.value, LateReportShare: b.lateReportShare.value, ReportsLate: b.reportsLate,
		TypicalLoad: b.typicalLoad.value, TypicalWarmingLoad: b.typicalWarmingLoad.value,
		WarmingSlowness: b.warmingSlowness.value, WarmingSamples: b.warmingSamples,
	}
	for _, c := range b.classes {
		l.ClassWork = append(l.ClassWork, ClassWorkEstimate{c.Name, c.work.value})
	}
	for zone := range b.zoneLatencies {
		if w := &b.zoneLatencies[zone]; w.count > 0 {
			l.ZoneLatencies = append(l.ZoneLatencies, ZoneLatencyEstimate{uint8(zone), w.median, w.deviation.value})
		}
	}
	for _, e := range b.endpoints {
		if e.serviceTimeRatio.initialized {
			l.Endpoints = append(l.Endpoints, EndpointEstimate{e.Name, e.StartTime, e.serviceTimeRatioAt, e.serviceTimeRatio.value, e.meanLoad.value})
		}
	}
	return l
}

// Restore goes on from what another process of this sidecar knew. It comes after Start and before any list.
func (b *Balancer) Restore(l *Estimates) {
	known := func(w ClassWorkEstimate) bool { return b.classNamed(w.Class) != nil }
	if !isPositiveFinite(l.ServiceTimeRatio) || !slices.ContainsFunc(l.ClassWork, known) {
		return // of a process that knew nothing, or of other settings
	}
	b.fleetServiceTimeRatio = ewma{l.ServiceTimeRatio, true}
	b.warmingSlowness.value = min(1, max(0, l.WarmingSlowness))
	b.warmingSamples = max(0, l.WarmingSamples)
	b.queuedProbeShare = ewma{min(1, max(0, l.QueuedProbeShare)), true}
	b.lateReportShare.value, b.reportsLate = min(1, max(0, l.LateReportShare)), l.ReportsLate
	if isPositiveFinite(l.TypicalLoad) {
		b.typicalLoad.value = l.TypicalLoad
	}
	if isPositiveFinite(l.TypicalWarmingLoad) {
		b.typicalWarmingLoad = cumulativeMean{l.TypicalWarmingLoad, initialTypicalLoadSamples}
	}
	for _, w := range l.ClassWork {
		if c := b.classNamed(w.Class); c != nil && isPositiveFinite(w.Work) {
			c.work.value = w.Work
		}
	}
	for _, known := range l.ZoneLatencies {
		w := &b.zoneLatencies[known.Zone]
		if !isPositiveFinite(known.Latency) || !isPositiveFinite(known.Deviation) {
			continue
		}
		for range w.samples {
			w.add(known.Latency)
		}
		w.deviation.value = known.Deviation
	}
	b.restored = map[uint64]EndpointEstimate{}
	for _, e := range l.Endpoints {
		if isPositiveFinite(e.ServiceTimeRatio) {
			b.restored[e.Name] = e
		}
	}
}

// restoreEndpoint takes up what is known of the life of e that is listed now.
func (b *Balancer) restoreEndpoint(e *endpoint) {
	if known, ok := b.restored[e.Name]; ok && known.StartTime == e.StartTime {
		e.serviceTimeRatio, e.serviceTimeRatioAt = ewma{known.ServiceTimeRatio, true}, known.MeasuredAt
		if isPositiveFinite(known.MeanLoad) {
			e.meanLoad = ewma{known.MeanLoad, true}
		}
	}
	delete(b.restored, e.Name)
}
