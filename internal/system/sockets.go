package system

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// PeekResult describes what a read from a connection would return without waiting.
type PeekResult uint8

// The results of Peek.
const (
	PeekNothing PeekResult = iota // the connection is open, and there is no byte to read
	PeekData                      // there is at least one byte to read
	PeekClosed                    // the peer has closed its side and all bytes were read, or the connection is broken
)

// Readable reports whether a read from a connection would return immediately, with bytes, io.EOF or an error.
func Readable(c net.Conn) bool { return Peek(c) != PeekNothing }

// Peek returns what can be read from a connection, without consuming any byte.
func Peek(c net.Conn) PeekResult {
	result := PeekClosed
	err := control(c, func(fd int) {
		result = peekWith(func() (int, error) {
			var b [1]byte // declared in this closure, where it does not escape to the heap
			n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	})
	if err != nil {
		return PeekClosed
	}
	return result
}

// peekWith converts the result of receive, which must peek at one byte without waiting, to a PeekResult. After a
// resource shortage of this machine it returns PeekNothing, because the shortage says nothing about the connection.
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

// PeerClosed reports whether the peer has closed its side or the connection is broken, even if bytes are left to read.
// It also reports true if this process has closed the connection or the connection has no descriptor.
func PeerClosed(c net.Conn) bool {
	closed := false
	err := control(c, func(fd int) { closed = pollPeerClosed(fd) })
	return closed || err != nil
}

// AwaitPeerClosed waits until the peer has closed its side, the connection is broken or closed, or its read deadline
// has passed. It consumes no bytes. It returns immediately if c has no descriptor.
func AwaitPeerClosed(c net.Conn) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is closed or the deadline has passed. Either ends the wait.
	_ = raw.Read(func(fd uintptr) (done bool) { return pollPeerClosed(int(fd)) })
}

// maxDataAge is the longest plausible age of the latest bytes of a connection. Clients do not wait that long, so bytes
// of a greater age cannot belong to a request for which a client still waits.
const maxDataAge = time.Minute

// LastDataAge returns how long ago the latest bytes of a connection arrived at this machine. The age is counted from
// the arrival even if the bytes were read later or not at all, for example because the process was descheduled or had
// not accepted the connection. LastDataAge returns 0 if the age is not known or exceeds maxDataAge.
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

// UnreadBytes returns how many bytes of a connection have arrived at this machine and were not read. known is false if
// the system can't tell.
func UnreadBytes(c net.Conn) (n int64, known bool) {
	var failure error
	err := control(c, func(fd int) { n, failure = unreadBytes(fd) })
	return n, err == nil && failure == nil
}

// The states of a TCP connection that may still carry a request, with Linux's numbers.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8
)

// control calls f with the descriptor of a connection. If the connection is closed or has no descriptor, it does not
// call f and returns an error.
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
