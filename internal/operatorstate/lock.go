package operatorstate

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"oakproxy/internal/system"
)

const (
	lockFileName = "oakproxy-state.lock"

	// lockTimeout bounds the wait for the other process to release the lock: an admin call has to be answered within 1 s.
	lockTimeout = 500 * time.Millisecond

	// lockRetryDelay is the pause between two attempts. An update holds the lock for a read and a synced write.
	lockRetryDelay = 5 * time.Millisecond
)

// lock keeps other processes from writing the state until unlock is called. The lock is on a file of its own, since the
// state file is replaced by each write. The error is EWOULDBLOCK where another process held the lock for lockTimeout.
func (s *Store) lock() (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(s.Directory, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryDelay) {
		err = system.LockFile(file, syscall.LOCK_EX)
		if err == nil {
			return func() { file.Close() }, nil // which releases the lock
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || time.Now().After(deadline) {
			file.Close()
			return nil, fmt.Errorf("state: lock: %w", err)
		}
	}
}
