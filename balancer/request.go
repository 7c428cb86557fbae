package balancer

import "slices"

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	class            *class      // that it arrived under, whatever has become of it since
	idempotency      Idempotency // of its class, or NonIdempotent if that was restricted since
	tenant           *tenant     // nil where there is none
	timerToken       uint32
	arrivedAt        Micros
	work             float64 // expected service time in microseconds at an endpoint without load
	logWorkHint      float64 // natural logarithm of its work hint over the mean of its class; 0 without hint
	priority         float64 // of its class and tenant, 0 to 1, at the latest decision
	attempts         []attempt
	inFlight         int     // attempts without outcome
	servedInTime     float64 // 1 once answered within its latency objective
	answered         bool    // the final answer is given
	streaming        bool    // a streamed answer has begun: no other attempt may follow
	trial            bool    // it was sent although it seemed too late
	bodyConsumed     bool    // its body can't be sent again
	awaitingProbes   bool
	awaitedEndpoints []*endpoint // whose probes it waits for
}

// attempt is one send of a request.
type attempt struct {
	endpoint              *endpoint
	zone                  uint8 // of the endpoint when sent: its list entry may change
	cell                  uint16
	sentAt                Micros
	predictedLatency      float64 // microseconds
	predictedWithoutTrend float64 // microseconds, from the endpoint's service time and load alone
	queueingFactor        float64 // when sent
	overdueAt             Micros  // when to check whether it is lost
	suspected             bool    // it was overdue once, and its endpoint was probed
	declaredLost          bool    // no answer is expected: it permits a hedged request, but may still be answered
	warming               bool    // the endpoint was warming up when sent to
	inFlight              bool    // no outcome yet
	mayHaveExecuted       bool    // it may have had its effect, or may yet
	bodyWritten           bool    // the last byte of the request is sent
}

// firstExecuted returns the first attempt that may have executed, or nil.
func (r *request) firstExecuted() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// executedAttempts counts the attempts that may have executed, or may yet.
func (r *request) executedAttempts() (n int) {
	for i := range r.attempts {
		if r.attempts[i].mayHaveExecuted {
			n++
		}
	}
	return n
}

// hasPendingAttempt reports whether an attempt in flight forbids another. If the request may be hedged, one that
// is declared lost does not.
func (r *request) hasPendingAttempt(mayHedge bool) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return a.inFlight && (!mayHedge || !a.declaredLost)
	})
}

// triedAt reports whether an attempt went to e.
func (r *request) triedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// responded reports whether an end with this status came from the endpoint itself.
func responded(s Status) bool { return s == OK || s == EndpointError || s == Rejected }
