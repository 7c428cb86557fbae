package system

import (
	"syscall"
	"unsafe"
)

// This file contains the system calls that the standard library does not wrap. It makes them directly, because the
// sidecar depends on no other module.

// pollFD has the layout of Linux's struct pollfd.
type pollFD struct {
	fd              int32
	events, revents int16
}

// Poll events, with Linux's numbers.
const (
	pollErr   = 0x8
	pollHup   = 0x10
	pollRdHup = 0x2000
)

// pollPeerClosed reports whether the peer of a socket has closed its side or the connection is broken. It calls
// ppoll(2) without waiting. If the call fails, nothing is known about the peer, and pollPeerClosed returns false.
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

// ioctlFIONREAD is Linux's number of the operation of ioctl(2) that returns how many bytes can be read.
const ioctlFIONREAD = 0x541b

// unreadBytes returns how many bytes a socket has received that were not read.
func unreadBytes(fd int) (int64, error) {
	var n int32
	_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), ioctlFIONREAD, uintptr(unsafe.Pointer(&n)))
	if errno != 0 {
		return 0, errno
	}
	return int64(n), nil
}

// tcpInfo returns the state that the kernel reports for a TCP socket (socket option TCP_INFO).
func tcpInfo(fd int) (info syscall.TCPInfo, err error) {
	size := uint32(unsafe.Sizeof(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		return info, errno
	}
	return info, nil
}
