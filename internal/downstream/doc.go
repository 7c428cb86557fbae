// Package downstream holds the connections of clients: it accepts, bounds and closes them, and reads and writes the
// bodies that are relayed over them.
package downstream
