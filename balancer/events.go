package balancer

// EndpointState is the state of an endpoint according to discovery.
type EndpointState uint8

// The states of an endpoint. Attempts are sent only to endpoints in state Ready.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of discovery's endpoint list.
type Endpoint struct {
	ID          uint32
	Name        uint64 // hash of the endpoint's name, equal at every balancer
	Zone        uint8
	MachineKind uint8
	Cell        uint16
	State       EndpointState
	Weight      float32 // capacity relative to other endpoints
	StartTime   Micros  // start of the current process; 0 if unknown, see HandleEndpoints
}

// ListUpdate is the kind of an update of the endpoint list. It determines the meaning of the entries.
type ListUpdate uint8

// The kinds of update of the endpoint list.
const (
	ListDelta  ListUpdate = iota // the entries that changed
	ListFull                     // the complete list
	ListCached                   // the complete list from the host's cache, which may be out of date
	ListFailed                   // no entries: a call to discovery failed, or a watch broke
)

// Request is a client's request. It must get one final answer: an outcome that ends it, a rejection or a
// failure. No decision depends on ClientRetry or IsWrite.
type Request struct {
	ID            uint64
	Key           uint64 // hash of the affinity key; 0 means none
	Deadline      Micros // instant at which the client stops waiting for an answer to this request
	WorkHint      Micros // work that the client expects; valid if HasWorkHint is set
	HasWorkHint   bool
	ClientRetry   bool // the client marked the request as a retry
	IsWrite       bool
	StreamingBody bool      // the body is forwarded while it arrives; see HandleBodyWritten
	Tenant        uint16    // index in Settings.Tenants; there is no tenant if it is out of range
	Class         uint8     // index in Settings.Classes
	ReceivedUnder *Settings // settings to which Tenant and Class refer; nil means those in force
}

// AttemptID identifies an attempt of a request.
type AttemptID struct {
	Request uint64
	Attempt int // index of the attempt in the order of sending, from 0
}

// Status is the result of an attempt or a probe.
type Status uint8

// The values of Status. Rejected, ConnectFailed and NotSent prove that the attempt did not execute. After any
// other status except OK, it may have executed or not.
const (
	OK            Status = iota
	EndpointError        // the endpoint returned an error
	Rejected             // the endpoint rejected the attempt without executing it
	Timeout              // no answer arrived in time
	ConnectFailed        // no connection was established in time
	Reset                // the connection broke
	Cancelled            // the balancer cancelled the attempt
	NotSent              // the attempt was never sent
)

// NeverExecuted reports whether the status proves that the attempt did not execute and never will.
func (s Status) NeverExecuted() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// Outcome is the result of an attempt. LoadReport is valid only during the call of HandleOutcome; no decision
// depends on it.
type Outcome struct {
	ID           uint64 // ID of the request
	Attempt      int    // index of the attempt in the order of sending, from 0
	Endpoint     uint32
	Status       Status
	Latency      Micros
	Answered     bool // the request has its final answer
	BodyConsumed bool // the host no longer has the complete body, so the request can't be sent again
	LoadReport   []float32
}

// StallDecision says what the host does with an attempt whose response has begun and makes no progress.
type StallDecision uint8

// The values of StallDecision.
const (
	// StallKeep means that no other attempt takes the place of this one. The host forwards to the client what
	// has arrived and what still arrives, as soon as it can.
	StallKeep StallDecision = iota
	// StallWait means that the host waits and forwards nothing, and asks again later.
	StallWait
	// StallGiveUp means that the host ends the attempt. The request is then sent again.
	StallGiveUp
)
