// Package upstream sends attempts and probes to endpoints over pooled HTTP/1.1 connections.
//
// A [Client] carries out the decisions of the balancer. It does not choose endpoints, and it never retries by itself:
// the balancer decides each attempt, hedged requests included. The only thing that the Client replaces is a stale idle
// connection on which nothing of the request was sent.
//
// # Proof that a request never ran
//
// A result states that a request never ran ([balancer.NotSent], [balancer.ConnectFailed] or [balancer.Rejected]) only
// if the last byte of the request was not written, or if a complete response says that the endpoint did not process the
// request. Once the last byte may have been sent, the request may have run, whatever happens to the connection.
//
// # Check before sending
//
// Each attempt and probe passes its [Gate] immediately before it writes its first byte, after any wait for a
// connection. A request whose body is streamed passes a second check immediately before its last bytes; see [Upload].
//
// # Ownership of connections
//
// A connection has one owner at a time. The pool owns it while it is idle. An exchange owns it from the moment when the
// pool hands it out or it is dialled. A [BodyStream] owns it from the end of the exchange until the stream is closed.
// Only pool.release returns a connection from its owner to the pool. Only pool.closeConn closes an established
// connection; it also updates the number of open connections, which the pool limits.
package upstream
