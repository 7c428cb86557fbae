package balancer

import "math"

// Prediction: the load and the latency to expect at endpoints, learned from outcomes and load reports.

const (
	// assumedCores is how many requests an endpoint is assumed to serve at the same time. Its true number isn't
	// known; the service time ratio absorbs the difference.
	assumedCores = 2.0

	maxServiceTimeRatioAge = 10 * second // over which an endpoint's ratio fades linearly into the fleet's
	trendTimeConstant      = second      // of the exponential decay of the trend without outcomes

	// Weights of the latest sample in an average.
	serviceTimeRatioSampleWeight      = 0.03 // of an endpoint
	fleetServiceTimeRatioSampleWeight = 0.02
	workSampleWeight                  = 0.01 // of a class's work
	trendSampleWeight                 = 0.1

	minClassWorkShare   = 0.001 // of its latency objective: lower bound of a class's work
	minRequestWorkShare = 0.1   // of its class's work: lower bound of the work that a latency is divided by

	maxTrendRatio    = 5.0 // upper bound of a sample: one outlier must not make the fleet look slow
	minSlowdownTrend = 1.5 // trend up to which there is no slowdown

	initialWorkHintExponent = 0.5
	workHintLearningRate    = 0.005 // step of the exponent for an error of factor e at a hint of factor e

	// The share of the remaining time that a request may spend queueing, at the highest priority and at the
	// lowest. The remainder is a margin for the variance of latencies.
	maxQueueingShare = 0.6
	minQueueingShare = 0.2
)

// estimator learns the load and the latency to expect at endpoints.
type estimator struct {
	*environment
	demand *demand
	probes *prober

	zoneLatencies         [256]zoneLatency
	fleetServiceTimeRatio ewma           // measured over predicted service time, over warm endpoints
	queuedProbeShare      ewma           // share of probes that queued behind requests
	lateReportShare       ewma           // share of load reports that must be late
	reportsLate           bool           // so many are that their means are used instead
	typicalLoad           cumulativeMean // requests of other balancers at a warm endpoint
	typicalWarmingLoad    cumulativeMean // typicalLoad of warming endpoints, which all balancers send little
	workHintExponent      float64        // actual work grows with this power of its hint, 0 to 1
	trend                 float64        // measured over predicted latency, over all endpoints, at trendAt
	trendAt               Micros
	warmingSlowness       ewma // measured share of the slowness that the least warm-up fraction implies
	warmingSamples        int  // latencies in warmingSlowness
}

func newEstimator(env *environment, d *demand, p *prober) estimator {
	return estimator{
		environment: env, demand: d, probes: p, trend: 1, workHintExponent: initialWorkHintExponent,
		lateReportShare: newEWMA(0),
		warmingSlowness: newEWMA(initialWarmingSlowness),
		typicalLoad:     cumulativeMean{value: initialTypicalLoad, samples: initialTypicalLoadSamples},
	}
}

// load estimates the requests at e: those of others by the latest report, plus the own ones in flight.
//
// Where balancers keep a pool, half of the others are assumed to have sent what this one has since the
// report, or all would choose the endpoint with the same low report. Late reports do not show the present
// load, but their mean still ranks the endpoints.
func (est *estimator) load(now Micros, e *endpoint) float64 {
	typical := est.typicalLoad.value
	if e.warming {
		typical = est.typicalWarmingLoad.value
	}
	if est.reportsLate || !e.hasReport {
		return e.meanLoad.valueOr(typical) + float64(e.inFlight)
	}
	others := e.reportedLoad
	if est.probes.reportsSparse(now) {
		// A report may be minutes old. In an overload, low reports from before it would attract all requests, and
		// none would seem late.
		age := float64(now - e.reportedAt)
		others = typical + (others-typical)*math.Exp(-age/float64(minReportTTL))
	}
	sentSince := float64(max(0, e.inFlight-e.inFlightAtReport))
	othersSentSince := float64(est.settings.Balancers-1) / 2 * sentSince * indicator(!est.probes.probesWithRequests())
	return others + float64(e.inFlight) + othersSentSince
}

