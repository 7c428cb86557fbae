package balancer

import "math"

// Load reports: the load at endpoints, as the answers to probes report it.

const (
	queuedProbeThreshold = 0.05 // share of queued probes above which probes are known to queue behind requests
	minRequestsAhead     = 0.5  // requests that a probe waited for, from which it counts as queued

	initialTypicalLoad        = 0.5 // requests, until reports arrive
	initialTypicalLoadSamples = 10  // that initialTypicalLoad counts as

	// Weights of the latest sample in an average.
	typicalLoadSampleWeight       = 0.1
	sparseTypicalLoadSampleWeight = 0.03 // of the typical load where reports are sparse: single ones must not move it
	meanLoadSampleWeight          = 0.1  // of an endpoint's mean load
	shareSampleWeight             = 0.02 // of the shares of queued probes, late reports and rejected requests

	maxLateReportShare  = 0.1 // share of late reports above which the means of reports are used instead
	lateReportTolerance = 0.5 // requests by which a report may fall short of the own ones without being late
	arrivalRoundTrips   = 5.0 // round trips after which a request is sure to have arrived
)

// loadReport is the load at an endpoint by the answer to a probe.
type loadReport struct {
	inFlight     float64 // requests there, or negative if unknown
	counted      bool    // inFlight was reported, not derived
	aheadOfProbe float64 // requests that the probe waited for
}

func (l *loadReport) known() bool { return l.inFlight >= 0 }

func (l *loadReport) queued() bool { return l.aheadOfProbe >= minRequestsAhead }

// readReport reads a load report, and learns from the probe's latency in microseconds. load holds the figures
// in the order of Settings.ReportFields.
func (est *estimator) readReport(e *endpoint, latency float64, load []float32) loadReport {
	fields := est.settings.ReportFields
	inFlight, queue := reportValue(fields, load, FieldInFlight), reportValue(fields, load, FieldQueue)
	counted, utilization := inFlight >= 0, reportValue(fields, load, FieldUtilization)
	// Without a count, the other figures give a lower bound of it.
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

// learnReport stores the load at e, and adds it to the averages.
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
	e.meanLoad.add(e.reportedLoad, meanLoadSampleWeight)
	if est.queuedProbeShare.value > queuedProbeThreshold && !report.queued() &&
		est.typicalLoad.value < assumedCores {
		// Probes queue behind requests, but this one did not: a core was idle, even if a late report differs.
		e.reportedLoad = min(e.reportedLoad, assumedCores-1)
	}
}

// checkReportDelay detects whether load reports come late. A report of fewer requests than this balancer
// has at e is late, unless some are still in transit. If many are, their means are used instead.
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

// learnProbeTimeout learns from a probe that was not answered within waited, in microseconds. It indicates
// load only where probes queue behind requests; elsewhere the probe was lost.
func (est *estimator) learnProbeTimeout(waited float64) {
	if est.queuedProbeShare.value > queuedProbeThreshold {
		est.learnProbeDelay(waited)
	}
}

// learnProbeDelay counts a probe that has waited so long, in microseconds, as a report of the load that
// explains the delay.
func (est *estimator) learnProbeDelay(waited float64) {
	est.typicalLoad.add(assumedCores+est.requestsAhead(waited), typicalLoadSampleWeight)
}

// requestsAhead is how many requests are ahead of a probe that waits so long, in microseconds.
func (est *estimator) requestsAhead(waited float64) float64 {
	return waited / est.demand.referenceWork() * assumedCores
}

// reportValue returns a figure of a load report, or -1 if it is missing or invalid.
func reportValue(fields []ReportField, load []float32, want ReportField) float64 {
	for i, f := range fields[:min(len(fields), len(load))] {
		if v := float64(load[i]); f == want && v >= 0 && !math.IsInf(v, 0) { // false for NaN, too
			return v
		}
	}
	return -1
}
