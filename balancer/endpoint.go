package balancer

import "math"

const (
	failureHalfLife       = 3 * second
	negligibleFailure     = 0.01 // failure share below which it counts as none
	ejectThreshold        = 0.4  // failure share from which an endpoint is ejected
	failureWeight         = 0.5  // of the latest outcome in the failure share: healthy endpoints hardly fail
	connectionWeight      = 0.25 // of a connection failure or timeout: they occur at healthy endpoints, too
	rejectedFailureWeight = 0.25 // of the latest failure in the share of rejections among them
)

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	listed       bool // by the list being read
	cordoned     bool // by operators
	awaitsTrial  bool // no longer cordoned, and to get one request soon, so that operators see it serve
	warming      bool // use isWarming
	warmingSince Micros
	warmingWork  float64 // work that it got from this balancer while warming up

	inFlight           int // own attempts without outcome
	uploading          int // and those whose last byte is not sent yet
	lastSentAt         Micros
	lastAnsweredSentAt Micros // latest sending time of an attempt that was answered
	lastResponseAt     Micros // of any kind, also to a probe
	probeInFlight      bool
	lastProbeAt        Micros

	hasReport        bool
	pooled           bool
	reportedAt       Micros  // latest load report; 0 if a probe failed since
	reportedLoad     float64 // requests of others then
	inFlightAtReport int     // own requests then
	meanLoad         ewma    // of reportedLoad

	serviceTimeRatio   ewma // measured over predicted service time, once warm
	serviceTimeRatioAt Micros
	failureShare       float64 // use currentFailureShare
	failureShareAt     Micros
	rejectedShare      ewma // share of the failures that were rejections
	breaker            circuitBreaker
}

// reset forgets all but the list entry and what is in flight: a new process shares nothing else with the old.
func (e *endpoint) reset() {
	*e = endpoint{
		Endpoint: e.Endpoint, listed: e.listed, pooled: e.pooled, inFlight: e.inFlight, uploading: e.uploading,
	}
}

// usable tells whether e may be sent to at all.
func (e *endpoint) usable() bool { return e.State == Ready && !e.cordoned }

// isWarming tells whether e is in slow start.
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

// currentFailureShare is the recent share of failures at e. It decays, so that e is tried again.
func (e *endpoint) currentFailureShare(now Micros) float64 {
	share := e.failureShare * math.Exp2(-float64(now-e.failureShareAt)/float64(failureHalfLife))
	return share * indicator(share > negligibleFailure)
}

// recordOutcome updates the failure share by an outcome of this weight.
func (e *endpoint) recordOutcome(now Micros, failed bool, weight float64) {
	e.failureShare = (1-weight)*e.currentFailureShare(now) + weight*indicator(failed)
	e.failureShareAt = now
}

// isEjected tells whether e is an outlier: it fails so often that it serves only when no other endpoint may.
func (e *endpoint) isEjected(now Micros) bool { return e.currentFailureShare(now) >= ejectThreshold }
