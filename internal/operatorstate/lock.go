package operatorstate

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"oakproxy/internal/system"
)

// lock keeps the other process from writing until the function that it returns is
// called. What is locked is a file of its own, since the state's is replaced.
func (s *Store) lock() (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(s.Directory, stateLock), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	for end := time.Now().Add(lockPatience); ; time.Sleep(lockPause) {
		err = system.LockFile(file, syscall.LOCK_EX)
		if err == nil {
			return func() { file.Close() }, nil
		}
		if err != syscall.EWOULDBLOCK || time.Now().After(end) {
			file.Close()
			return nil, fmt.Errorf("state: lock: %w", err)
		}
	}
}