// queueingFactor is how many times longer than without load a request takes at e.
func (est *estimator) queueingFactor(now Micros, e *endpoint) float64 {
	return max(1, (est.load(now, e)+1)/assumedCores)
}

// roundTrip is the round-trip time to e's zone in microseconds.
func (est *estimator) roundTrip(e *endpoint) float64 { return est.zoneLatencies[e.Zone].median }

// serviceTimeRatio is e's measured over its predicted service time, higher while it is warming up. Without
// recent samples it returns to the fleet's, so that an endpoint once found slow is tried again.
func (est *estimator) serviceTimeRatio(now Micros, e *endpoint) float64 {
	typical := est.fleetServiceTimeRatio.valueOr(1)
	relativeAge := float64(now-e.serviceTimeRatioAt) / float64(maxServiceTimeRatioAge)
	weight := max(0, 1-relativeAge) * indicator(e.serviceTimeRatio.initialized)
	return (typical + (e.serviceTimeRatio.value-typical)*weight) * est.warmingSlowdown(now, e)
}

// warmingSlowdown is how many times longer than once warm a request takes at e. The warm-up fraction is only
// a lower bound of e's capacity; measured latencies show how much of the slowness that it implies is real.
func (est *estimator) warmingSlowdown(now Micros, e *endpoint) float64 {
	return 1 + (1/e.warmupFraction(now, &est.settings.Contract)-1)*est.warmingSlowness.value
}

// likelyWarmupFraction is the expected share of its capacity that e has by now: as latencies show, but
// limited to a multiple of the least.
func (est *estimator) likelyWarmupFraction(now Micros, e *endpoint) float64 {
	maxMultiple := 1 + maxExtraFraction*min(1, float64(est.warmingSamples)/fullExtraSamples)
	minFraction := e.warmupFraction(now, &est.settings.Contract)
	return min(maxMultiple*minFraction, max(minFraction, 1/est.warmingSlowdown(now, e)))
}

// latency is the latency expected of a request of this work sent to e now, in microseconds.
func (est *estimator) latency(now Micros, e *endpoint, work float64) float64 {
	return est.roundTrip(e) +
		work*est.slowdown(now)*est.serviceTimeRatio(now, e)*est.queueingFactor(now, e)
}

// latencyWithoutTrend is the latency expected from e's service time and load alone.
func (est *estimator) latencyWithoutTrend(now Micros, e *endpoint, work float64) float64 {
	return est.roundTrip(e) + work*est.serviceTimeRatio(now, e)*est.queueingFactor(now, e)
}

// latencyLimit is the longest predicted latency, in microseconds, at which r is still sent to e: its latency
// there without load, and for queueing a share of the time that its objective leaves. Requests of high
// priority get the larger share, so that those of low priority are shed first.
func (est *estimator) latencyLimit(now Micros, r *request, e *endpoint) float64 {
	unloaded := est.roundTrip(e) + r.work*est.slowdown(now)*est.serviceTimeRatio(now, e)
	queueingShare := max(minQueueingShare, maxQueueingShare*r.priority)
	if n := len(r.attempts); n > 0 && r.attempts[n-1].declaredLost {
		// The lost attempt has used up the time for queueing.
		queueingShare = 1
	}
	headroom := float64(r.class.LatencyObjective) - float64(now-r.arrivedAt) - unloaded
	return min(unloaded+queueingShare*headroom, float64(r.Deadline-now))
}

// estimateWork sets the work of a request from its class and its hint, and learns from the hint.
func (est *estimator) estimateWork(r *request) {
	c := r.class
	r.work = c.work.value
	if r.HasWorkHint && r.WorkHint > 0 {
		c.work.add(float64(r.WorkHint), workSampleWeight)
		r.logWorkHint = math.Log(float64(r.WorkHint) / c.work.value)
		r.work = c.work.value * math.Exp(est.workHintExponent*r.logWorkHint)
	}
}

