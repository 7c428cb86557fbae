package balancer

import "math"

// Prediction: the latency to expect of an endpoint, learned from outcomes and reported load.

const (
	serviceTimeRatioLife   = 10 * second
	serviceTimeRatioWeight = 0.03
	fleetWeight            = 0.02
	workWeight             = 0.01
	minClassWorkShare      = 0.001 // of its aim: no class's work is taken for less
	minRequestWorkShare    = 0.1   // of its class's work: a request of less tells of the pace as if it had this
	assumedCores           = 2.0   // requests that an endpoint works at side by side, assumed
	hintTrustWeight        = 0.005
	trendWeight            = 0.1
	maxTrendRatio          = 5.0 // one outcome counts as no more than this many times the prediction
	trendNoise             = 1.5
	trendLife              = second
)

// estimatedLoad estimates the requests at e: the last report plus own sends since, less own answers since.
// Where balancers keep a pool, half of the others are assumed to send as this one, or all would choose the
// same low report. Late reports do not tell the present load, but their mean still ranks the endpoints.
func (b *Balancer) estimatedLoad(now Micros, e *endpoint) float64 {
	usual := b.typicalLoad.value
	if e.warming {
		usual = b.typicalWarmingLoad.value
	}
	if b.reportsLate || !e.hasReport {
		return e.meanLoad.or(usual) + float64(e.inFlight)
	}
	others := e.reportedLoad
	if b.reportsSparse(now) {
		// An answer may be minutes old. Those of calmer times would draw all in an overload, and none seem late.
		others = usual + (others-usual)*math.Exp(-float64(now-e.reportedAt)/float64(minPoolAge))
	}
	sentSince := float64(max(0, e.inFlight-e.inFlightAtReport))
	herd := float64(b.settings.Balancers-1) / 2 * sentSince * indicator(!b.probePerRequest)
	return others + float64(e.inFlight) + herd
}

// queueingFactor is how much longer than alone a request takes at e's load.
func (b *Balancer) queueingFactor(now Micros, e *endpoint) float64 {
	return max(1, (b.estimatedLoad(now, e)+1)/assumedCores)
}

// currentServiceTimeRatio is e's time per unit of work, longer while it is cold. Without recent samples it
// returns to the fleet's, so that an endpoint once found slow is tried again.
func (e *endpoint) currentServiceTimeRatio(now Micros, b *Balancer) float64 {
	usual := b.fleetServiceTimeRatio.or(1)
	age := float64(now-e.serviceTimeRatioAt) / float64(serviceTimeRatioLife)
	trust := max(0, 1-age) * indicator(e.serviceTimeRatio.initialized)
	return (usual + (e.serviceTimeRatio.value-usual)*trust) * e.warmingSlowdown(now, b)
}

// predictLatency is the latency expected of a request of this work sent to e now.
func (b *Balancer) predictLatency(now Micros, e *endpoint, work float64) float64 {
	return b.zoneLatencies[e.Zone].median +
		work*b.slowdown(now)*e.currentServiceTimeRatio(now, b)*b.queueingFactor(now, e)
}

// learnServiceTime learns from a latency; atLeast says that it is only a lower bound.
func (b *Balancer) learnServiceTime(now Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e, c := a.endpoint, r.class
	alone := max(0, latency-b.zoneLatencies[e.Zone].median) / a.queueingFactor
	// What a request of next to no work takes beyond the prediction was not spent on that work.
	pace, slowed := e.currentServiceTimeRatio(now, b), e.warmingSlowdown(now, b)
	x := pace + (alone-pace*r.work)/max(r.work, minRequestWorkShare*c.work.value)
	// One that was overtaken may be lost, and then says nothing of how fast e is, or the fleet.
	if atLeast && (x <= pace || e.lastAnsweredSentAt > a.sentAt) {
		return
	}
	b.updateTrend(now, latency/a.predictedWithoutTrend)
	if !atLeast && r.logWorkHint != 0 && x > 0 {
		// Rough hints overstate the large and understate the small: learn how far they tell.
		b.workHintTrust = min(1, max(0, b.workHintTrust+hintTrustWeight*r.logWorkHint*math.Log(x/pace)))
	}
	warm := pace / slowed // what is kept is the pace once warm
	e.serviceTimeRatio = ewma{value: warm, initialized: true}
	e.serviceTimeRatio.add(x/slowed, serviceTimeRatioWeight)
	if least := e.warmupFraction(now, b); least < 1 && warm > 0 {
		b.warmingSamples++
		b.warmingSlowness.add(min(1, max(0, (x/warm-1)/(1/least-1))), warmingSlownessWeight)
	}
	e.serviceTimeRatioAt = now
	if atLeast {
		return
	}
	if !r.HasWorkHint {
		// Without hints a class's work is its mean latency without a queue. One answer raises pace and work, and
		// the prediction by their product: its effect on the work is bounded.
		least, most := minClassWorkShare*float64(c.LatencyObjective), maxTrendRatio*c.work.value
		c.work.add(min(max(least, alone), most), workWeight)
	}
	if !e.warming {
		b.fleetServiceTimeRatio.add(x, fleetWeight)
	}
}

// updateTrend moves the trend by one outcome: when the whole fleet slows down or recovers, the paces of
// endpoints with little traffic of ours are learned late. ratio is the latency over the prediction without
// the trend, or requests sent before the trend rose would raise it a second time.
func (b *Balancer) updateTrend(now Micros, ratio float64) {
	trend := b.currentTrend(now)
	b.latencyTrend, b.latencyTrendAt = trend+(min(ratio, maxTrendRatio)-trend)*trendWeight, now
}

func (b *Balancer) currentTrend(now Micros) float64 {
	return 1 + (b.latencyTrend-1)*math.Exp(-float64(now-b.latencyTrendAt)/float64(trendLife))
}

// slowdown is the trend beyond noise. It decays without outcomes: refusals must not keep it up.
func (b *Balancer) slowdown(now Micros) float64 {
	return max(1, b.currentTrend(now)/trendNoise)
}

// warmingSlowdown is how many times longer than once warm a request takes at e. Its warmth is only the least
// that it may have by now: how much of that slowness there is shows in the latencies of the cold ones.
func (e *endpoint) warmingSlowdown(now Micros, b *Balancer) float64 {
	return 1 + (1/e.warmupFraction(now, b)-1)*b.warmingSlowness.value
}

// latencyLimit is the longest predicted latency at which r is still sent to e: its time there without a
// queue, and a part of what the aim leaves for waiting. Classes of little value for their work give way
// first.
func (b *Balancer) latencyLimit(now Micros, r *request, e *endpoint) float64 {
	alone := b.zoneLatencies[e.Zone].median + r.work*b.slowdown(now)*e.currentServiceTimeRatio(now, b)
	share := max(minQueueingShare, maxQueueingShare*r.priority)
	if n := len(r.attempts); n > 0 && r.attempts[n-1].presumedLost {
		// The request was swallowed: it has waited longer than its class should already.
		share = 1
	}
	spare := float64(r.class.LatencyObjective) - float64(now-r.arrivedAt) - alone
	return min(alone+share*spare, float64(r.Deadline-now))
}
