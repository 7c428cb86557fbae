package system

import (
	"syscall"
	"unsafe"
)

// This file has the system calls that the standard library does not wrap. The sidecar depends on no other module.

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

// pollPeerClosed reports whether, by a ppoll(2) that does not wait, the peer of a socket has ended its side or the
// connection is broken. It returns false if the call fails, since nothing is known then.
func pollPeerClosed(fd int) bool {
	poll := pollFD{fd: int32(fd), events: pollRdHup}
	var noWait syscall.Timespec
	for {
		n, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&poll)), 1,
			uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
		if errno == syscall.EINTR {
			continue
		}
		return errno == 0 && n > 0 && poll.revents&(pollErr|pollHup|pollRdHup) != 0
	}
}

// tcpInfo returns the TCP_INFO of a socket.
func tcpInfo(fd int) (info syscall.TCPInfo, err error) {
	size := uint32(unsafe.Sizeof(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		return info, errno
	}
	return info, nil
}
