package system

import (
	"os"
	"syscall"
)

// LockFile locks a file without waiting, for as long as it is open.
func LockFile(file *os.File, how int) error {
	for {
		err := syscall.Flock(int(file.Fd()), how|syscall.LOCK_NB)
		if err != syscall.EINTR {
			return err
		}
	}
}
