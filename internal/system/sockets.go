package system

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// PeekResult is what can be read from a connection without waiting.
type PeekResult uint8

// The results of Peek.
const (
	PeekNothing PeekResult = iota // the connection is open, and no byte has arrived
	PeekData                      // at least one byte has arrived
	PeekClosed                    // the peer has ended its side and all bytes are read, or the connection is broken
)

// Readable reports whether a read from a connection would return at once, with bytes, the end or an error.
func Readable(c net.Conn) bool { return Peek(c) != PeekNothing }

// Peek returns what can be read from a connection, and reads none of it.
func Peek(c net.Conn) PeekResult {
	result := PeekClosed
	err := control(c, func(fd int) {
		result = peekWith(func() (int, error) {
			var b [1]byte // here, where it does not escape
			n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	})
	if err != nil {
		return PeekClosed
	}
	return result
}

// peekWith returns what receive finds, which peeks at one byte without waiting. A shortage of the machine says
// nothing of the connection.
func peekWith(receive func() (int, error)) PeekResult {
	for {
		n, err := receive()
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case err == nil && n > 0:
			return PeekData
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.ENOMEM), errors.Is(err, syscall.ENOBUFS):
			return PeekNothing
		}
		return PeekClosed
	}
}

// PeerClosed reports whether the peer has ended its side or the connection is broken, even if bytes are left to read.
func PeerClosed(c net.Conn) bool {
	closed := false
	err := control(c, func(fd int) { closed = pollPeerClosed(fd) })
	return closed || err != nil
}

// AwaitPeerClosed waits until the peer has ended its side, the connection is broken or closed, or its read deadline has
// passed. It reads nothing. It returns at once if c has no descriptor.
func AwaitPeerClosed(c net.Conn) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed or the deadline has passed, and either ends the wait.
	_ = raw.Read(func(fd uintptr) (done bool) { return pollPeerClosed(int(fd)) })
}

// maxDataAge is the longest plausible age of a connection's latest bytes. Clients do not wait that long, so a greater
// value is not that of a request.
const maxDataAge = time.Minute

// LastDataAge returns how long ago the latest bytes of a connection arrived at this machine, even if nobody has read
// them: the process may have been descheduled, or the connection not accepted yet. It returns 0 if that is not known.
func LastDataAge(c net.Conn) time.Duration {
	var age time.Duration
	err := control(c, func(fd int) {
		info, err := tcpInfo(fd)
		if err != nil || info.State != tcpEstablished && info.State != tcpCloseWait {
			return
		}
		age = time.Duration(info.Last_data_recv) * time.Millisecond
	})
	if err != nil || age > maxDataAge {
		return 0
	}
	return age
}

// The states of a TCP connection that may still carry a request, by Linux's numbers.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// control calls f with a connection's descriptor. It returns an error, and does not call f, if the connection is
// closed or has no descriptor.
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
