package stages

import "time"

// stage is a part of a request's way through the sidecar.
type stage uint8

// The stages of a request with a single attempt, in chronological order. Requests with several attempts are not
// recorded. stageOverhead is not a stage but the sum of all stages except stageEndpoint.
const (
	stageRead      stage = iota // reading the request's body, after its head
	stageQueue                  // waiting until the event loop takes the request from its queue
	stageProbeWait              // waiting until the balancer starts the first attempt; it may wait for load probes
	stageConnect                // waiting for a connection to the endpoint
	stageWrite                  // writing the request, up to its last byte
	stageEndpoint               // waiting until the response, or the beginning of a streamed one, is read
	stageReturn                 // passing the result through the event loop to the client's goroutine
	stageReply                  // passing the response to net/http, which writes it when the handler returns
	stageOverhead               // sum of all of the above except stageEndpoint
	stageCount
)

// stageNames are the names of stages in logs.
var stageNames = [stageCount]string{"read", "queue", "probe_wait", "connect", "write", "endpoint", "return", "reply",
	"overhead"}

// AttemptTimes are the instants at which the stages of an attempt ended. A field is zero until its stage has ended.
type AttemptTimes struct {
	Connected time.Time // a connection to the endpoint was ready
	Written   time.Time // the request's last byte was written
	Received  time.Time // the response, or the beginning of a streamed one, was read
}

// RequestTimes are the instants at which the stages of a request began and ended. The client's handler sets Arrived,
// BodyRead, ResultReceived and ResponseReturned. The event loop sets the others before it passes the result to the
// handler.
type RequestTimes struct {
	Arrived             time.Time    // the request's head was read
	BodyRead            time.Time    // the request's body was read
	Dequeued            time.Time    // the event loop took the request from its queue
	FirstAttemptStarted time.Time    // the balancer started the first attempt
	Attempt             AttemptTimes // times of the attempt whose response the client gets
	ResultReceived      time.Time    // the handler received the result
	ResponseReturned    time.Time    // the handler passed the response to net/http
}

// durations returns how long each stage took.
func (t *RequestTimes) durations() [stageCount]time.Duration {
	instants := [...]time.Time{t.Arrived, t.BodyRead, t.Dequeued, t.FirstAttemptStarted, t.Attempt.Connected,
		t.Attempt.Written, t.Attempt.Received, t.ResultReceived, t.ResponseReturned}
	var durations [stageCount]time.Duration
	for i := range instants[1:] {
		durations[i] = instants[i+1].Sub(instants[i])
	}
	durations[stageOverhead] = t.ResponseReturned.Sub(t.Arrived) - durations[stageEndpoint]
	return durations
}
