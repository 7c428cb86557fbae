package system

import (
	"errors"
	"os"
	"syscall"
)

// LockFile locks a file with flock(2), shared or exclusive (syscall.LOCK_SH, syscall.LOCK_EX), until it is closed. It
// does not wait: the error is syscall.EWOULDBLOCK if another open file holds a lock that excludes this one.
func LockFile(file *os.File, how int) error {
	for {
		err := syscall.Flock(int(file.Fd()), how|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
