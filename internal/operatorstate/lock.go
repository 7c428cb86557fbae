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

	// lockTimeout limits the wait for another process to release the lock. An admin call must be answered within 1 s, and
	// the wait is a part of that time.
	lockTimeout = 500 * time.Millisecond

	// lockRetryDelay is the pause between two attempts to take the lock. The other process holds the lock only during an
	// update: it reads the file, and writes and syncs the new one.
	lockRetryDelay = 5 * time.Millisecond
)

// lock prevents other processes from writing the state until unlock is called. It locks a separate file, because each
// write replaces the state file. The error wraps syscall.EWOULDBLOCK if the lock was not free within lockTimeout.
func (s *Store) lock() (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(s.Directory, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryDelay) {
		err = system.LockFile(file, syscall.LOCK_EX)
		if err == nil {
			return func() { file.Close() }, nil // closing the file releases the lock
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || time.Now().After(deadline) {
			file.Close()
			return nil, fmt.Errorf("state: lock: %w", err)
		}
	}
}
