package system

import (
	"errors"
	"os"
	"syscall"
)

// LockFile locks a file with flock(2) until the file is closed. The parameter operation is syscall.LOCK_SH for a shared
// lock or syscall.LOCK_EX for an exclusive one. LockFile does not wait: if another open file description holds a
// conflicting lock, the error is syscall.EWOULDBLOCK.
func LockFile(file *os.File, operation int) error {
	for {
		err := syscall.Flock(int(file.Fd()), operation|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
