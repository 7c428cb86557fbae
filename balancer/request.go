package balancer

import "slices"

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	class            *class      // that it began under, whatever has become of it since
	idempotency      Idempotency // what a second run would do: as the class has it, or Unsafe
	tenant           *tenant     // nil where there is none
	timerToken       uint32      // of its timers
	arrivedAt        Micros
	work             float64
	priority         float64 // of its class and tenant, 0 to 1, when last decided
	logWorkHint      float64 // logarithm of its hint over the mean of its class
	attempts         []attempt
	inFlight         int     // attempts without outcome
	answered         bool    // the final answer is out
	streaming        bool    // an answer has begun: the attempt is the client's
	trial            bool    // it was sent although it seemed too late
	servedInTime     float64 // 1 once answered within its aim
	awaitingProbes   bool    // it waits for probes
	bodyConsumed     bool    // it can't be sent again
	awaitedEndpoints []*endpoint
}

// attempt is one send of a request.
type attempt struct {
	endpoint              *endpoint
	zone                  uint8 // of ep when sent: an endpoint may move
	cell                  uint16
	sentAt                Micros
	predictedLatency      float64 // latency predicted when sent,
	predictedWithoutTrend float64 // and by the endpoint's pace and load alone
	queueingFactor        float64 // seen when sent
	overdueAt             Micros  // when it should have had its outcome long ago
	suspected             bool    // that has passed once
	presumedLost          bool    // it is given up for lost, though its outcome may still come
	warming               bool    // ep was warming up when sent to
	inFlight              bool    // no outcome yet
	mayHaveExecuted       bool    // it may have had its effect, or may yet
	bodyWritten           bool    // its last byte is out
}

// firstExecuted returns the first attempt that may have run, or nil.
func (r *request) firstExecuted() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// executedAttempts counts the attempts that may have run, or may yet.
func (r *request) executedAttempts() (n int) {
	for i := range r.attempts {
		n += int(indicator(r.attempts[i].mayHaveExecuted))
	}
	return n
}

// hasPendingAttempt says whether r has an attempt out that is to be waited for: any, or where second copies may be sent,
// one that is not late.
func (r *request) hasPendingAttempt(copies bool) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight && !(copies && a.presumedLost) })
}

func (r *request) triedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}
