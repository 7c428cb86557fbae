package balancer

import "math"

// This file predicts the load and the latency at endpoints, from outcomes of attempts and from load reports.

const (
	// assumedCores is the number of requests that an endpoint is assumed to serve in parallel. The true number
	// isn't known; the service time ratio absorbs the difference.
	assumedCores = 2.0

	maxServiceTimeRatioAge = 10 * second // age at which an endpoint's ratio has faded linearly to the fleet's
	trendTimeConstant      = second      // time constant of the exponential decay of estimator.trend to 1

	// Sample weights: an average a with weight w becomes a + w (x - a) by its latest sample x.
	serviceTimeRatioSampleWeight      = 0.03 // weight in the service time ratio of an endpoint
	fleetServiceTimeRatioSampleWeight = 0.02 // weight in the service time ratio of the fleet
	workSampleWeight                  = 0.01 // weight in the mean work of a class
	trendSampleWeight                 = 0.1  // weight in the trend

	minClassWorkShare   = 0.001 // lower bound of a class's work, as a share of its latency objective
	minRequestWorkShare = 0.1   // lower bound of the divisor in measuredRatio, as a share of the class's work

	maxTrendRatio    = 5.0 // upper bound of a trend sample: one outlier must not make the fleet look slow
	minSlowdownTrend = 1.5 // trend above which the fleet is regarded as slow; see the method slowdown

	initialWorkHintExponent = 0.5   // workHintExponent before any outcome
	workHintLearningRate    = 0.005 // workHintExponent step / (ln(hint / mean work) * ln(measured / predicted))

	// Shares of a request's headroom (see latencyLimit) that it may spend queueing. The rest of the headroom is
	// a margin for the variance of latencies.
	maxQueueingShare = 0.6 // share at the highest priority
	minQueueingShare = 0.2 // share at the lowest priority
)

// estimator learns from outcomes and load reports what load and latency to expect at endpoints.
type estimator struct {
	*environment
	demand *demand
	probes *prober

	zoneLatencies         [256]zoneLatency // probe latencies, indexed by Endpoint.Zone
	fleetServiceTimeRatio ewma             // mean of measured / predicted service time at warm endpoints
	queuedProbeShare      ewma             // share of probes that queued behind requests
	lateReportShare       ewma             // share of load reports found to be late; see checkReportDelay
	reportsLate           bool             // reports are late so often that endpoints' mean loads replace them
	typicalLoad           cumulativeMean   // mean number of requests of other balancers at a warm endpoint
	typicalWarmingLoad    cumulativeMean   // like typicalLoad, at a warming endpoint, which gets fewer requests
	workHintExponent      float64          // actual work grows with this power of its hint; 0 to 1
	trend                 float64          // mean of latency / prediction over all endpoints, as of trendAt
	trendAt               Micros           // instant of the latest sample of trend
	warmingSlowness       ewma             // measured share of the slowdown that the warm-up fraction implies
	warmingSamples        int              // number of samples in warmingSlowness
}

func newEstimator(env *environment, d *demand, p *prober) estimator {
	return estimator{
		environment: env, demand: d, probes: p, trend: 1, workHintExponent: initialWorkHintExponent,
		lateReportShare: newEWMA(0),
		warmingSlowness: newEWMA(initialWarmingSlowness),
		typicalLoad:     cumulativeMean{value: initialTypicalLoad, samples: initialTypicalLoadSamples},
	}
}

// load estimates the number of requests at e as
//
//	load = others + own + (B - 1) / 2 * sent
//
// where others is the load of other balancers in the latest report, own this balancer's requests in flight
// at e, B the number of balancers, and sent the increase of own since the report. The last term applies only
// if probes go in rounds. It assumes that half of the other balancers sent as much as this one; without this
// term, all would choose the endpoint with the lowest report. Without a report, or if reports are late, load
// is e's mean load + own: late reports do not show the present load, but their mean still ranks endpoints.
func (est *estimator) load(now Micros, e *endpoint) float64 {
	typical := est.typicalLoad.value
	if e.warming {
		typical = est.typicalWarmingLoad.value
	}
	if est.reportsLate || !e.hasReport {
		return e.meanReportedLoad.valueOr(typical) + float64(e.inFlight)
	}
	others := e.reportedLoad
	if est.probes.reportsSparse(now) {
		// A report may be minutes old and fades into the typical load. Otherwise low reports from before an
		// overload would attract all requests during it, and no request would be predicted to be late.
		age := float64(now - e.reportedAt)
		others = typical + (others-typical)*math.Exp(-age/float64(minReportTTL))
	}
	sentSince := float64(max(0, e.inFlight-e.inFlightAtReport))
	othersSent := float64(est.settings.Balancers-1) / 2 * sentSince * indicator(!est.probes.probesWithRequests())
	return others + float64(e.inFlight) + othersSent
}

