package balancer

// Probing: when endpoints are probed, and the pool of those whose reports are fresh, after Prequal.

const (
	maxProbeGap      = second / 10 // longest delay between probe rounds
	probeBatch       = 3           // endpoints probed a round
	lostProbeTimeout = 5 * second  // after which a probe without answer no longer prevents another

	// Shares of the result that may be spent on probes: in rounds, and with requests, where a fresh report is
	// worth more.
	maxProbeSpend        = 0.005
	maxRequestProbeSpend = 0.02

	maxProbesPerRequest  = 4.0
	minFirstAttemptShare = 0.3  // share of requests probed for, at least, while many are rejected
	maxProbeWaitShare    = 0.1  // of its latency objective: how long a request waits for its probes
	requestProbeTTLShare = 0.25 // of the latency objective: age limit of a report if probes go with requests

	minReportTTL    = second // for which a report is fresh, at least, if probes go in rounds,
	reportTTLRounds = 3      // or for so many rounds of the complete list

	// minInFlightPerEndpoint is the mean of own requests in flight at an endpoint from which they show its
	// load well enough.
	minInFlightPerEndpoint = 0.1
)

// prober decides when endpoints are probed, and holds the pool of those with a fresh report.
type prober struct {
	*environment
	demand     *demand
	membership *membership
	slowStart  *slowStart

	pool             []*endpoint // endpoints with a fresh report
	probesPerRequest float64     // that the price permits
	perRequest       bool        // probes go with single requests, not in rounds
	roundsActive     bool
}

// start begins the probe rounds, unless they run.
func (p *prober) start() {
	// A price of 0 permits the maximum.
	p.probesPerRequest = min(maxProbesPerRequest, maxRequestProbeSpend/p.settings.Prices.Probe)
	if p.settings.Limits.Probes && !p.roundsActive {
		p.roundsActive = true
		p.actions.StartTimer(1+p.random.duration(maxProbeGap), probeTimerToken)
	}
}

// probesWithRequests reports whether probes go with single requests, not in rounds.
func (p *prober) probesWithRequests() bool { return p.perRequest }

// countPerRequest is the number of probes that go with a request.
func (p *prober) countPerRequest() int { return int(p.probesPerRequest) }

// rate is the rate of probes a second that the price permits.
func (p *prober) rate(now Micros) float64 {
	perRequest := min(maxProbesPerRequest, maxProbeSpend/p.settings.Prices.Probe)
	// The price is paid for requests that are sent. While all are rejected, reports must still show a recovery.
	return max(1, perRequest*p.demand.rate(now)*max(minFirstAttemptShare, 1-p.demand.rejected()))
}

// add puts an endpoint with a fresh report into the pool.
func (p *prober) add(e *endpoint) {
	if !e.pooled {
		e.pooled = true
		p.pool = append(p.pool, e)
	}
}

// freshPool returns the pool for a request of this latency objective, after dropping endpoints whose report
// is too old. The caller must not change the slice.
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

// maxReportAge is how long a report may be used for a request of this latency objective.
func (p *prober) maxReportAge(now, objective Micros) Micros {
	if p.perRequest {
		return Micros(requestProbeTTLShare * float64(objective))
	}
	endpoints := float64(len(p.membership.list()))
	return max(minReportTTL, Micros(reportTTLRounds*endpoints/p.rate(now)*float64(second)))
}

// reportsSparse reports whether a round of the complete list takes longer than reports are fresh. The typical
// load then decides on nearly all requests, and a few outliers must not move it.
func (p *prober) reportsSparse(now Micros) bool {
	return p.settings.Limits.Probes && len(p.settings.ReportFields) > 0 &&
		float64(len(p.membership.list()))/p.rate(now) > reportTTLRounds*float64(minReportTTL)/float64(second)
}

// probe probes e, unless a probe of it is in flight.
func (p *prober) probe(now Micros, e *endpoint) {
	lost := now-e.lastProbeAt > lostProbeTimeout
	if p.settings.Limits.Probes && e.usable() && (lost || !e.probeInFlight) {
		e.probeInFlight, e.lastProbeAt = true, now
		p.slowStart.chargeProbe(now, e)
		p.actions.Probe(e.ID)
	}
}

// mayProbeNew reports whether each new endpoint of a list of so many entries is probed at once. In a fleet
// with more balancers than endpoints, these probes alone could overload an endpoint.
func (p *prober) mayProbeNew(entries int) bool {
	return p.settings.Balancers <= max(len(p.membership.list()), entries)
}

// round probes a few random endpoints and schedules the next round.
func (p *prober) round(now Micros) {
	if p.roundsActive = p.settings.Limits.Probes; !p.roundsActive {
		p.perRequest = false
		return
	}
	rate, endpoints := p.rate(now), p.membership.list()
	p.choosePerRequest(now, rate)
	if p.perRequest {
		p.actions.StartTimer(minReportTTL/2+p.random.duration(minReportTTL), probeTimerToken)
		return
	}
	n := max(1, min(probeBatch, int(rate*float64(maxProbeGap)/float64(second))))
	gap := float64(n) / rate * float64(second)
	for draw := 0; n > 0 && draw < 4*probeBatch && len(endpoints) > 0; draw++ {
		e := endpoints[int(p.random.uniform()*float64(len(endpoints)))]
		if e.usable() && !e.probeInFlight {
			p.probe(now, e)
			n--
		}
	}
	p.actions.StartTimer(1+Micros(gap*(0.5+p.random.uniform())), probeTimerToken)
}

// choosePerRequest decides that probes go with requests if a round of the list takes too long for a fresh
// pool, and the own requests in flight show little of the load.
func (p *prober) choosePerRequest(now Micros, rate float64) {
	size := float64(len(p.membership.list()))
	own := p.demand.rate(now) * p.demand.referenceWork() / float64(second)
	p.perRequest = p.probesPerRequest >= 1 && size*float64(second) > rate*float64(minReportTTL) &&
		own < minInFlightPerEndpoint*size
}
