package wire

import "fmt"

// EventCode identifies the kind of an event record. The codes of events are independent of those of actions.
type EventCode uint8

// Codes of events. Each constant is named after the protocol's event.
const (
	Begin             EventCode = 16 // starts an instance and carries its settings
	Membership        EventCode = 17 // notifies an instance of an endpoint list or of a failed discovery call
	Request           EventCode = 18 // a client sent a request
	Headers           EventCode = 19 // the response headers of an attempt arrived
	Answer            EventCode = 20 // an attempt ended
	CancelledByClient EventCode = 21 // the client cancelled its request
	TimeoutFired      EventCode = 22 // a timer fired
	HealthResult      EventCode = 23 // a probe ended
	Whisper           EventCode = 24 // a peer sent a message
	Stop              EventCode = 25 // stops an instance
	Manifest          EventCode = 26 // carries an endpoint list, which membership events refer to by number
	Instance          EventCode = 27 // selects the instance that receives the following events
)

var eventCodeNames = [...]string{
	Begin: "begin", Membership: "membership", Request: "request", Headers: "headers",
	Answer: "answer", CancelledByClient: "cancelled_by_client", TimeoutFired: "timeout_fired",
	HealthResult: "health_result", Whisper: "whisper", Stop: "stop", Manifest: "manifest",
	Instance: "instance",
}

// Known reports whether this version of the protocol defines the code.
func (c EventCode) Known() bool { return c >= Begin && c <= Instance }

// String returns the protocol's name of the event, or "event N" for the unknown code N.
func (c EventCode) String() string {
	if c.Known() {
		return eventCodeNames[c]
	}
	return fmt.Sprintf("event %d", uint8(c))
}

// ActionCode identifies the kind of an action record.
type ActionCode uint8

// Codes of actions. Each constant is named after the protocol's action. The method of Reply with the same name writes
// the record and documents its effect.
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
