package system

import (
	"net"
	"syscall"
	"time"
)

// Readable says whether anything can be read of a connection: bytes, its end, or
// an error.
func Readable(c net.Conn) bool { return Peek(c) != PeekNothing }

// PeekResult is what a connection has to read.
type PeekResult uint8

// A connection has nothing to read, some bytes, or its end or an error.
const (
	PeekNothing PeekResult = iota
	PeekData
	PeekClosed
)

// Peek looks at a connection without reading of it.
func Peek(c net.Conn) PeekResult {
	found := PeekClosed
	err := control(c, func(fd int) {
		found = peekWith(func(b []byte) (int, error) {
			n, _, err := syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	})
	if err != nil {
		return PeekClosed
	}
	return found
}

// peekWith tells what receive finds. That the system lacks something for a moment says nothing of the connection.
func peekWith(receive func([]byte) (int, error)) PeekResult {
	var b [1]byte
	for {
		n, err := receive(b[:])
		switch {
		case err == syscall.EINTR:
			continue
		case err == nil && n > 0:
			return PeekData
		case err == syscall.EAGAIN, err == syscall.ENOMEM, err == syscall.ENOBUFS:
			return PeekNothing
		}
		return PeekClosed
	}
}

// PeerClosed reports whether the peer has ended its side or the connection is broken, also behind bytes that are still to
// be read.
func PeerClosed(c net.Conn) bool {
	up := false
	err := control(c, func(fd int) { up = pollPeerClosed(fd) })
	return up || err != nil
}

// AwaitPeerClosed waits until the peer has ended its side or the connection is broken, or its read deadline has passed. It
// reads nothing.
func AwaitPeerClosed(c net.Conn) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := source.SyscallConn(); err == nil {
		raw.Read(func(fd uintptr) (hungUp bool) { return pollPeerClosed(int(fd)) })
	}
}

// maxDataAge is the most that is believed of the system's word on when something came.
const maxDataAge = time.Minute

// LastDataAge returns how long ago the latest bytes of a connection came to this machine, also where nobody has read them
// since: the process may have been held up, or the connection not been accepted. 0 where that is not known.
func LastDataAge(c net.Conn) time.Duration {
	var age time.Duration
	control(c, func(fd int) {
		info, err := tcpInfo(fd)
		if err != nil || info.State != tcpEstablished && info.State != tcpCloseWait {
			return
		}
		age = time.Duration(info.Last_data_recv) * time.Millisecond
	})
	if age > maxDataAge {
		return 0
	}
	return age
}

// The states of a TCP connection that may still carry a request, by Linux's numbers.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// control calls f with a connection's descriptor, unless that is closed.
func control(c net.Conn, f func(fd int)) error {
	source, ok := c.(syscall.Conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
