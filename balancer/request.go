package balancer

import "slices"

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	class       *class      // class under which the request arrived, even if changed or removed since
	idempotency Idempotency // idempotency of class, or NonIdempotent if the class became stricter since

	// deduplicationScope is that of class, or a smaller one if the class got one since.
	deduplicationScope DeduplicationScope

	tenant           *tenant // nil if the request has no known tenant
	timerToken       uint32
	arrivedAt        Micros
	work             float64 // expected service time in microseconds at an endpoint without load
	logWorkHint      float64 // ln(work hint / mean work of the class); 0 without a work hint
	priority         float64 // priority by class and tenant at the latest decision, 0 to 1
	attempts         []attempt
	inFlight         int     // number of attempts without an outcome
	servedInTime     float64 // 1 once an answer came within the latency objective, else 0
	answered         bool    // the final answer was given, or the client disconnected
	streaming        bool    // a streamed response has begun, so no other attempt may follow
	isTrial          bool    // the request was sent although its answer was predicted to come too late
	bodyConsumed     bool    // the body can't be sent again
	replacesStalled  bool    // an attempt was given up because its response stalled
	awaitingProbes   bool
	awaitedEndpoints []*endpoint // endpoints whose probes the request waits for
}

// attempt is one send of a request.
type attempt struct {
	endpoint              *endpoint
	zone                  uint8  // zone of the endpoint at sending time; the endpoint may change its zone later
	cell                  uint16 // cell of the endpoint at sending time
	sentAt                Micros
	predictedLatency      float64 // microseconds
	predictedWithoutTrend float64 // microseconds; predictedLatency without the fleet-wide slowdown
	queueingFactor        float64 // predicted service time / service time without load, at sending time
	overdueAt             Micros  // instant of the next check whether the attempt is lost
	suspectedLost         bool    // the attempt was found overdue, and its endpoint was probed
	declaredLost          bool    // an answer is unlikely but may still come; a hedged request is permitted
	warming               bool    // the endpoint was warming up at sending time
	givenUp               bool    // the attempt was given up because its response stalled
	inFlight              bool    // the attempt has no outcome yet
	mayHaveExecuted       bool    // the endpoint may have executed the attempt, or may yet execute it
	bodyWritten           bool    // the last byte of the request body was sent
}

// firstPossiblyExecuted returns the first attempt that may have executed, or nil.
func (r *request) firstPossiblyExecuted() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// countPossiblyExecuted returns the number of attempts that may have executed, or may yet execute.
func (r *request) countPossiblyExecuted() (n int) {
	for i := range r.attempts {
		if r.attempts[i].mayHaveExecuted {
			n++
		}
	}
	return n
}

// hasPendingAttempt reports whether an attempt in flight forbids another attempt. If mayHedge is set, an
// attempt that was declared lost does not forbid it.
func (r *request) hasPendingAttempt(mayHedge bool) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return a.inFlight && (!mayHedge || !a.declaredLost)
	})
}

// triedAt reports whether an attempt of r was sent to e.
func (r *request) triedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// responded reports whether the status means that the endpoint itself responded.
func responded(s Status) bool { return s == OK || s == EndpointError || s == Rejected }
