package balancer

// EndpointState is what discovery says of an endpoint.
type EndpointState uint8

// The states of an endpoint. Only a ready one is sent to.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of discovery's endpoint list.
type Endpoint struct {
	ID          uint32
	Name        uint64 // a hash of its name, the same at every balancer
	Zone        uint8
	MachineKind uint8
	Cell        uint16
	State       EndpointState
	Weight      float32 // its capacity relative to others
	StartTime   Micros  // of its present process; 0 for long ago
}

// ListUpdate says how the entries of an endpoint list are to be read.
type ListUpdate uint8

// The kinds of endpoint list.
const (
	ListDelta  ListUpdate = iota // the entries that changed
	ListFull                     // the complete list
	ListCached                   // the complete list as cached by the host; it may be old
	ListFailed                   // a call of discovery failed; there are no entries
)

// Request is a client's request. One final answer is owed for it: an outcome that ends it, a rejection or a failure.
// No decision reads ClientRetry and IsWrite.
type Request struct {
	ID            uint64
	Key           uint64 // its affinity key, hashed; 0 for none
	Deadline      Micros // the instant at which the client gives up this attempt of its own
	WorkHint      Micros // expected work; used if HasWorkHint
	HasWorkHint   bool
	ClientRetry   bool // the client marked it as a retry
	IsWrite       bool
	StreamingBody bool      // its body is forwarded while it arrives: HandleBodyWritten announces its last byte
	Tenant        uint16    // its position in the settings
	Class         uint8     // its position in the settings
	ReceivedUnder *Settings // the settings that it was read under; nil for those in force
}

// AttemptID names an attempt of a request.
type AttemptID struct {
	Request uint64
	Attempt int // counted from 0 in the order of sending
}

// Status says how an attempt or a probe ended.
type Status uint8

// The ways an attempt may end. Rejected, ConnectFailed and NotSent prove that it did not execute; all others but OK
// leave that open.
const (
	OK            Status = iota
	EndpointError        // an error returned by the endpoint
	Rejected             // rejected by the endpoint before it executed
	Timeout              // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // cancelled by the balancer
	NotSent              // never sent
)

// Outcome says how an attempt ended. LoadReport is valid during the call only; no decision reads it.
type Outcome struct {
	ID           uint64
	Attempt      int // counted from 0 in the order of sending
	Endpoint     uint32
	Status       Status
	Latency      Micros
	Answered     bool // the request has its final answer
	BodyConsumed bool // the body is no longer complete at the host, so it can't be sent again
	LoadReport   []float32
}
