package balancer

import "math"

// Load reports: what the answers to probes tell of the load at endpoints.

const (
	queuedProbeThreshold      = 0.05 // share of queued probes from which probes are known to queue
	minRequestsAhead          = 0.5  // requests that a probe waited for, from which it counts as queued
	initialTypicalLoad        = 0.5  // until reports tell,
	initialTypicalLoadSamples = 10   // with the weight of so many of them
	typicalLoadWeight         = 0.1  // of the latest report
	sparseTypicalLoadWeight   = 0.03 // the same where reports are sparse
	meanLoadWeight            = 0.1  // of the latest report in the mean of its endpoint
	maxLateShare              = 0.1  // share of late reports above which their means are used instead
	shareWeight               = 0.02 // of the latest sample in a share of all
	settleRoundTrips          = 5.0  // round trips after which a request has surely arrived
	lateTolerance             = 0.5  // requests that a report may be short of
)

// loadReport is what a probe tells of an endpoint.
type loadReport struct {
	inFlight float64 // requests there, or negative if unknown
	counted  bool    // inFlight was reported, not derived
	ahead    float64 // requests that the probe waited for
}

func (l *loadReport) known() bool { return l.inFlight >= 0 }

func (l *loadReport) queued() bool { return l.ahead >= minRequestsAhead }

// readReport reads a load report, and learns from the probe's latency.
func (est *estimator) readReport(e *endpoint, latency float64, load []float32) loadReport {
	fields := est.settings.ReportFields
	inFlight, queue := reportValue(fields, load, FieldInFlight), reportValue(fields, load, FieldQueue)
	counted, utilization := inFlight >= 0, reportValue(fields, load, FieldUtilization)
	// Each figure proves that at least so many requests are there.
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
	est.queuedProbeShare.add(indicator(report.queued()), shareWeight)
	est.stats.ReportedLoad += max(0, report.inFlight)
	if report.known() && report.queued() {
		est.stats.QueuedProbes++
		report.inFlight = max(report.inFlight, assumedCores+report.ahead)
	}
	return report
}

// learnReport takes over the load at e.
func (est *estimator) learnReport(now Micros, e *endpoint, report *loadReport) {
	e.hasReport, e.reportedAt = true, now
	e.reportedLoad, e.inFlightAtReport = max(0, report.inFlight-float64(e.inFlight)), e.inFlight
	weight := typicalLoadWeight
	if est.probes.reportsSparse(now) {
		weight = sparseTypicalLoadWeight
	}
	if e.isWarming(now, &est.settings.Contract) {
		est.typicalWarmingLoad.add(e.reportedLoad, weight)
	} else {
		est.typicalLoad.add(e.reportedLoad, weight)
	}
	e.meanLoad.add(e.reportedLoad, meanLoadWeight)
	if est.queuedProbeShare.value > queuedProbeThreshold && !report.queued() &&
		est.typicalLoad.value < assumedCores {
		// Probes queue behind requests, and this one did not, whatever a late report says.
		e.reportedLoad = min(e.reportedLoad, assumedCores-1)
	}
}

// checkReportDelay finds out whether load reports come late. A report of fewer requests than this balancer
// has at e is late, unless some are still on their way there. If many are, their means are used instead.
func (est *estimator) checkReportDelay(now Micros, e *endpoint, report *loadReport) {
	settled := float64(now-e.lastSentAt) > settleRoundTrips*est.roundTrip(e)
	if !report.counted || e.inFlight <= 0 || !settled {
		return
	}
	share := &est.lateReportShare
	share.add(indicator(report.inFlight+lateTolerance < float64(e.inFlight)), shareWeight)
	if share.value > maxLateShare && !est.reportsLate || share.value < maxLateShare/3 && est.reportsLate {
		est.reportsLate = !est.reportsLate
		est.log(now, "lag", "load reports delayed: %v, %.0f%% count fewer requests than our own in flight",
			est.reportsLate, 100*share.value)
	}
}

// learnProbeTimeout learns from a probe that was not answered in time. It shows load only where probes queue
// behind requests; elsewhere the probe was lost.
func (est *estimator) learnProbeTimeout(waited float64) {
	if est.queuedProbeShare.value > queuedProbeThreshold {
		est.learnProbeDelay(waited)
	}
}

// learnProbeDelay counts a probe that has waited so long as a report of the load that explains it.
func (est *estimator) learnProbeDelay(waited float64) {
	est.typicalLoad.add(assumedCores+est.requestsAhead(waited), typicalLoadWeight)
}

// requestsAhead is how many requests are ahead of a probe that waits so long.
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
