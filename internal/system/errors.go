package system

import (
	"errors"
	"slices"
	"syscall"
)

// Errors of system calls that pass by themselves, and for how long they are waited for.

// shortages are the errors of a machine that lacks descriptors, memory or ports for a moment.
var shortages = []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL, syscall.EINTR}

// IsShortage reports whether an error tells of such a lack, and not of whom a call was about.
func IsShortage(err error) bool { return IsErrno(err, shortages) }

// FatalAcceptErrors are the errors of accept(2) after which no other call will do better.
var FatalAcceptErrors = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

func IsErrno(err error, list []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
