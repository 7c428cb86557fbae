package balancer

import "math"

// Probing: when endpoints are asked for their load, and what the answers tell.

const (
	maxProbeGap               = second / 10 // longest pause between probe rounds
	maxProbeSpend             = 0.005       // of the result, at most, goes to probes
	minFirstAttemptShare      = 0.3         // at least, of what is asked
	maxProbesPerRequest       = 4.0         // probes a request, at most
	maxRequestProbeSpend      = 0.02        // of the result, at most, goes to probes asked for single requests
	maxProbeWaitShare         = 0.1         // of its aim, at most, a request waits for the probes asked for it
	maxRequestProbeAge        = 0.25        // of its aim: age limit of a figure if probes go with requests
	probeBatch                = 3           // endpoints a round
	queuedProbeThreshold      = 0.05        // share of queued probes from which all are taken to queue
	typicalLoadWeight         = 0.1         // of the latest answer in the usual load
	initialTypicalLoad        = 0.5         // the usual load, until answers tell,
	initialTypicalLoadSamples = 10          // as sure as so many of them
	sparseTypicalLoadWeight   = 0.03        // the same where answers are few
	meanLoadWeight            = 0.1         // the same in the mean load at one endpoint
	minRequestsAhead          = 0.5         // requests a probe must have waited for to count
	minInFlightPerEndpoint    = 0.1         // own requests at an endpoint from which own counts tell its load
	minPoolAge                = second      // an answer is fresh for this long,
	poolRounds                = 3           // or for so many turns of the whole fleet
	maxLateShare              = 0.1         // share of late reports above which their averages serve
	shareWeight               = 0.02        // of the latest sample in a share of all
	settleRoundTrips          = 5.0         // round trips after which a send has surely arrived
)

// startProbeRounds begins the probe rounds, unless they run.
func (b *Balancer) startProbeRounds() {
	// A price of 0 permits the most.
	b.probesPerRequest = min(maxProbesPerRequest, maxRequestProbeSpend/b.settings.Prices.Probe)
	if b.settings.Limits.Probes && !b.probeRoundsActive {
		b.probeRoundsActive = true
		b.actions.StartTimer(1+b.random.duration(maxProbeGap), probeTimerToken)
	}
}

// probeRate is the pace of probes a second that the settings' price allows.
func (b *Balancer) probeRate(now Micros) float64 {
	per := min(maxProbesPerRequest, maxProbeSpend/b.settings.Prices.Probe)
	// The price counts first tries. While all is refused, answers must still show when that may end.
	return max(1, per*b.requestRate.rate(now)*max(minFirstAttemptShare, 1-b.rejectedShare.value))
}

// maxReportAge is how long a pooled answer may be used for a request of this aim.
func (b *Balancer) maxReportAge(now, aim Micros) Micros {
	if b.probePerRequest {
		return Micros(maxRequestProbeAge * float64(aim))
	}
	return max(minPoolAge, Micros(poolRounds*float64(len(b.endpoints))/b.probeRate(now)*float64(second)))
}

func (b *Balancer) probe(now Micros, e *endpoint) {
	lost := now-e.lastProbeAt > 5*second
	if b.settings.Limits.Probes && e.usable() && (lost || !e.probeInFlight) {
		e.probeInFlight, e.lastProbeAt = true, now
		b.warmingTokens -= probeWorkShare * b.classes[0].work.value * indicator(e.isWarming(now, b))
		b.actions.Probe(e.ID)
	}
}

// probeRound probes a few random ready endpoints and arms the next round.
func (b *Balancer) probeRound(now Micros) {
	if b.probeRoundsActive = b.settings.Limits.Probes; !b.probeRoundsActive {
		b.probePerRequest = false
		return
	}
	rate := b.probeRate(now)
	// Where a round of the fleet takes too long for a fresh pool, and own in-flight counts tell little, probes
	// go with requests instead.
	size, own := float64(len(b.endpoints)), b.requestRate.rate(now)*b.classes[0].work.value/float64(second)
	b.probePerRequest = b.probesPerRequest >= 1 && size*float64(second) > rate*float64(minPoolAge) &&
		own < minInFlightPerEndpoint*size
	if b.probePerRequest {
		b.actions.StartTimer(minPoolAge/2+b.random.duration(minPoolAge), probeTimerToken)
		return
	}
	n := max(1, min(probeBatch, int(rate*float64(maxProbeGap)/float64(second))))
	gap := float64(n) / rate * float64(second)
	for try := 0; n > 0 && try < 4*probeBatch && len(b.endpoints) > 0; try++ {
		e := b.endpoints[int(b.random.uniform()*float64(len(b.endpoints)))]
		if e.usable() && !e.probeInFlight {
			b.probe(now, e)
			n--
		}
	}
	b.actions.StartTimer(1+Micros(gap*(0.5+b.random.uniform())), probeTimerToken)
}

