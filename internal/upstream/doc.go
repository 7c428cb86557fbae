// Package upstream sends attempts and probes to endpoints over pooled HTTP/1.1 connections.
//
// A [Client] executes what the balancer has decided. It does not choose endpoints, and it never retries by itself:
// each attempt and each hedged request is a decision of the balancer. The one thing that it replaces is a stale idle
// connection on which nothing of the request was sent.
//
// # Proof that a request never ran
//
// A result claims that a request never ran ([balancer.NotSent], [balancer.ConnectFailed] or [balancer.Rejected]) only
// where its last byte was not written, or where a complete response says that the endpoint did not process it. Once
// the last byte may be out the request may have run, whatever comes of the connection.
//
// # One gate
//
// Each attempt and probe passes its [Gate] right before its first byte, after all waiting for a connection. A request
// whose body is streamed passes a second check right before its last bytes; see [Upload].
//
// # Ownership of connections
//
// A connection has one owner at a time: the pool while it is idle, an exchange from the moment the pool hands it out
// or it is dialled, and a [BodyStream] from the end of the exchange until the stream is closed. pool.release is the one
// way back from an owner to the pool, and pool.closeConn is the one place where an established connection is closed.
// It keeps the number of open connections, which the pool bounds.
package upstream