// queueingFactor returns the predicted ratio of a request's service time at e to that without load:
// max(1, (L + 1) / assumedCores), where L is the load at e.
func (est *estimator) queueingFactor(now Micros, e *endpoint) float64 {
	return max(1, (est.load(now, e)+1)/assumedCores)
}

// roundTrip returns the round-trip time to e's zone in microseconds.
func (est *estimator) roundTrip(e *endpoint) float64 { return est.zoneLatencies[e.Zone].median }

// serviceTimeRatio returns the expected ratio of e's actual to its predicted service time:
//
//	ratio = (F + (E - F) * max(0, 1 - age / maxServiceTimeRatioAge)) * W
//
// where F is the fleet's ratio, E is e's own ratio without the slowdown by the warm-up, age is the time since
// E's latest sample, and W is warmingSlowdown. Without recent samples the ratio returns to the fleet's, so
// that an endpoint once found slow is tried again.
func (est *estimator) serviceTimeRatio(now Micros, e *endpoint) float64 {
	typical := est.fleetServiceTimeRatio.valueOr(1)
	relativeAge := float64(now-e.serviceTimeRatioAt) / float64(maxServiceTimeRatioAge)
	weight := max(0, 1-relativeAge) * indicator(e.serviceTimeRatio.initialized)
	return (typical + (e.serviceTimeRatio.value-typical)*weight) * est.warmingSlowdown(now, e)
}

// warmingSlowdown returns the ratio of a request's service time at e now to that once e is warm:
// 1 + (1/f - 1) * s, where f is the warm-up fraction and s is warmingSlowness. The warm-up fraction is only a
// lower bound of e's share of its capacity; s, learned from latencies, is how much of the slowdown that f
// implies is real.
func (est *estimator) warmingSlowdown(now Micros, e *endpoint) float64 {
	return 1 + (1/e.warmupFraction(now, &est.settings.Contract)-1)*est.warmingSlowness.value
}

// likelyWarmupFraction returns the expected share of its full capacity that e has by now:
// min(m*f, max(f, 1/W)), where f is the warm-up fraction, a lower bound of that share, W is warmingSlowdown,
// m = 1 + maxExtraFraction * min(1, n/samplesForMaxExtraFraction) and n is warmingSamples.
func (est *estimator) likelyWarmupFraction(now Micros, e *endpoint) float64 {
	maxMultiple := 1 + maxExtraFraction*min(1, float64(est.warmingSamples)/samplesForMaxExtraFraction)
	minFraction := e.warmupFraction(now, &est.settings.Contract)
	return min(maxMultiple*minFraction, max(minFraction, 1/est.warmingSlowdown(now, e)))
}

// latency returns the predicted latency in microseconds of a request sent to e now:
// roundTrip + work * slowdown * serviceTimeRatio * queueingFactor. work is in microseconds.
func (est *estimator) latency(now Micros, e *endpoint, work float64) float64 {
	return est.roundTrip(e) +
		work*est.slowdown(now)*est.serviceTimeRatio(now, e)*est.queueingFactor(now, e)
}

// latencyWithoutTrend returns the predicted latency without the slowdown of the fleet: from the round-trip
// time, e's service time and its load alone.
func (est *estimator) latencyWithoutTrend(now Micros, e *endpoint, work float64) float64 {
	return est.roundTrip(e) + work*est.serviceTimeRatio(now, e)*est.queueingFactor(now, e)
}

// latencyLimit returns the longest predicted latency, in microseconds, at which r may still be sent to e:
//
//	limit = min(U + share * headroom, D),  headroom = objective - elapsed - U
//
// where U is the latency of r at e without load, objective the latency objective of r's class, elapsed the
// time since r's arrival, D the time until r's deadline, and share the part of the headroom that r may spend
// queueing. Requests of high priority get a larger share, so that those of low priority are shed first.
func (est *estimator) latencyLimit(now Micros, r *request, e *endpoint) float64 {
	unloaded := est.roundTrip(e) + r.work*est.slowdown(now)*est.serviceTimeRatio(now, e)
	queueingShare := max(minQueueingShare, maxQueueingShare*r.priority)
	if n := len(r.attempts); n > 0 && r.attempts[n-1].declaredLost {
		// The lost attempt has used up the time for queueing: the next one may use all of the headroom.
		queueingShare = 1
	}
	headroom := float64(r.class.LatencyObjective) - float64(now-r.arrivedAt) - unloaded
	return min(unloaded+queueingShare*headroom, float64(r.Deadline-now))
}

