// Package downstream holds the connections of clients: it accepts, bounds and closes them, and reads and writes the
// bodies that are relayed over them.
//
// Its invariants are:
//
//   - The number of open connections is bounded when they are accepted, by Listener.MaxConnections and up to
//     MaxRejected more, which are rejected. A connection counts until its descriptor is given back.
//   - There is one path for each close of a counted connection: Listener closes those that it evicts for a new one, and
//     Conn.Close all others.
//   - Nothing is read of a connection whose end is decided, so that a request that crosses the close is not served, and
//     its client may send it again. Only the reader that looks for the client's end behind pipelined bytes goes on, and
//     drops what it reads.
//   - A connection that carries a request is never evicted and never expires.
//
// Two typed states say where a connection stands, and state.go lists all their changes: connState, by which the
// listener counts it, and readPhase, by which it may be read.
//
// Locks: Listener.mu guards the counts, the lists and the connState of each connection. Conn.mu guards the readPhase,
// and what was read and written of one connection. Listener.mu is taken first where both are held; no method holds
// Conn.mu while it takes Listener.mu.
//
// The package does not parse requests: net/http does. It does not choose endpoints, decide which requests are admitted
// or count the memory of bodies.
package downstream
