package balancer

import "math"

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	listed       bool // named by the list being read
	cordoned     bool // left out by hand
	awaitsTrial  bool // put back by hand, and a request is to show that it serves
	warming      bool
	warmingSince Micros  // start of its warm-up
	warmingWork  float64 // work that it got from us while cold

	inFlight           int    // own attempts without outcome
	uploading          int    // and those of which the last byte is not out yet
	lastSentAt         Micros // latest own send
	lastAnsweredSentAt Micros // latest send of those that were answered
	lastResponseAt     Micros // latest answer of any kind, also to a probe
	probeInFlight      bool
	lastProbeAt        Micros
	hasReport          bool
	pooled             bool
	reportedAt         Micros  // latest probe answer with a load figure
	reportedLoad       float64 // load of others when it answered
	meanLoad           ewma    // the same over the latest answers
	inFlightAtReport   int     // own in flight then

	serviceTimeRatio   ewma // time taken per work and crowding
	serviceTimeRatioAt Micros
	failureShare       float64 // share of failures, recent
	failureShareAt     Micros
	rejectedShare      ewma // share of the failures that were turned away unseen
	breaker            circuitBreaker
}

// reset forgets what is known of e but its listing and what is out there: a new process has none of the old
// record.
func (e *endpoint) reset() {
	*e = endpoint{
		Endpoint: e.Endpoint, listed: e.listed, pooled: e.pooled, inFlight: e.inFlight, uploading: e.uploading,
	}
}

// usable says whether e may be sent to at all.
func (e *endpoint) usable() bool { return e.State == Ready && !e.cordoned }

// warmupFraction is the least share of its capacity that e has by now.
func (e *endpoint) warmupFraction(now Micros, b *Balancer) float64 {
	if !e.isWarming(now, b) {
		return 1
	}
	from := b.settings.Contract.SlowStartInitialFraction
	return from + (1-from)*float64(now-e.warmingSince)/float64(b.settings.Contract.SlowStartDuration)
}

func (e *endpoint) isWarming(now Micros, b *Balancer) bool {
	if e.warming && now-e.warmingSince >= b.settings.Contract.SlowStartDuration {
		e.warming = false
	}
	return e.warming
}

// currentFailureShare is the recent share of failures at e; it fades, so that e is tried again.
func (e *endpoint) currentFailureShare(now Micros) float64 {
	f := e.failureShare * math.Exp2(-float64(now-e.failureShareAt)/float64(3*second))
	return f * indicator(f > 0.01) // all but forgotten is forgotten
}

// isEjected says whether e fails so often of late that it serves only when nothing else is left.
func (e *endpoint) isEjected(now Micros) bool { return e.currentFailureShare(now) >= ejectThreshold }
