package balancer

import "fmt"

// Stats counts what a balancer did since its start, and shows the state that it assumes now. The counts only grow:
// on-call staff read them as differences between two lines.
type Stats struct {
	Requests, Attempts, Rejected, Failed uint64

	// Why an attempt was not sent: there was no endpoint that it might go to, it would have come too late, the circuit
	// breakers of two endpoints dropped it, or the error throttle did.
	NoEndpoint, TooLate, BreakerRejected, Throttled uint64

	Outcomes [NotSent + 1]uint64 // of attempts, by status
	Probes   [NotSent + 1]uint64 // by status

	PredictedLatency, Latency Micros // sums over the attempts with status OK
	ProbeLatency              Micros // sum over the probes with status OK

	// Of the attempts and outcomes, those at endpoints that were warming up when sent to, and sums of their latencies.
	WarmingAttempts, WarmingOK, WarmingTimeouts uint64
	WarmingPredictedLatency, WarmingLatency     Micros

	ReportedLoad float64 // sum of the requests that load reports counted
	QueuedProbes uint64  // probes that queued behind requests

	// Requests that are open; attempts in flight, and those whose body is still being sent; endpoints by state.
	Open, InFlight, Uploading, Listed, Cordoned, WarmingUp, Ejected, Pooled int

	TypicalLoad      float64 // requests of others at an endpoint
	ServiceTimeRatio float64 // measured over predicted service time, over the fleet
	Slowdown         float64 // measured over predicted latency, over all endpoints
	RejectedShare    float64 // share of requests rejected at arrival, recently
	ReportsLate      bool    // load reports come late: their means are used instead
}

// outcome counts how an attempt ended.
func (s *Stats) outcome(a *attempt, status Status, latency Micros) {
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

// Stats returns the counts so far and the state at this instant.
func (b *Balancer) Stats(now Micros) Stats {
	s := b.stats
	s.Open = b.ledger.openRequests()
	b.membership.describe(now, &s)
	b.estimates.describe(now, &s)
	s.RejectedShare = b.demand.rejected()
	return s
}

func (m *membership) describe(now Micros, s *Stats) {
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

func (est *estimator) describe(now Micros, s *Stats) {
	s.TypicalLoad, s.ServiceTimeRatio = est.typicalLoad.value, est.fleetServiceTimeRatio.valueOr(1)
	s.Slowdown, s.ReportsLate = est.slowdown(now), est.reportsLate
}

// Since writes the counts of s beyond those of an earlier one, and the state of s, as name=value pairs.
func (s *Stats) Since(old *Stats) string {
	mean := func(sum Micros, n uint64) float64 { return float64(sum) / 1000 / float64(max(1, n)) }
	statuses := func(now, was *[NotSent + 1]uint64) (text string) {
		for i, name := range [...]string{"ok", "error", "rejected", "timeout", "connect", "reset", "cancelled", "not_sent"} {
			if n := now[i] - was[i]; n > 0 {
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
		s.Throttled-old.Throttled, statuses(&s.Outcomes, &old.Outcomes))
	latencies := fmt.Sprintf("predicted_ms=%.1f latency_ms=%.1f warming_attempts=%d warming_ok=%d "+
		"warming_timeouts=%d warming_predicted_ms=%.1f warming_latency_ms=%.1f ",
		mean(s.PredictedLatency-old.PredictedLatency, ok), mean(s.Latency-old.Latency, ok),
		s.WarmingAttempts-old.WarmingAttempts, warmingOK, s.WarmingTimeouts-old.WarmingTimeouts,
		mean(s.WarmingPredictedLatency-old.WarmingPredictedLatency, warmingOK),
		mean(s.WarmingLatency-old.WarmingLatency, warmingOK))
	probes := fmt.Sprintf("probes=%s probe_ms=%.2f reported_load=%.2f queued_probes=%d ",
		statuses(&s.Probes, &old.Probes), mean(s.ProbeLatency-old.ProbeLatency, probed),
		(s.ReportedLoad-old.ReportedLoad)/float64(max(1, probed)), s.QueuedProbes-old.QueuedProbes)
	state := fmt.Sprintf("open=%d in_flight=%d uploading=%d listed=%d cordoned=%d warming_up=%d ejected=%d pooled=%d "+
		"typical_load=%.2f service_time_ratio=%.2f slowdown=%.2f rejected_share=%.2f reports_late=%v",
		s.Open, s.InFlight, s.Uploading, s.Listed, s.Cordoned, s.WarmingUp, s.Ejected, s.Pooled,
		s.TypicalLoad, s.ServiceTimeRatio, s.Slowdown, s.RejectedShare, s.ReportsLate)
	return counts + latencies + probes + state
}
