package sidecar

import (
	"net"
	"syscall"
)

// readable says whether anything can be read of a connection: bytes, its end, or
// an error.
func readable(c net.Conn) bool { return peek(c) != nothing }

// look is what a connection has to read.
type look uint8

// A connection has nothing to read, some bytes, or its end or an error.
const (
	nothing look = iota
	unread
	ended
)

// peek looks at a connection without reading of it.
func peek(c net.Conn) look {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return ended
	}
	found := ended
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			found = nothing
		case err == nil && n > 0:
			found = unread
		}
	})
	if err != nil {
		return ended
	}
	return found
}
