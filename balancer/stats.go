package balancer

import "fmt"

// Stats holds counts of what a balancer has done since its start, and estimates of the current state. The
// counts never decrease; Since formats the difference between two Stats for operators.
type Stats struct {
	Requests, Attempts, Rejected, Failed uint64

	// Attempts not sent, by reason: no endpoint was permitted; the answer was predicted to come too late; the
	// circuit breaker of the chosen endpoint dropped the attempt, and there was no second endpoint or its
	// breaker dropped the attempt, too; or the error throttle, the breaker over all endpoints, dropped it.
	NoEndpoint, TooLate, BreakerRejected, Throttled uint64

	Outcomes [NotSent + 1]uint64 // number of ended attempts, indexed by Status
	Probes   [NotSent + 1]uint64 // number of ended probes, indexed by Status

	PredictedLatency, Latency Micros // sums of predicted and measured latency over the attempts with status OK
	ProbeLatency              Micros // sum of the latency of the probes with status OK

	// Attempts to endpoints that were warming up when the attempt was sent: the number of attempts sent, the
	// numbers of attempts that ended with status OK and with status Timeout, and the sums of predicted and
	// measured latency over the attempts with status OK.
	WarmingAttempts, WarmingOK, WarmingTimeouts uint64
	WarmingPredictedLatency, WarmingLatency     Micros

	ReportedLoad float64 // sum over all load reports of the number of requests at the endpoint
	QueuedProbes uint64  // number of probes whose latency shows that they queued behind requests

	// Current numbers of requests, attempts and endpoints. Open requests have no final answer yet. Held requests are
	// in the ledger: they are open or have an attempt without an outcome. Waiting requests wait for the results of
	// probes. InFlight and Uploading count the attempts that have no outcome yet: InFlight if the request body has
	// been sent, Uploading if it is still being sent. Listed counts all known endpoints. Cordoned endpoints were
	// removed from service by operators, endpoints that are warming up are in slow start, ejected endpoints failed
	// too often, and pooled endpoints have a recent load report.
	Open, Held, Waiting, InFlight, Uploading, Listed, Cordoned, WarmingUp, Ejected, Pooled int

	TypicalLoad      float64 // typical number of requests of other balancers at an endpoint
	ServiceTimeRatio float64 // mean of measured / predicted service time at warm endpoints
	Slowdown         float64 // factor by which all endpoints are slower than predicted; 1 if it may be noise
	RejectedShare    float64 // share of recent requests that were rejected at arrival, 0 to 1
	ReportsLate      bool    // load reports often show an earlier load; each endpoint's mean load replaces them
}

// countOutcome counts the end of an attempt.
func (s *Stats) countOutcome(a *attempt, status Status, latency Micros) {
	s.Outcomes[min(status, NotSent)]++
	if status == OK {
		s.PredictedLatency += Micros(a.predictedLatency)
		s.Latency += latency
	}
	switch {
	case !a.warming:
	case status == OK:
		s.WarmingOK++
		s.WarmingPredictedLatency += Micros(a.predictedLatency)
		s.WarmingLatency += latency
	case status == Timeout:
		s.WarmingTimeouts++
	}
}

// Stats returns the counts so far and the estimates of the state at now.
func (b *Balancer) Stats(now Micros) Stats {
	s := b.stats
	s.Open, s.Held, s.Waiting = b.ledger.openRequests(), len(b.ledger.requests), len(b.waiting.requests)
	b.membership.fillStats(now, &s)
	b.estimates.fillStats(now, &s)
	s.RejectedShare = b.demand.recentRejectedShare()
	return s
}

// fillStats sets the figures of s that describe endpoints.
func (m *membership) fillStats(now Micros, s *Stats) {
	s.Listed = len(m.endpoints)
	for _, e := range m.endpoints {
		s.InFlight += e.inFlight
		s.Uploading += e.uploading
		s.Cordoned += int(indicator(e.cordoned))
		s.WarmingUp += int(indicator(e.isWarming(now, &m.settings.Contract)))
		s.Ejected += int(indicator(e.isEjected(now)))
		s.Pooled += int(indicator(e.pooled))
	}
}

