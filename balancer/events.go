package balancer

// EndpointState is what discovery says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	ID          uint32
	Name        uint64 // the same at every balancer
	Zone        uint8
	MachineKind uint8
	Cell        uint16
	State       EndpointState
	Weight      float32
	StartTime   Micros // of its latest start; 0 for long ago
}

// ListUpdate says how the entries of a membership event are to be read.
type ListUpdate uint8

// The kinds of membership event.
const (
	ListDelta  ListUpdate = iota // changed entries only
	ListFull                     // the complete list
	ListCached                   // the complete list as last held; perhaps old
	ListFailed                   // a call of discovery failed; no entries
)

// Request is a client's request. One final answer is owed for it: an outcome
// that settles it, a refusal or a failure.
type Request struct {
	ID            uint64
	Key           uint64
	Deadline      Micros // the instant at which the client gives this try up
	WorkHint      Micros // expected work; used if HasHint
	HasWorkHint   bool
	ClientRetry   bool // the client marked it as a repetition
	IsWrite       bool
	StreamingBody bool      // its body is passed on while it comes: Written tells its last byte
	Tenant        uint16    // by its place in the settings
	Class         uint8     // the same
	ReceivedUnder *Settings // those that it was read under; nil where they are in force
}

// AttemptID names an attempt of a request.
type AttemptID struct {
	Request uint64
	Attempt int
}

// Status says how an attempt or a probe ended.
type Status uint8

// The ways an attempt may end. Full, ConnectFailed and Moot prove that it
// never ran; all others but OK leave that open.
const (
	OK            Status = iota
	EndpointError        // an error returned by the endpoint
	Rejected             // turned away unseen
	Timeout              // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // withdrawn by the balancer
	NotSent              // never sent
)

// Outcome tells how an attempt ended. Load is valid during the call only.
type Outcome struct {
	ID           uint64
	Attempt      int // the attempts of a request count from 0 as sent
	Endpoint     uint32
	Status       Status
	Latency      Micros
	Answered     bool // the request has its final answer
	BodyConsumed bool // its body is no longer held whole: it can't be sent again
	LoadReport   []float32
}
