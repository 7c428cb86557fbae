package balancer

// Actions are the operations that a balancer requests from its host. The balancer calls them only during its
// event methods, in the order in which they must take effect.
type Actions interface {
	// Send starts an attempt. The attempt may wait for a connection until latest; if its first byte can't be
	// sent by then, it must not be sent at all. A latest of 0 means the client's deadline.
	Send(id uint64, endpoint uint32, latest Micros)
	// Reject gives the final answer "rejected", which tells the client that a retry is harmless. If retryAfter
	// is 0, the answer has no Retry-After.
	Reject(id uint64, retryAfter Micros)
	// Fail gives the final answer "failed", which does not tell the client whether a retry is harmless.
	Fail(id uint64)
	// Cancel stops waiting for an attempt. The host still reports the outcome of the attempt.
	Cancel(id uint64, attempt int)
	// StartTimer requests a call of HandleTimer with this token after delay.
	StartTimer(delay Micros, token uint32)
	// Probe asks an endpoint for its load. The host reports the result by HandleProbe.
	Probe(endpoint uint32)
	// Watch subscribes to changes of the endpoint list, or ends the subscription if on is false.
	Watch(on bool)
	// Log writes a line for operators.
	Log(line string)
}
