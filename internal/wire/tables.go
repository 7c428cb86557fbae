package wire

import "oakproxy/balancer"

// codeTable maps codes of the protocol to their meanings. The tables are short and the most frequent codes come first,
// so that a search in order serves better than a map.
type codeTable[Code comparable, Meaning any] []struct {
	code    Code
	meaning Meaning
}

// find returns the meaning of a code, and whether the code is known.
func (t codeTable[Code, Meaning]) find(code Code) (meaning Meaning, known bool) {
	for i := range t {
		if t[i].code == code {
			return t[i].meaning, true
		}
	}
	return meaning, false
}

// statuses are the ways an attempt or a probe ends. The codes resemble those of HTTP but are the protocol's own.
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

// endpointStates are the states of an entry of an endpoint list.
var endpointStates = codeTable[uint8, balancer.EndpointState]{
	{0, balancer.Ready},
	{1, balancer.Draining},
	{3, balancer.Removed},
}

// listUpdates are the kinds of a membership record.
var listUpdates = codeTable[uint8, balancer.ListUpdate]{
	{0, balancer.ListDelta},
	{2, balancer.ListFailed},
	{3, balancer.ListCached},
	{4, balancer.ListFull},
}
