package balancer

// Probing: when endpoints are probed, and the pool of endpoints with a fresh load report, as in Prequal.

const (
	maxRoundGap       = second / 10 // longest mean delay between rounds, unless the price permits no probe in it
	maxProbesPerRound = 3           // endpoints probed in one round, at most
	lostProbeTimeout  = 5 * second  // an unanswered probe prevents another of the same endpoint for this time

	// Limits on the cost of the probes per request, as shares of the score (see Prices). Each probe costs
	// Prices.Probe, so limit / Prices.Probe is the permitted number of probes per request. The first limit
	// applies if endpoints are probed in rounds, the second if probes are sent when a request arrives: the
	// reports are then fresher, and so worth more.
	maxRoundProbeCost   = 0.005
	maxRequestProbeCost = 0.02

	maxProbesPerRequest     = 4.0
	minProbedRequestShare   = 0.3  // least share of requests for which probes are sent, despite rejections
	maxProbeWaitShare       = 0.1  // longest wait of a request for probes, as a share of its latency objective
	reportTTLObjectiveShare = 0.25 // age limit of a report as a share of the latency objective, if withRequests

	// If endpoints are probed in rounds, a report is fresh for the time in which reportTTLRounds probes per
	// listed endpoint are sent, and for minReportTTL at least.
	minReportTTL    = second
	reportTTLRounds = 3

	// If this balancer has at least minInFlightPerEndpoint requests in flight per endpoint on average, these
	// requests show the load of endpoints well enough.
	minInFlightPerEndpoint = 0.1
)

// prober decides when endpoints are probed, and holds the pool of endpoints with a fresh load report.
type prober struct {
	*environment
	demand     *demand
	membership *membership
	slowStart  *slowStart

	pool             []*endpoint // endpoints with a fresh load report
	probesPerRequest float64     // probes that the price permits for each request in the mode withRequests
	withRequests     bool        // probes are sent when a request arrives, not in rounds
	roundsActive     bool        // a timer for the next round is running
}

// start sets probesPerRequest from the price. It starts the probe rounds if probes are permitted and the
// rounds do not run yet.
func (p *prober) start() {
	// A price of 0 gives an infinite quotient, and so the maximum.
	p.probesPerRequest = min(maxProbesPerRequest, maxRequestProbeCost/p.settings.Prices.Probe)
	if p.settings.Limits.Probes && !p.roundsActive {
		p.roundsActive = true
		p.actions.StartTimer(1+p.random.duration(maxRoundGap), probeTimerToken)
	}
}

// probesWithRequests reports whether probes are sent when a request arrives, not in rounds.
func (p *prober) probesWithRequests() bool { return p.withRequests }

// countPerRequest returns the number of probes sent when a request arrives, if probesWithRequests.
func (p *prober) countPerRequest() int { return int(p.probesPerRequest) }

// rate returns the number of probes per second that the price permits in rounds, at least 1.
func (p *prober) rate(now Micros) float64 {
	probesPerRequest := min(maxProbesPerRequest, maxRoundProbeCost/p.settings.Prices.Probe)
	// The price is paid for requests that are sent, so rejected requests do not add to the probes that it
	// permits. But there must be load reports even while all requests are rejected, since these reports show a
	// recovery.
	return max(1, probesPerRequest*p.demand.rate(now)*
		max(minProbedRequestShare, 1-p.demand.recentRejectedShare()))
}

// add puts an endpoint with a fresh load report into the pool, if it is not there yet.
func (p *prober) add(e *endpoint) {
	if !e.pooled {
		e.pooled = true
		p.pool = append(p.pool, e)
	}
}

// freshPool returns the pool for a request of this latency objective. It first drops the endpoints that are
// not usable and those whose report is too old. The caller must not modify the slice.
func (p *prober) freshPool(now, objective Micros) []*endpoint {
	maxAge := p.maxReportAge(now, objective)
	kept := p.pool[:0]
	for _, e := range p.pool {
		if e.pooled = e.usable() && now-e.reportedAt <= maxAge; e.pooled {
			kept = append(kept, e)
		}
	}
	clear(p.pool[len(kept):])
	p.pool = kept
	return p.pool
}

// maxReportAge returns the age up to which a report may be used for a request of this latency objective.
func (p *prober) maxReportAge(now, objective Micros) Micros {
	if p.withRequests {
		return Micros(reportTTLObjectiveShare * float64(objective))
	}
	endpoints := float64(len(p.membership.list()))
	return max(minReportTTL, Micros(reportTTLRounds*endpoints/p.rate(now)*float64(second)))
}

// reportsSparse reports whether probing the complete list once takes longer than reportTTLRounds times
// minReportTTL. The typical load of the fleet then stands in for the load of nearly all endpoints, and a few
// outliers must not change that typical load much.
func (p *prober) reportsSparse(now Micros) bool {
	return p.settings.Limits.Probes && len(p.settings.ReportFields) > 0 &&
		float64(len(p.membership.list()))/p.rate(now) > reportTTLRounds*float64(minReportTTL)/float64(second)
}

// probe sends a probe to e if probes are permitted, e is usable and no probe of it is in flight. A probe
// without answer is regarded as lost after lostProbeTimeout.
func (p *prober) probe(now Micros, e *endpoint) {
	lost := now-e.lastProbeAt > lostProbeTimeout
	if p.settings.Limits.Probes && e.usable() && (lost || !e.probeInFlight) {
		e.probeInFlight, e.lastProbeAt = true, now
		p.slowStart.chargeProbe(now, e)
		p.actions.Probe(e.ID)
	}
}

// mayProbeNewEndpoints reports whether the new endpoints of a list with this number of entries are probed at
// once. If there are more balancers than endpoints, these probes alone could overload an endpoint.
func (p *prober) mayProbeNewEndpoints(entries int) bool {
	return p.settings.Balancers <= max(len(p.membership.list()), entries)
}

// runRound probes a few random endpoints and starts the timer of the next round.
func (p *prober) runRound(now Micros) {
	if p.roundsActive = p.settings.Limits.Probes; !p.roundsActive {
		p.withRequests = false
		return
	}
	rate, endpoints := p.rate(now), p.membership.list()
	p.chooseMode(now, rate)
	if p.withRequests {
		p.actions.StartTimer(minReportTTL/2+p.random.duration(minReportTTL), probeTimerToken)
		return
	}
	remaining := max(1, min(maxProbesPerRound, int(rate*float64(maxRoundGap)/float64(second))))
	gap := float64(remaining) / rate * float64(second)
	for draw := 0; remaining > 0 && draw < 4*maxProbesPerRound && len(endpoints) > 0; draw++ {
		e := endpoints[int(p.random.uniform()*float64(len(endpoints)))]
		if e.usable() && !e.probeInFlight {
			p.probe(now, e)
			remaining--
		}
	}
	p.actions.StartTimer(1+Micros(gap*(0.5+p.random.uniform())), probeTimerToken)
}

// chooseMode decides whether probes are sent when requests arrive, or in rounds of rate probes per second.
// They are sent with requests if the price permits at least one per request, probing the complete list in
// rounds would take longer than minReportTTL, and this balancer's requests in flight show little of the load.
func (p *prober) chooseMode(now Micros, rate float64) {
	endpoints := float64(len(p.membership.list()))
	ownInFlight := p.demand.rate(now) * p.demand.referenceWork() / float64(second)
	p.withRequests = p.probesPerRequest >= 1 && endpoints*float64(second) > rate*float64(minReportTTL) &&
		ownInFlight < minInFlightPerEndpoint*endpoints
}
