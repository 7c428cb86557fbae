// Package downstream manages the connections of clients: it accepts, limits and closes them, reads request bodies from
// them and relays response bodies to them.
//
// Its invariants are:
//
//   - The number of open connections is limited at accept: there are at most Listener.MaxConnections, plus up to
//     MaxRejected that are being rejected. A connection counts as open until its file descriptor is released.
//   - A connection that counts as open is closed in one of two ways: Listener closes a connection that it evicts to
//     make room for a new one, and Conn.closeWithReason, which Conn.Close calls, closes all others.
//   - Once a connection is evicted or Close was called, no request is read from it. A request that the client sends
//     while the connection is being closed is therefore not served, and the client may safely send it again. Only one
//     goroutine continues to read, and it discards what it reads. It watches for a disconnect after pipelined bytes,
//     which are bytes that the client sends after a request without waiting for the response.
//   - A connection with an open request is never evicted and never expires. To expire a connection is to close it
//     because it is idle; a request that arrives during the expiry cancels the expiry.
//
// Each connection has two state machines, and state.go lists all their transitions: connState says how the listener
// counts the connection and which of the listener's lists contains it, and readPhase says whether the connection may be
// read.
//
// Locks: Listener.mu guards the counts, the lists and the connState of each connection. Conn.mu guards the readPhase
// of one connection and the record of what was read from it and written to it. Where both locks are held, Listener.mu
// is taken first; no method takes Listener.mu while it holds Conn.mu.
//
// The package does not parse requests: net/http does. It does not choose endpoints, decide which requests are admitted
// or account for the memory of bodies.
package downstream
