package stages

import "time"

// stage is a part of a request's way through the sidecar.
type stage uint8

// The stages of a request that its first attempt served, in their order. stageOverhead is not one of them but their sum
// without stageEndpoint.
const (
	stageRead      stage = iota // the request's body, after its head
	stageQueue                  // until the event loop takes the request from its queue
	stageProbeWait              // until the balancer starts an attempt: it may wait for load probes
	stageConnect                // until a connection to the endpoint is ready
	stageWrite                  // until the request's last byte is written
	stageEndpoint               // until the response, or the beginning of a streamed one, is read
	stageReturn                 // through the event loop, back to the client's goroutine
	stageReply                  // until net/http has the response, which it writes when the handler returns
	stageOverhead               // all of the above without stageEndpoint
	stageCount
)

// stageNames are the names of stages in logs.
var stageNames = [stageCount]string{"read", "queue", "probe_wait", "connect", "write", "endpoint", "return", "reply",
	"overhead"}

// AttemptTimes are the instants at which the stages of an attempt ended. They are zero until then.
type AttemptTimes struct {
	Connected time.Time // a connection to the endpoint was ready
	Written   time.Time // the request's last byte was written
	Received  time.Time // the response, or the beginning of a streamed one, was read
}

// RequestTimes are the instants at which the stages of a request began and ended. The client's handler sets Arrived,
// BodyRead, Answered and Replied. The event loop sets the others before it passes the handler the result.
type RequestTimes struct {
	Arrived          time.Time    // the request's head was read
	BodyRead         time.Time    // its body was read
	Dequeued         time.Time    // the event loop took it from its queue
	Sent             time.Time    // the balancer started its first attempt
	Attempt          AttemptTimes // the attempt whose response it got
	ResultReceived   time.Time    // the handler had the result
	ResponseReturned time.Time    // net/http had the response
}

// durations returns how long each stage took.
func (t *RequestTimes) durations() [stageCount]time.Duration {
	instants := [...]time.Time{t.Arrived, t.BodyRead, t.Dequeued, t.Sent, t.Attempt.Connected, t.Attempt.Written,
		t.Attempt.Received, t.ResultReceived, t.ResponseReturned}
	var durations [stageCount]time.Duration
	for i := range instants[1:] {
		durations[i] = instants[i+1].Sub(instants[i])
	}
	durations[stageOverhead] = t.ResponseReturned.Sub(t.Arrived) - durations[stageEndpoint]
	return durations
}