// fillStats sets the figures of s that the estimator has learned.
func (est *estimator) fillStats(now Micros, s *Stats) {
	s.TypicalLoad, s.ServiceTimeRatio = est.typicalLoad.value, est.fleetServiceTimeRatio.valueOr(1)
	s.Slowdown, s.ReportsLate = est.slowdown(now), est.reportsLate
}

// Since formats the increase of each count from old to s, and the estimates in s of the current state, as
// name=value pairs. Latencies are means in milliseconds. The reported load is the mean over the probes with
// status OK.
func (s *Stats) Since(old *Stats) string {
	meanMillis := func(sum Micros, n uint64) float64 { return float64(sum) / 1000 / float64(max(1, n)) }
	formatStatuses := func(current, previous *[NotSent + 1]uint64) (text string) {
		for i, name := range [...]string{"ok", "error", "rejected", "timeout", "connect", "reset", "cancelled", "not_sent"} {
			if n := current[i] - previous[i]; n > 0 {
				text += fmt.Sprintf(" %s:%d", name, n)
			}
		}
		return "[" + text[min(1, len(text)):] + "]"
	}
	ok, probed := s.Outcomes[OK]-old.Outcomes[OK], s.Probes[OK]-old.Probes[OK]
	warmingOK := s.WarmingOK - old.WarmingOK
	counts := fmt.Sprintf("requests=%d attempts=%d rejected=%d failed=%d "+
		"no_endpoint=%d too_late=%d breaker_rejected=%d throttled=%d outcomes=%s ",
		s.Requests-old.Requests, s.Attempts-old.Attempts, s.Rejected-old.Rejected, s.Failed-old.Failed,
		s.NoEndpoint-old.NoEndpoint, s.TooLate-old.TooLate, s.BreakerRejected-old.BreakerRejected,
		s.Throttled-old.Throttled, formatStatuses(&s.Outcomes, &old.Outcomes))
	latencies := fmt.Sprintf("predicted_ms=%.1f latency_ms=%.1f warming_attempts=%d warming_ok=%d "+
		"warming_timeouts=%d warming_predicted_ms=%.1f warming_latency_ms=%.1f ",
		meanMillis(s.PredictedLatency-old.PredictedLatency, ok), meanMillis(s.Latency-old.Latency, ok),
		s.WarmingAttempts-old.WarmingAttempts, warmingOK, s.WarmingTimeouts-old.WarmingTimeouts,
		meanMillis(s.WarmingPredictedLatency-old.WarmingPredictedLatency, warmingOK),
		meanMillis(s.WarmingLatency-old.WarmingLatency, warmingOK))
	probes := fmt.Sprintf("probes=%s probe_ms=%.2f reported_load=%.2f queued_probes=%d ",
		formatStatuses(&s.Probes, &old.Probes), meanMillis(s.ProbeLatency-old.ProbeLatency, probed),
		(s.ReportedLoad-old.ReportedLoad)/float64(max(1, probed)), s.QueuedProbes-old.QueuedProbes)
	state := fmt.Sprintf("open=%d in_flight=%d uploading=%d listed=%d cordoned=%d warming_up=%d ejected=%d pooled=%d "+
		"typical_load=%.2f service_time_ratio=%.2f slowdown=%.2f rejected_share=%.2f reports_late=%v held=%d waiting=%d",
		s.Open, s.InFlight, s.Uploading, s.Listed, s.Cordoned, s.WarmingUp, s.Ejected, s.Pooled,
		s.TypicalLoad, s.ServiceTimeRatio, s.Slowdown, s.RejectedShare, s.ReportsLate, s.Held, s.Waiting)
	return counts + latencies + probes + state
}
