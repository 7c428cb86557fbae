package system

import (
	"syscall"
	"unsafe"
)

// System calls that the standard library does not wrap. The sidecar depends on no other package.

// pollFD is Linux's struct pollfd.
type pollFD struct {
	fd              int32
	events, revents int16
}

// Linux's poll events.
const (
	pollErr   = 0x8
	pollHup   = 0x10
	pollRdHup = 0x2000
)

// pollPeerClosed reports whether poll(2) tells at once that the peer of a socket has ended its side, or that its connection
// is broken. Where the call fails nothing is known.
func pollPeerClosed(fd int) bool {
	polled := pollFD{fd: int32(fd), events: pollRdHup}
	var noWait syscall.Timespec
	for {
		n, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&polled)), 1,
			uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
		if errno == syscall.EINTR {
			continue
		}
		return errno == 0 && n > 0 && polled.revents&(pollErr|pollHup|pollRdHup) != 0
	}
}

// tcpInfo returns what the system knows of a TCP connection.
func tcpInfo(fd int) (info syscall.TCPInfo, err error) {
	size := uint32(unsafe.Sizeof(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		return info, errno
	}
	return info, nil
}