// latencySample is what is known of the latency of an attempt.
type latencySample struct {
	latency    float64 // microseconds
	lowerBound bool    // the attempt has not been answered by then
}

// learnServiceTime updates the ratios, the work of r's class and the trend by the latency of an attempt.
func (est *estimator) learnServiceTime(now Micros, r *request, a *attempt, sample latencySample) {
	e, c := a.endpoint, r.class
	unloaded := max(0, sample.latency-est.roundTrip(e)) / a.queueingFactor
	// A request with hardly any work spends what it takes beyond the prediction elsewhere.
	predictedRatio, warmingFactor := est.serviceTimeRatio(now, e), est.warmingSlowdown(now, e)
	measuredRatio := predictedRatio + (unloaded-predictedRatio*r.work)/max(r.work, minRequestWorkShare*c.work.value)
	// An attempt that was overtaken may be lost, and then says nothing of service times.
	if sample.lowerBound && (measuredRatio <= predictedRatio || e.lastAnsweredSentAt > a.sentAt) {
		return
	}
	est.updateTrend(now, sample.latency/a.predictedWithoutTrend)
	if !sample.lowerBound && r.logWorkHint != 0 && measuredRatio > 0 {
		// Inaccurate hints overstate large work and understate small: a gradient step in logarithms.
		step := workHintLearningRate * r.logWorkHint * math.Log(measuredRatio/predictedRatio)
		est.workHintExponent = min(1, max(0, est.workHintExponent+step))
	}
	warmRatio := predictedRatio / warmingFactor // the stored ratio is that of the endpoint once warm
	e.serviceTimeRatio = newEWMA(warmRatio)
	e.serviceTimeRatio.add(measuredRatio/warmingFactor, serviceTimeRatioSampleWeight)
	if minFraction := e.warmupFraction(now, &est.settings.Contract); minFraction < 1 && warmRatio > 0 {
		est.warmingSamples++
		est.warmingSlowness.add(min(1, max(0, (measuredRatio/warmRatio-1)/(1/minFraction-1))), warmingSlownessWeight)
	}
	e.serviceTimeRatioAt = now
	if sample.lowerBound {
		return
	}
	if !r.HasWorkHint {
		// Without hints a class's work is its mean latency without load. One answer raises ratio and work, and the
		// prediction by their product: its effect on the work is bounded.
		minWork, maxWork := minClassWorkShare*float64(c.LatencyObjective), maxTrendRatio*c.work.value
		c.work.add(min(max(minWork, unloaded), maxWork), workSampleWeight)
	}
	if !e.warming {
		est.fleetServiceTimeRatio.add(measuredRatio, fleetServiceTimeRatioSampleWeight)
	}
}

// updateTrend updates the trend by one outcome: if the entire fleet slows down or recovers, the ratios of
// endpoints that get few requests from here are learned late. ratio is the latency over the prediction
// without the trend; with it, requests sent before the trend rose would raise it a second time.
func (est *estimator) updateTrend(now Micros, ratio float64) {
	trend := est.currentTrend(now)
	est.trend, est.trendAt = trend+(min(ratio, maxTrendRatio)-trend)*trendSampleWeight, now
}

// currentTrend decays to 1 without outcomes, so that a trend which rejects all requests ends.
func (est *estimator) currentTrend(now Micros) float64 {
	return 1 + (est.trend-1)*math.Exp(-float64(now-est.trendAt)/float64(trendTimeConstant))
}

// slowdown is the factor by which all endpoints are slower than predicted; 1 while that may be noise.
func (est *estimator) slowdown(now Micros) float64 {
	return max(1, est.currentTrend(now)/minSlowdownTrend)
}
