package balancer

import "math"

// The failure share of an endpoint is a moving average over the outcomes of attempts that recordOutcome gets:
// 1 for a failure, 0 for a success.
const (
	failureHalfLife        = 3 * second // time in which the failure share halves without an outcome
	negligibleFailureShare = 0.01       // a failure share up to this value is regarded as 0
	ejectThreshold         = 0.4        // least failure share at which an endpoint is ejected

	// Weights of the latest outcome in the failure share. A healthy endpoint hardly ever returns an error, but
	// connection failures and timeouts also occur at healthy endpoints and therefore weigh less.
	failureWeight           = 0.5
	connectionFailureWeight = 0.25

	rejectedFailureWeight = 0.25 // weight of the latest failure in rejectedShare
)

// endpoint is the state that a balancer keeps about an endpoint.
type endpoint struct {
	Endpoint
	listed       bool    // the latest update of the endpoint list contains the endpoint
	cordoned     bool    // operators have removed the endpoint from service
	awaitsTrial  bool    // the endpoint was uncordoned, and this balancer may test it at once; see offerTrial
	warming      bool    // the endpoint is in slow start, as of the latest call of isWarming
	warmingSince Micros  // start of the warm-up
	warmingWork  float64 // work charged since the warm-up began, in microseconds; begin sets its initial value

	inFlight           int    // attempts of this balancer that have sent their body and have no outcome yet
	uploading          int    // attempts of this balancer that are still sending their body and have no outcome
	lastSentAt         Micros // sending time of the latest attempt
	lastAnsweredSentAt Micros // latest sending time of an attempt to which the endpoint responded
	lastResponseAt     Micros // time of the latest response to an attempt or a probe
	probeInFlight      bool
	lastProbeAt        Micros

	hasReport        bool    // a load report has arrived from the current process
	pooled           bool    // the endpoint is in the pool of endpoints with a recent load report
	reportedAt       Micros  // time of the latest load report; 0 if there is none, or a probe failed since
	reportedLoad     float64 // requests of other balancers at the endpoint, according to the latest report
	inFlightAtReport int     // inFlight when the latest load report arrived
	meanReportedLoad ewma    // moving average of reportedLoad

	serviceTimeRatio   ewma    // mean of measured / predicted service time, without the slowdown by the warm-up
	serviceTimeRatioAt Micros  // time of the latest sample of serviceTimeRatio
	failureShare       float64 // share of failures at failureShareAt; see currentFailureShare
	failureShareAt     Micros
	rejectedShare      ewma // share of the failures that were rejections
	breaker            circuitBreaker
}

// reset discards all state except the list entry, the pool membership and the counts of attempts in flight.
// A new process has nothing else in common with the old one.
func (e *endpoint) reset() {
	*e = endpoint{
		Endpoint: e.Endpoint, listed: e.listed, pooled: e.pooled, inFlight: e.inFlight, uploading: e.uploading,
	}
}

// usable reports whether attempts and probes may be sent to e at all.
func (e *endpoint) usable() bool { return e.State == Ready && !e.cordoned }

// isWarming reports whether e is in slow start.
func (e *endpoint) isWarming(now Micros, c *Contract) bool {
	if e.warming && now-e.warmingSince >= c.SlowStartDuration {
		e.warming = false
	}
	return e.warming
}

// warmupFraction returns the share of its full capacity that e is guaranteed to have at now. It is 1 for a
// warm endpoint and grows linearly from SlowStartInitialFraction during the slow start.
func (e *endpoint) warmupFraction(now Micros, c *Contract) float64 {
	if !e.isWarming(now, c) {
		return 1
	}
	initial := c.SlowStartInitialFraction
	return initial + (1-initial)*float64(now-e.warmingSince)/float64(c.SlowStartDuration)
}

// currentFailureShare returns the recent share of failures at e. It halves in each failureHalfLife without an
// outcome, so that an ejected endpoint is tried again. A negligible share is returned as 0.
func (e *endpoint) currentFailureShare(now Micros) float64 {
	share := e.failureShare * math.Exp2(-float64(now-e.failureShareAt)/float64(failureHalfLife))
	return share * indicator(share > negligibleFailureShare)
}

// recordOutcome updates the failure share with an outcome of this weight.
func (e *endpoint) recordOutcome(now Micros, failed bool, weight float64) {
	e.failureShare = (1-weight)*e.currentFailureShare(now) + weight*indicator(failed)
	e.failureShareAt = now
}

// isEjected reports whether e is an outlier, which fails so often that other endpoints are preferred; see the
// methods cost, randomEndpoint and affinityRanking of picker.
func (e *endpoint) isEjected(now Micros) bool { return e.currentFailureShare(now) >= ejectThreshold }
