package stages

import (
	"time"
)

// stage is a part of a request's way through the sidecar.
type stage uint8

// The stages of a request that its first attempt served, in their order. All but
// stageEndpoint are time that the sidecar adds.
const (
	stageRead      stage = iota // the request's body, after its head
	stageQueue                  // until the loop takes the request
	stageProbeWait              // until the balancer sends it: probes may be awaited first
	stageConnect                // until a connection to the endpoint is at hand
	stageWrite                  // until the request's last byte is written
	stageEndpoint               // until the answer, or its beginning, is read
	stageReturn                 // through the loop, back to the client's connection
	stageReply                  // until the answer is with net/http, which writes it when the handler returns
	stageOverhead               // all of the above but stageEndpoint
	stageCount
)

var stageNames = [stageCount]string{"read", "queue", "probe_wait", "connect", "write", "endpoint", "return", "reply", "overhead"}

// AttemptTimes tells when an attempt got on.
type AttemptTimes struct{ Connected, Written, Received time.Time }

// RequestTimes tells when a request got on. The handler owns the first two and the
// last two; the loop sets the others before it gives the final answer.
type RequestTimes struct {
	Arrived, BodyRead time.Time
	Dequeued, Sent    time.Time
	Attempt           AttemptTimes
	Answered, Replied time.Time
}

// durations returns the time of each stage.
func (t *RequestTimes) durations() [stageCount]time.Duration {
	marks := [...]time.Time{t.Arrived, t.BodyRead, t.Dequeued, t.Sent, t.Attempt.Connected, t.Attempt.Written,
		t.Attempt.Received, t.Answered, t.Replied}
	var took [stageCount]time.Duration
	for i := range marks[1:] {
		took[i] = marks[i+1].Sub(marks[i])
	}
	took[stageOverhead] = t.Replied.Sub(t.Arrived) - took[stageEndpoint]
	return took
}
