package balancer

import "math"

// This file reads load reports: the figures about an endpoint's load that its answers to probes carry.

const (
	queuedProbeThreshold = 0.05 // share of queued probes above which probes of this fleet queue behind requests
	minRequestsAhead     = 0.5  // a probe is regarded as queued if it waited for at least this many requests

	initialTypicalLoad        = 0.5 // typical load, in requests, before any report has arrived
	initialTypicalLoadSamples = 10  // number of samples that initialTypicalLoad stands for in the mean

	// Sample weights: an average a with weight w becomes a + w (x - a) by its latest sample x.

	typicalLoadSampleWeight       = 0.1  // weight in the typical load, unless reports are sparse
	sparseTypicalLoadSampleWeight = 0.03 // weight in the typical load if reports are sparse; see reportsSparse
	meanLoadSampleWeight          = 0.1  // weight in the mean load of an endpoint
	shareSampleWeight             = 0.02 // weight in the shares of queued probes, late reports and rejections

	maxLateReportShare  = 0.1 // share of late reports above which each endpoint's mean load replaces its reports
	lateReportTolerance = 0.5 // a report on time may count up to this many fewer requests than are in flight
	arrivalRoundTrips   = 5.0 // round-trip times after which a request is taken to have arrived
)

// loadReport is the load at an endpoint, as derived from the answer to one probe.
type loadReport struct {
	inFlight     float64 // requests at the endpoint; negative if unknown
	counted      bool    // the endpoint reported inFlight itself; if false, it is derived from other figures
	aheadOfProbe float64 // requests that the probe waited for, estimated from its latency
}

// known reports whether the load is known.
func (l *loadReport) known() bool { return l.inFlight >= 0 }

// queued reports whether the probe waited behind requests.
func (l *loadReport) queued() bool { return l.aheadOfProbe >= minRequestsAhead }

// readReport derives a load report from the answer to a probe of e. load holds the reported figures in the
// order of Settings.ReportFields. latency is that of the probe, in microseconds. readReport also updates the
// latency of e's zone and the share of queued probes.
func (est *estimator) readReport(e *endpoint, latency float64, load []float32) loadReport {
	fields := est.settings.ReportFields
	inFlight, queue := reportValue(fields, load, FieldInFlight), reportValue(fields, load, FieldQueue)
	counted, utilization := inFlight >= 0, reportValue(fields, load, FieldUtilization)
	// Without a count of requests, derive a lower bound of it from the queue or from the utilization.
	if !counted && queue >= 0 {
		inFlight = queue + assumedCores*indicator(queue >= 1)
	} else if !counted && utilization >= 0 {
		inFlight = min(utilization, 1) * assumedCores
	}
	zone := &est.zoneLatencies[e.Zone]
	if inFlight < 1 || zone.count == 0 {
		zone.add(latency)
	}
	report := loadReport{inFlight, counted, est.requestsAhead(zone.queueingDelay(latency))}
	est.queuedProbeShare.add(indicator(report.queued()), shareSampleWeight)
	est.stats.ReportedLoad += max(0, report.inFlight)
	if report.known() && report.queued() {
		est.stats.QueuedProbes++
		report.inFlight = max(report.inFlight, assumedCores+report.aheadOfProbe)
	}
	return report
}

// learnReport stores the reported load of other balancers at e, and adds it to the typical load and to e's
// mean load.
func (est *estimator) learnReport(now Micros, e *endpoint, report *loadReport) {
	e.hasReport, e.reportedAt = true, now
	e.reportedLoad, e.inFlightAtReport = max(0, report.inFlight-float64(e.inFlight)), e.inFlight
	weight := typicalLoadSampleWeight
	if est.probes.reportsSparse(now) {
		weight = sparseTypicalLoadSampleWeight
	}
	if e.isWarming(now, &est.settings.Contract) {
		est.typicalWarmingLoad.add(e.reportedLoad, weight)
	} else {
		est.typicalLoad.add(e.reportedLoad, weight)
	}
	e.meanReportedLoad.add(e.reportedLoad, meanLoadSampleWeight)
	if est.queuedProbeShare.value > queuedProbeThreshold && !report.queued() &&
		est.typicalLoad.value < assumedCores {
		// In this fleet probes queue behind requests, but this probe did not. A core was therefore idle, even if
		// the report, which may be late, counts more requests.
		e.reportedLoad = min(e.reportedLoad, assumedCores-1)
	}
}

// checkReportDelay detects whether load reports show an earlier load. A report is late if it counts fewer
// requests than this balancer has in flight at e, unless some of these requests may not have arrived yet.
// If the share of late reports is high, the load estimates use the mean of each endpoint's reports instead of
// the latest one.
func (est *estimator) checkReportDelay(now Micros, e *endpoint, report *loadReport) {
	sentRequestsArrived := float64(now-e.lastSentAt) > arrivalRoundTrips*est.roundTrip(e)
	if !report.counted || e.inFlight <= 0 || !sentRequestsArrived {
		return
	}
	share := &est.lateReportShare
	share.add(indicator(report.inFlight+lateReportTolerance < float64(e.inFlight)), shareSampleWeight)
	if share.value > maxLateReportShare && !est.reportsLate ||
		share.value < maxLateReportShare/3 && est.reportsLate {
		est.reportsLate = !est.reportsLate
		est.log(now, "lag", "load reports delayed: %v, %.0f%% count fewer requests than our own in flight",
			est.reportsLate, 100*share.value)
	}
}

// learnProbeTimeout updates the typical load by a probe that was not answered within waited microseconds.
// A timeout indicates load only where probes queue behind requests; elsewhere it means a lost probe.
func (est *estimator) learnProbeTimeout(waited float64) {
	if est.queuedProbeShare.value > queuedProbeThreshold {
		est.learnProbeDelay(waited)
	}
}

// learnProbeDelay updates the typical load by the time in microseconds that a probe has waited, as if a
// report had given the load that explains this delay.
func (est *estimator) learnProbeDelay(waited float64) {
	est.typicalLoad.add(assumedCores+est.requestsAhead(waited), typicalLoadSampleWeight)
}

// requestsAhead returns the number n of requests ahead of a probe, estimated from its waiting time:
// n = t / W * assumedCores, where t is the parameter waited and W the reference work, both in microseconds.
func (est *estimator) requestsAhead(waited float64) float64 {
	return waited / est.demand.referenceWork() * assumedCores
}

// reportValue returns the figure of a load report that belongs to the field want, or -1 if it is missing or
// invalid. fields gives the field of each figure in load.
func reportValue(fields []ReportField, load []float32, want ReportField) float64 {
	for i, f := range fields[:min(len(fields), len(load))] {
		if v := float64(load[i]); f == want && v >= 0 && !math.IsInf(v, 0) { // v >= 0 is false for NaN
			return v
		}
	}
	return -1
}
