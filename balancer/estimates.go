package balancer

import "slices"

// Estimates is what a balancer has learned about the fleet. The next process of the same sidecar continues
// from it: learning it again takes seconds, in which the first slow answers would be taken as typical of all
// endpoints. The JSON keys are those that processes of earlier versions read.
type Estimates struct {
	ServiceTimeRatio float64 `json:"Pace"`  // mean of measured / predicted service time over the fleet
	QueuedProbeShare float64 `json:"Waits"` // share of probes that queued behind requests
	LateReportShare  float64 `json:"Lag"`   // share of load reports that came late; see checkReportDelay
	ReportsLate      bool    // each endpoint's mean load replaces its reports, as too many came late

	TypicalLoad        float64 `json:"Usual"`     // mean of the requests of other balancers at a warm endpoint
	TypicalWarmingLoad float64 `json:"UsualCold"` // mean of such requests at an endpoint that is warming up

	WarmingSlowness float64 `json:"Chill"`  // measured share of the slowdown that the warm-up fraction implies
	WarmingSamples  int     `json:"Chills"` // number of samples in WarmingSlowness

	ClassWork     []ClassWorkEstimate   `json:"Works"` // one entry per class
	ZoneLatencies []ZoneLatencyEstimate `json:"Ways"`  // only zones with a probe latency
	Endpoints     []EndpointEstimate    // only endpoints with a service time ratio
}

// ClassWorkEstimate is the mean work of a request of a class, in microseconds of service time.
type ClassWorkEstimate struct {
	Class string // name of the class
	Work  float64
}

// ZoneLatencyEstimate is the round-trip time of probes to a zone, in microseconds.
type ZoneLatencyEstimate struct {
	Zone      uint8
	Latency   float64 `json:"V"`    // median of the samples
	Deviation float64 `json:"Sway"` // mean distance of samples from the median
}

// EndpointEstimate is what is known about one process of an endpoint.
type EndpointEstimate struct {
	Name             uint64  // hash of the endpoint's name
	StartTime        Micros  // start of the process
	MeasuredAt       Micros  `json:"PaceAt"` // instant of the latest sample of ServiceTimeRatio
	ServiceTimeRatio float64 `json:"Pace"`   // mean of measured / predicted service time
	MeanLoad         float64 `json:"Mean"`   // mean number of requests of other balancers at the endpoint
}

// Estimates returns a copy of what the balancer has learned so far.
func (b *Balancer) Estimates() Estimates {
	var out Estimates
	b.estimates.export(&out)
	b.demand.export(&out)
	b.membership.export(&out)
	return out
}

// Restore replaces the estimates by those of an earlier process of this sidecar. Call it after Start and
// before any endpoint list. If the service time ratio is invalid, or none of the classes is in force, it
// changes nothing. It skips or limits other figures that are invalid.
func (b *Balancer) Restore(in *Estimates) {
	inForce := func(w ClassWorkEstimate) bool { return b.demand.classNamed(w.Class) != nil }
	if !isPositiveFinite(in.ServiceTimeRatio) || !slices.ContainsFunc(in.ClassWork, inForce) {
		return
	}
	b.estimates.restore(in)
	b.demand.restore(in)
	b.membership.restore(in)
}

// export sets the fields of out that the estimator has learned.
func (est *estimator) export(out *Estimates) {
	out.ServiceTimeRatio = est.fleetServiceTimeRatio.value
	out.QueuedProbeShare = est.queuedProbeShare.value
	out.LateReportShare, out.ReportsLate = est.lateReportShare.value, est.reportsLate
	out.TypicalLoad, out.TypicalWarmingLoad = est.typicalLoad.value, est.typicalWarmingLoad.value
	out.WarmingSlowness, out.WarmingSamples = est.warmingSlowness.value, est.warmingSamples
	for zone := range est.zoneLatencies {
		if z := &est.zoneLatencies[zone]; z.count > 0 {
			estimate := ZoneLatencyEstimate{Zone: uint8(zone), Latency: z.median, Deviation: z.deviation.value}
			out.ZoneLatencies = append(out.ZoneLatencies, estimate)
		}
	}
}

// restore sets what the estimator has learned to the figures of in.
func (est *estimator) restore(in *Estimates) {
	est.fleetServiceTimeRatio = newEWMA(in.ServiceTimeRatio)
	est.warmingSlowness.value = clampShare(in.WarmingSlowness)
	est.warmingSamples = max(0, in.WarmingSamples)
	est.queuedProbeShare = newEWMA(clampShare(in.QueuedProbeShare))
	est.lateReportShare.value, est.reportsLate = clampShare(in.LateReportShare), in.ReportsLate
	if isPositiveFinite(in.TypicalLoad) {
		est.typicalLoad.value = in.TypicalLoad
	}
	if isPositiveFinite(in.TypicalWarmingLoad) {
		est.typicalWarmingLoad = cumulativeMean{in.TypicalWarmingLoad, initialTypicalLoadSamples}
	}
	for _, estimate := range in.ZoneLatencies {
		z := &est.zoneLatencies[estimate.Zone]
		if !isPositiveFinite(estimate.Latency) || !isPositiveFinite(estimate.Deviation) {
			continue
		}
		for range z.samples {
			z.add(estimate.Latency)
		}
		z.deviation.value = estimate.Deviation
	}
}

// export adds the work of each class to out.
func (d *demand) export(out *Estimates) {
	for _, c := range d.classes {
		out.ClassWork = append(out.ClassWork, ClassWorkEstimate{c.Name, c.work.value})
	}
}

// restore sets the work of each class in force for which the estimates name a valid work.
func (d *demand) restore(in *Estimates) {
	for _, w := range in.ClassWork {
		if c := d.classNamed(w.Class); c != nil && isPositiveFinite(w.Work) {
			c.work.value = w.Work
		}
	}
}

// export adds the endpoints with a service time ratio to out.
func (m *membership) export(out *Estimates) {
	for _, e := range m.endpoints {
		if e.serviceTimeRatio.initialized {
			out.Endpoints = append(out.Endpoints, EndpointEstimate{
				Name: e.Name, StartTime: e.StartTime, MeasuredAt: e.serviceTimeRatioAt,
				ServiceTimeRatio: e.serviceTimeRatio.value, MeanLoad: e.meanReportedLoad.value,
			})
		}
	}
}

// restore stores the endpoint estimates of in. Each is applied when the endpoint list names its endpoint.
func (m *membership) restore(in *Estimates) {
	m.restoredEstimates = map[uint64]EndpointEstimate{}
	for _, e := range in.Endpoints {
		if isPositiveFinite(e.ServiceTimeRatio) {
			m.restoredEstimates[e.Name] = e
		}
	}
}

// clampShare limits the stored share v to 0..1.
func clampShare(v float64) float64 { return min(1, max(0, v)) }
