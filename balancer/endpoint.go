package balancer

import "math"

const (
	failureHalfLife   = 3 * second // of the failure share, without outcomes
	negligibleFailure = 0.01       // failure share up to which it counts as none
	ejectThreshold    = 0.4        // failure share from which an endpoint is ejected

	// Weights of the latest outcome in the failure share. A healthy endpoint hardly ever returns an error, but
	// connection failures and timeouts also happen there.
	failureWeight           = 0.5
	connectionFailureWeight = 0.25

	rejectedFailureWeight = 0.25 // of the latest failure in rejectedShare
)

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	listed       bool // by the list being read
	cordoned     bool // by operators
	awaitsTrial  bool // no longer cordoned, and to get one request soon, so that operators see it serve
	warming      bool // as of the latest call of isWarming
	warmingSince Micros
	warmingWork  float64 // microseconds of work charged to it by this balancer while warming up

	inFlight           int // own attempts without outcome whose body is written
	uploading          int // own attempts whose body is not written yet
	lastSentAt         Micros
	lastAnsweredSentAt Micros // latest sending time of an attempt that was answered
	lastResponseAt     Micros // of any kind, also to a probe
	probeInFlight      bool
	lastProbeAt        Micros

	hasReport        bool
	pooled           bool
	reportedAt       Micros  // latest load report; 0 if a probe failed since
	reportedLoad     float64 // requests of other balancers at that instant
	inFlightAtReport int     // own requests at that instant
	meanLoad         ewma    // of reportedLoad

	serviceTimeRatio   ewma // measured over predicted service time, once warm
	serviceTimeRatioAt Micros
	failureShare       float64 // at failureShareAt: currentFailureShare decays it
	failureShareAt     Micros
	rejectedShare      ewma // share of the failures that were rejections
	breaker            circuitBreaker
}

// reset drops all state but the list entry and the counts of attempts: a new process shares nothing else with
// the old one.
func (e *endpoint) reset() {
	*e = endpoint{
		Endpoint: e.Endpoint, listed: e.listed, pooled: e.pooled, inFlight: e.inFlight, uploading: e.uploading,
	}
}

// usable reports whether e may be sent to at all.
func (e *endpoint) usable() bool { return e.State == Ready && !e.cordoned }

// isWarming reports whether e is in slow start.
func (e *endpoint) isWarming(now Micros, c *Contract) bool {
	if e.warming && now-e.warmingSince >= c.SlowStartDuration {
		e.warming = false
	}
	return e.warming
}

// warmupFraction is the least share of its capacity that e has by now.
func (e *endpoint) warmupFraction(now Micros, c *Contract) float64 {
	if !e.isWarming(now, c) {
		return 1
	}
	from := c.SlowStartInitialFraction
	return from + (1-from)*float64(now-e.warmingSince)/float64(c.SlowStartDuration)
}

// currentFailureShare is the recent share of failures at e. It halves in each failureHalfLife without an
// outcome, so that an ejected endpoint is tried again.
func (e *endpoint) currentFailureShare(now Micros) float64 {
	share := e.failureShare * math.Exp2(-float64(now-e.failureShareAt)/float64(failureHalfLife))
	return share * indicator(share > negligibleFailure)
}

// recordOutcome updates the failure share by an outcome of this weight.
func (e *endpoint) recordOutcome(now Micros, failed bool, weight float64) {
	e.failureShare = (1-weight)*e.currentFailureShare(now) + weight*indicator(failed)
	e.failureShareAt = now
}

// isEjected reports whether e is an outlier: it fails so often that it serves only when no other endpoint
// may.
func (e *endpoint) isEjected(now Micros) bool { return e.currentFailureShare(now) >= ejectThreshold }
