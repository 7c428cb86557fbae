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
	return flock(file, operation|syscall.LOCK_NB)
}

// LockFileWait locks a file exclusively, as LockFile does, but waits until no other open file description holds a lock. It
// is for locks that are held for a few system calls only. The caller must call unlock: the end of the file is not enough if
// a mapping keeps it open.
func LockFileWait(file *os.File) (unlock func(), err error) {
	if err := flock(file, syscall.LOCK_EX); err != nil {
		return nil, err
	}
	return func() { _ = flock(file, syscall.LOCK_UN) }, nil // it fails only on a closed file
}

// flock calls flock(2), again if a signal interrupts it.
func flock(file *os.File, operation int) error {
	for {
		err := syscall.Flock(int(file.Fd()), operation)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