// estimateWork adds the work hint h of r to the mean work w of its class and then sets the work of r to
// w (h/w)^x, where x is the work hint exponent. Without a hint, the work of r is w.
func (est *estimator) estimateWork(r *request) {
	c := r.class
	r.work = c.work.value
	if r.HasWorkHint && r.WorkHint > 0 {
		c.work.add(float64(r.WorkHint), workSampleWeight)
		r.logWorkHint = math.Log(float64(r.WorkHint) / c.work.value)
		r.work = c.work.value * math.Exp(est.workHintExponent*r.logWorkHint)
	}
}

// latencySample is the latency of an attempt, or a lower bound of it.
type latencySample struct {
	latency    float64 // microseconds
	lowerBound bool    // the attempt had no answer yet after this latency
}

// learnServiceTime updates the service time ratios, the trend, the work hint exponent, the warming slowness
// and the work of r's class from the latency of r's attempt a.
func (est *estimator) learnServiceTime(now Micros, r *request, a *attempt, sample latencySample) {
	e, c := a.endpoint, r.class
	unloaded := max(0, sample.latency-est.roundTrip(e)) / a.queueingFactor
	// A request with hardly any work spends the time beyond its prediction elsewhere, such as in the network:
	// the divisor of this excess is at least minRequestWorkShare of the class's work.
	predictedRatio, warmingFactor := est.serviceTimeRatio(now, e), est.warmingSlowdown(now, e)
	measuredRatio := predictedRatio +
		(unloaded-predictedRatio*r.work)/max(r.work, minRequestWorkShare*c.work.value)
	// If e answered a later attempt first, this one may be lost, and its latency then says nothing about
	// service times.
	if sample.lowerBound && (measuredRatio <= predictedRatio || e.lastAnsweredSentAt > a.sentAt) {
		return
	}
	est.updateTrend(now, sample.latency/a.predictedWithoutTrend)
	if !sample.lowerBound && r.logWorkHint != 0 && measuredRatio > 0 {
		// Inaccurate hints overstate large work and understate small work. The exponent is therefore corrected
		// by a gradient step, computed with the logarithms of the hint and of the error.
		step := workHintLearningRate * r.logWorkHint * math.Log(measuredRatio/predictedRatio)
		est.workHintExponent = min(1, max(0, est.workHintExponent+step))
	}
	warmRatio := predictedRatio / warmingFactor // the stored ratio is that of a warm endpoint
	e.serviceTimeRatio = newEWMA(warmRatio)
	e.serviceTimeRatio.add(measuredRatio/warmingFactor, serviceTimeRatioSampleWeight)
	if minFraction := e.warmupFraction(now, &est.settings.Contract); minFraction < 1 && warmRatio > 0 {
		est.warmingSamples++
		est.warmingSlowness.add(
			min(1, max(0, (measuredRatio/warmRatio-1)/(1/minFraction-1))), warmingSlownessWeight)
	}
	e.serviceTimeRatioAt = now
	if sample.lowerBound {
		return
	}
	if !r.HasWorkHint {
		// Without hints, the work of a class is the mean of its latencies without load. The effect of one answer
		// on the work is bounded, as it raises both the ratio and the work, and the prediction is their product.
		minWork, maxWork := minClassWorkShare*float64(c.LatencyObjective), maxTrendRatio*c.work.value
		c.work.add(min(max(minWork, unloaded), maxWork), workSampleWeight)
	}
	if !e.warming {
		est.fleetServiceTimeRatio.add(measuredRatio, fleetServiceTimeRatioSampleWeight)
	}
}

// updateTrend updates the trend by one outcome. The trend is needed when the entire fleet slows down or
// recovers: the service time ratio of an endpoint that gets few requests from this balancer shows that late.
// The parameter ratio is latency / prediction, with the prediction made without the trend: otherwise requests
// sent before the trend rose would raise it a second time.
func (est *estimator) updateTrend(now Micros, ratio float64) {
	trend := est.currentTrend(now)
	est.trend, est.trendAt = trend+(min(ratio, maxTrendRatio)-trend)*trendSampleWeight, now
}

// currentTrend returns 1 + (T - 1) * exp(-age / trendTimeConstant), where T is the trend at its latest sample
// and age is the time since then. Without the decay, a trend that rejects all requests would never fall.
func (est *estimator) currentTrend(now Micros) float64 {
	return 1 + (est.trend-1)*math.Exp(-float64(now-est.trendAt)/float64(trendTimeConstant))
}

// slowdown returns the factor by which all endpoints are slower than predicted: the trend divided by
// minSlowdownTrend, or 1 if that is less, as a smaller trend may be noise.
func (est *estimator) slowdown(now Micros) float64 {
	return max(1, est.currentTrend(now)/minSlowdownTrend)
}
