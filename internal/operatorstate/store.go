package operatorstate

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"oakproxy/internal/system"
)

// PollInterval is the time between two calls of Store.Refresh. While the file is readable, an update by another process
// takes effect in this one within PollInterval.
const PollInterval = 50 * time.Millisecond

// Store keeps the state in a file that the processes of one sidecar share while one process replaces another. An update
// by one process takes effect in all of them. The exported fields must be set before the first call and not be changed
// afterwards.
type Store struct {
	Directory string               // directory of the state file and the lock file
	Sidecar   string               // name of the sidecar; a state file of another sidecar is ignored
	Log       *slog.Logger         // logger; must not be nil
	Files     system.FileOps       // file operations; the zero value uses those of the operating system
	Time      system.Clock         // clock; both functions must be set, see system.Clock.WithDefaults
	Retention func() time.Duration // how long an uncordoned endpoint is remembered
	Apply     func(State)          // puts a state into effect before it returns; called with mu held

	mu       sync.Mutex
	current  State       // state in effect
	fileInfo os.FileInfo // info of the file version read or written last; nil if unknown
	warnedAt time.Time   // when a read error was last logged; zero if never
}

// Load returns the state that the previous process stored. It must be called before any request is forwarded, and does
// not call Apply. Load retries read errors for up to system.StartTimeout or until ctx ends. If they persist, it returns
// the zero State, and Refresh reads the file later.
func (s *Store) Load(ctx context.Context) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored State
	err := system.Retry(ctx, system.StartTimeout, system.StartRetryDelay, system.IsReadError, func() (err error) {
		stored, err = s.read()
		return err
	})
	if err != nil { // already logged by read
		stored = s.current
	}
	s.current = stored
	return stored
}

// Refresh puts into effect what another process has stored since the last call. It does not read an unchanged file.
func (s *Store) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.path())
	if err != nil || s.fileInfo != nil && os.SameFile(info, s.fileInfo) && info.ModTime().Equal(s.fileInfo.ModTime()) {
		return
	}
	if stored, err := s.read(); err == nil {
		s.apply(stored)
	}
}

// Update calls change to modify the state. When Update returns nil, the new state is stored durably and in effect in
// this process. On an error the change is neither stored nor in effect. The error wraps an error of the file system, or
// syscall.EWOULDBLOCK if another process did not release the lock in time.
func (s *Store) Update(change func(*State)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlock, err := s.lock()
	if err != nil {
		return err
	}
	defer unlock()
	stored, err := s.read()
	if err != nil {
		return fmt.Errorf("state: %w", err) // do not write: the file may hold another process's update
	}
	next := stored
	next.Overrides = slices.Clone(stored.Overrides)
	change(&next)
	next.Overrides = slices.DeleteFunc(next.Overrides, s.isObsolete)
	if err := s.write(next); err != nil {
		s.apply(stored) // stored may contain another process's update; Refresh would skip it, since read has set fileInfo
		return err
	}
	s.apply(next)
	return nil
}

// isObsolete reports whether o uncordoned its endpoint more than Retention ago, so that it need not be remembered.
func (s *Store) isObsolete(o Override) bool {
	if o.Cordoned {
		return false
	}
	age, known := s.Time.Age(o.SetAt())
	return known && age > s.Retention()
}

// apply puts a state into effect. The caller must hold s.mu.
func (s *Store) apply(st State) {
	s.current = st
	s.Apply(st)
}
