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

// PollInterval is the time between two calls of Store.Refresh: an update of the other process is in force here after
// that long at the latest, while the file can be read.
const PollInterval = 50 * time.Millisecond

// Store keeps the state in a file that the processes of one sidecar share while one replaces the other. An update in
// one process comes into force in all. The exported fields are set before the first call and do not change.
type Store struct {
	Directory string               // of the state file and its lock
	Sidecar   string               // the name of the sidecar; a file of another is ignored
	Log       *slog.Logger         // must not be nil
	Files     system.FileOps       // the zero value uses the system's
	Time      system.Clock         // must have its clocks set (Clock.WithDefaults)
	Retention func() time.Duration // for how long an endpoint that was put back into service is remembered
	Apply     func(State)          // puts a state into force before it returns; called under the lock

	mu       sync.Mutex
	current  State       // in force
	file     os.FileInfo // of the version that was read or written last; nil if not known
	warnedAt time.Time   // when a file that cannot be read was last logged
}

// Load returns the state that the process before this one stored. It is called before any request is forwarded, and
// does not call Apply. A file that cannot be read for now is tried for up to system.StartTimeout, or until ctx ends;
// after that the zero state is returned, and Refresh reads the file later.
func (s *Store) Load(ctx context.Context) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored State
	err := system.Retry(ctx, system.StartTimeout, system.StartRetryDelay, system.IsReadError, func() (err error) {
		stored, err = s.read()
		return err
	})
	if err != nil { // which read has logged
		stored = s.current
	}
	s.current = stored
	return stored
}

// Refresh puts into force what another process has stored since the last call. A file that is unchanged is not read.
func (s *Store) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.path())
	if err != nil || s.file != nil && os.SameFile(info, s.file) && info.ModTime().Equal(s.file.ModTime()) {
		return
	}
	if stored, err := s.read(); err == nil {
		s.apply(stored)
	}
}

// Update changes the state. When it returns nil, the new state is stored durably and in force in this process. On an
// error the change is neither stored nor in force; the error wraps that of the file system, or syscall.EWOULDBLOCK
// where the lock was not released in time.
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
		return fmt.Errorf("state: %w", err) // the file may hold another process's update, which must not be overwritten
	}
	next := stored
	next.Overrides = slices.Clone(stored.Overrides)
	change(&next)
	next.Overrides = slices.DeleteFunc(next.Overrides, s.isObsolete)
	if err := s.write(next); err != nil {
		s.apply(stored) // it may be another process's update, and Refresh would take it for known
		return err
	}
	s.apply(next)
	return nil
}

// isObsolete reports whether an endpoint is back in service for so long that it need not be remembered.
func (s *Store) isObsolete(o Override) bool {
	if o.Cordoned {
		return false
	}
	age, known := s.Time.Age(o.SetAt())
	return known && age > s.Retention()
}

func (s *Store) apply(st State) {
	s.current = st
	s.Apply(st)
}
