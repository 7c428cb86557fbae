package wire

import "oakproxy/balancer"

// codeTable maps codes of the protocol to their meanings. The tables are short and list the most frequent codes first,
// so a linear search is faster than a map lookup.
type codeTable[Code comparable, Meaning any] []struct {
	code    Code
	meaning Meaning
}

// find returns the meaning of a code. known is false if the table does not contain the code.
func (t codeTable[Code, Meaning]) find(code Code) (meaning Meaning, known bool) {
	for i := range t {
		if t[i].code == code {
			return t[i].meaning, true
		}
	}
	return meaning, false
}

// statuses lists the results of an attempt or a probe. The protocol defines the codes. They resemble HTTP status codes,
// but some have another meaning: for example, 410 means Gone in HTTP, but NotSent here.
var statuses = codeTable[uint16, balancer.Status]{
	{200, balancer.OK},
	{500, balancer.EndpointError},
	{503, balancer.Rejected},
	{504, balancer.Timeout},
	{502, balancer.ConnectFailed},
	{598, balancer.Reset},
	{499, balancer.Cancelled},
	{410, balancer.NotSent},
}

// endpointStates lists the states of an entry in an endpoint list.
var endpointStates = codeTable[uint8, balancer.EndpointState]{
	{0, balancer.Ready},
	{1, balancer.Draining},
	{3, balancer.Removed},
}

// listUpdates lists the kinds of membership records.
var listUpdates = codeTable[uint8, balancer.ListUpdate]{
	{0, balancer.ListDelta},
	{2, balancer.ListFailed},
	{3, balancer.ListCached},
	{4, balancer.ListFull},
}