// HandleProbe handles a probe's answer.
func (b *Balancer) HandleProbe(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.endpointByID[id]
	if e == nil {
		return
	}
	e.probeInFlight = false
	b.stats.Probes[min(status, NotSent)]++
	if status == OK || status == EndpointError || status == Rejected {
		e.lastResponseAt = now
	}
	if status != OK {
		e.reportedAt = 0 // one that turns probes away or leaves them waiting is no place for a request
		// Its silence tells of a line only where probes wait in one; elsewhere the probe was lost.
		if status == Timeout && b.queuedProbeShare.value > queuedProbeThreshold {
			b.typicalLoad.add(assumedCores+b.requestsAhead(float64(latency)), typicalLoadWeight)
		}
		b.resumeAwaiting(now, e)
		return
	}
	b.stats.ProbeLatency += latency
	fields := b.settings.ReportFields
	held, queue := reportValue(fields, load, FieldInFlight), reportValue(fields, load, FieldQueue)
	hasHeld, util := held >= 0, reportValue(fields, load, FieldUtilization)
	// Each figure proves that at least so much is held there.
	if !hasHeld && queue >= 0 {
		held = queue + assumedCores*indicator(queue >= 1)
	} else if !hasHeld && util >= 0 {
		held = min(util, 1) * assumedCores
	}
	// What one takes beyond the way there and back, and beyond what that sways, it waited in line.
	way := &b.zoneLatencies[e.Zone]
	if held < 1 || way.count == 0 {
		way.add(float64(latency))
	}
	line := b.requestsAhead(way.queueingDelay(float64(latency)))
	b.queuedProbeShare.add(indicator(line >= minRequestsAhead), shareWeight)
	b.stats.ReportedLoad += max(0, held)
	if held >= 0 && line >= minRequestsAhead {
		b.stats.QueuedProbes++
		held = max(held, assumedCores+line)
	}
	if held >= 0 {
		if !e.pooled {
			e.pooled = true
			b.probePool = append(b.probePool, e)
		}
		e.hasReport, e.reportedAt = true, now
		e.reportedLoad, e.inFlightAtReport = max(0, held-float64(e.inFlight)), e.inFlight
		weight := typicalLoadWeight
		if b.reportsSparse(now) {
			weight = sparseTypicalLoadWeight
		}
		if e.isWarming(now, b) {
			b.typicalWarmingLoad.add(e.reportedLoad, weight)
		} else {
			b.typicalLoad.add(e.reportedLoad, weight)
		}
		e.meanLoad.add(e.reportedLoad, meanLoadWeight)
		if b.queuedProbeShare.value > queuedProbeThreshold && line < minRequestsAhead &&
			b.typicalLoad.value < assumedCores {
			// Probes queue here, and this one did not, whatever an old report says.
			e.reportedLoad = min(e.reportedLoad, assumedCores-1)
		}
	}
	b.resumeAwaiting(now, e)
	// A report of fewer than we have there is late, unless some are on their way; averages serve if many are.
	settled := float64(now-e.lastSentAt) > settleRoundTrips*b.zoneLatencies[e.Zone].median
	if own := e.inFlight; hasHeld && own > 0 && settled {
		b.lateReportShare.add(indicator(held+0.5 < float64(own)), shareWeight)
		if b.lateReportShare.value > maxLateShare && !b.reportsLate ||
			b.lateReportShare.value < maxLateShare/3 && b.reportsLate {
			b.reportsLate = !b.reportsLate
			b.log(now, "lag", "load reports delayed: %v, %.0f%% count fewer requests than our own in flight",
				b.reportsLate, 100*b.lateReportShare.value)
		}
	}
}

// reportsSparse says that a round of the whole list by own probes takes longer than reports last. Most sends
// then go by the usual load, which a few odd reports must not move.
func (b *Balancer) reportsSparse(now Micros) bool {
	return b.settings.Limits.Probes && len(b.settings.ReportFields) > 0 &&
		float64(len(b.endpoints))/b.probeRate(now) > poolRounds*float64(minPoolAge)/float64(second)
}

// requestsAhead is how many requests are ahead of a probe that waits so long.
func (b *Balancer) requestsAhead(waited float64) float64 {
	return waited / b.classes[0].work.value * assumedCores
}

// reportValue returns a figure of a load report, or -1 if it is not there or makes no sense.
func reportValue(fields []ReportField, load []float32, want ReportField) float64 {
	for i, f := range fields[:min(len(fields), len(load))] {
		if v := float64(load[i]); f == want && v >= 0 && !math.IsInf(v, 0) { // NaN fails this, too
			return v
		}
	}
	return -1
}
