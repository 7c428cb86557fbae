package balancer

// Actions is what a balancer asks of its host. Calls come from within event methods, in the order in which they are to
// take effect.
type Actions interface {
	// Send starts an attempt, unless latest passes before its first byte can be sent: until then it may wait for a
	// connection. A latest of 0 means until the client's deadline.
	Send(id uint64, endpoint uint32, latest Micros)
	// Reject gives the final answer that promises that a retry is harmless. A retryAfter of 0 gives no Retry-After.
	Reject(id uint64, retryAfter Micros)
	// Fail gives the final answer that promises nothing about a retry.
	Fail(id uint64)
	// Cancel stops waiting for an attempt; its outcome still comes.
	Cancel(id uint64, attempt int)
	// StartTimer asks for a HandleTimer event with this token after delay.
	StartTimer(delay Micros, token uint32)
	// Probe asks an endpoint for its load; HandleProbe brings the answer.
	Probe(endpoint uint32)
	// Watch subscribes to changes of the endpoint list, or ends that.
	Watch(on bool)
	// Log records a line for on-call staff.
	Log(line string)
}
