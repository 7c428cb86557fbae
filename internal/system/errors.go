package system

import (
	"errors"
	"io/fs"
	"slices"
	"syscall"
)

// shortages are the errors of system calls on a machine that temporarily lacks descriptors, memory or ports. EINTR,
// after which a call may also be repeated, is among them.
var shortages = []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL, syscall.EINTR}

// transientStartErrors are the errors after which the start of a process is retried: a shortage, an I/O error of a file
// system, a network that is down, or an address that the previous process has not yet released.
var transientStartErrors = append([]syscall.Errno{syscall.EIO, syscall.EADDRINUSE, syscall.ENETDOWN}, shortages...)

// FatalAcceptErrors are the errors of accept(2) after which the listener is unusable: no later call can succeed.
var FatalAcceptErrors = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsShortage reports whether an error is a temporary resource shortage on this machine. Such an error says nothing
// about the peer.
func IsShortage(err error) bool { return IsErrno(err, shortages) }

// IsReadError reports whether an error means that a file could not be read although it may exist and be complete.
func IsReadError(err error) bool {
	var pathError *fs.PathError
	var errno syscall.Errno
	return err != nil && !errors.Is(err, fs.ErrNotExist) && (errors.As(err, &pathError) || errors.As(err, &errno))
}

// IsErrno reports whether an error is, or wraps, one of the system call errors in list.
func IsErrno(err error, list []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
