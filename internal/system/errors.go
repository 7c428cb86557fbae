package system

import (
	"errors"
	"io/fs"
	"slices"
	"syscall"
)

// shortages are the errors of a machine that lacks descriptors, memory or ports for a moment.
var shortages = []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL, syscall.EINTR}

// transientAtStart are the errors that a start waits out: a shortage, a file system with errors, or an address that the
// process before it has not released.
var transientAtStart = append([]syscall.Errno{syscall.EIO, syscall.EADDRINUSE, syscall.ENETDOWN}, shortages...)

// FatalAcceptErrors are the errors of accept(2) that mean that the listener is unusable, so that no later call
// succeeds.
var FatalAcceptErrors = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// IsShortage reports whether an error is a temporary shortage of this machine, and says nothing of the other side.
func IsShortage(err error) bool { return IsErrno(err, shortages) }

// IsReadError reports whether a file could not be read, though it may exist and be complete.
func IsReadError(err error) bool {
	var pathError *fs.PathError
	var errno syscall.Errno
	return err != nil && !errors.Is(err, fs.ErrNotExist) && (errors.As(err, &pathError) || errors.As(err, &errno))
}

// IsErrno reports whether an error is, or wraps, one of the errors of system calls in list.
func IsErrno(err error, list []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
