package operatorstate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"oakproxy/internal/system"
)

const (
	stateVersion  = 1
	FileName      = "oakproxy-state.json"
	stateLock     = "oakproxy-state.lock"
	maxStateBytes = 1 << 20                // bytes of a state file
	PollInterval  = 50 * time.Millisecond  // between two looks for what the other process stored
	lockPatience  = 500 * time.Millisecond // for the other process to let go of the lock: an answer is owed in 1 s
	lockPause     = 5 * time.Millisecond
)

// Store keeps the state in a file that the processes of one sidecar share while
// one replaces the other, and sees to it that what either is told holds in both.
type Store struct {
	Directory, Sidecar string
	Log                *slog.Logger
	Files              system.FileOps
	Time               system.Clock
	Retention          func() time.Duration // how long it matters that an endpoint was put back
	Apply              func(State)          // makes a state hold in this process, before it returns

	mu     sync.Mutex
	last   State       // what holds
	file   os.FileInfo // of the file that it was read from, if there was one
	warned time.Time   // of a file that can't be read
}

// readWarnPause is between two lines on a file that can't be read.
const readWarnPause = time.Second

func (s *Store) path() string { return filepath.Join(s.Directory, FileName) }

// Update changes the state. When it returns nil, the new one is stored and holds here.
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
		return fmt.Errorf("state: %w", err) // what the other process was told may be in the file
	}
	next := stored
	next.Hosts = slices.Clone(stored.Hosts)
	change(&next)
	next.Hosts = slices.DeleteFunc(next.Hosts, func(m Override) bool { return !m.Cordoned && s.expired(&m) })
	if err := s.write(next); err != nil {
		s.take(stored) // the other process's, perhaps, and read just now: refresh would pass over it
		return err
	}
	s.take(next)
	return nil
}

// Refresh takes up what the other process has stored.
func (s *Store) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.path())
	if err != nil || s.file != nil && os.SameFile(info, s.file) && info.ModTime().Equal(s.file.ModTime()) {
		return
	}
	if next, err := s.read(); err == nil {
		s.take(next)
	}
}

// expired reports whether it no longer matters that an endpoint was put back.
func (s *Store) expired(m *Override) bool {
	age, known := s.Time.Age(m.Since())
	return known && age > s.Retention()
}

// Load takes up what the process before this one was told. It comes before anything is sent; a file that can't be
// read for the moment is waited for, and followed later on.
func (s *Store) Load(ctx context.Context) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var st State
	system.Retry(ctx, system.StartTimeout, system.StartRetryDelay, system.IsReadError, func() (err error) {
		st, err = s.read()
		return err
	})
	s.last = st
	return st
}

func (s *Store) take(next State) {
	s.last = next
	s.Apply(next)
}

// read returns the stored state, or the one that holds where there is no file that
// makes sense: then it says so. A file that can't be read for the moment is an error, and read again later.
func (s *Store) read() (State, error) {
	next, info, err := s.load()
	switch {
	case err == nil:
		s.file = info
		return next, nil
	case system.IsReadError(err):
		s.file = nil
		if time.Since(s.warned) >= readWarnPause {
			s.warned = time.Now()
			s.Log.Warn("operator state not readable", "error", err)
		}
		return s.last, err
	}
	s.file = info
	if !errors.Is(err, fs.ErrNotExist) {
		s.Log.Warn("operator state ignored", "error", err)
	}
	return s.last, nil
}

func (s *Store) load() (State, os.FileInfo, error) {
	var st State
	text, info, err := s.Files.OrSystem().ReadFile(s.path(), maxStateBytes)
	if err != nil {
		return st, info, err
	}
	if err := json.Unmarshal(text, &st); err != nil {
		return st, info, err
	}
	switch {
	case st.Version != stateVersion:
		err = fmt.Errorf("version %d, not %d", st.Version, stateVersion)
	case st.Sidecar != s.Sidecar:
		err = fmt.Errorf("of sidecar %q, not %q", st.Sidecar, s.Sidecar)
	case slices.ContainsFunc(st.Hosts, func(m Override) bool { return m.Name == "" }):
		err = errors.New("an endpoint without a name")
	}
	return st, info, err
}

func (s *Store) write(st State) error {
	st.Version, st.Sidecar = stateVersion, s.Sidecar
	text, err := json.Marshal(st)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := s.Files.OrSystem().ReplaceFile(s.path(), s.path()+".new", text, true); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	s.file, _ = os.Stat(s.path()) // unknown, it is read once more
	return nil
}
