package wire

import "fmt"

// EventCode numbers the kind of an event record. Events and actions have separate code spaces.
type EventCode uint8

// Codes of events, by the protocol's names.
const (
	Begin             EventCode = 16 // starts an instance with its settings
	Membership        EventCode = 17 // names an endpoint list, or says that discovery failed
	Request           EventCode = 18 // a client's request
	Headers           EventCode = 19 // an attempt's response headers
	Answer            EventCode = 20 // the outcome of an attempt
	CancelledByClient EventCode = 21 // the client withdrew its request
	TimeoutFired      EventCode = 22 // a timer fired
	HealthResult      EventCode = 23 // the outcome of a probe
	Whisper           EventCode = 24 // a peer's message
	Stop              EventCode = 25 // ends an instance
	Manifest          EventCode = 26 // conveys an endpoint list
	Instance          EventCode = 27 // addresses the following events to an instance
)

var eventNames = [...]string{
	Begin: "begin", Membership: "membership", Request: "request", Headers: "headers",
	Answer: "answer", CancelledByClient: "cancelled_by_client", TimeoutFired: "timeout_fired",
	HealthResult: "health_result", Whisper: "whisper", Stop: "stop", Manifest: "manifest",
	Instance: "instance",
}

// Known reports whether the code is one of this version's protocol.
func (c EventCode) Known() bool { return c >= Begin && c <= Instance }

// String returns the protocol's name of the event.
func (c EventCode) String() string {
	if c.Known() {
		return eventNames[c]
	}
	return fmt.Sprintf("event %d", uint8(c))
}

// ActionCode numbers the kind of an action record.
type ActionCode uint8

// Codes of actions, by the protocol's names. The method of Reply with the same name writes the record.
const (
	Deliver   ActionCode = 80
	Decline   ActionCode = 81
	Fail      ActionCode = 82
	Revoke    ActionCode = 83
	Arm       ActionCode = 84
	SoundOut  ActionCode = 85
	LetGo     ActionCode = 86
	WritePeer ActionCode = 87
	Trace     ActionCode = 88
	Exception ActionCode = 89
	Track     ActionCode = 90
	ListAll   ActionCode = 91
	As        ActionCode = 92
)
