package operatorstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"oakproxy/internal/system"
)

// FileName is the name of the state file in Store.Directory.
const FileName = "oakproxy-state.json"

const (
	temporarySuffix = ".new" // one process at a time writes, so one temporary name is enough

	maxStateBytes = 1 << 20 // that are read of a state file

	// readWarnInterval is the least time between two log lines on a file that cannot be read: it is tried every
	// PollInterval.
	readWarnInterval = time.Second
)

func (s *Store) path() string { return filepath.Join(s.Directory, FileName) }

// read returns the stored state. Where there is none, or it is not valid, that is the state in force. An error means
// that the file could not be read for now, so that it may hold another process's update.
func (s *Store) read() (State, error) {
	stored, info, err := s.readFile()
	if system.IsReadError(err) {
		s.file = nil
		s.warnUnreadable(err)
		return State{}, err
	}
	s.file = info
	if err == nil {
		return stored, nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		s.Log.Warn("operator state ignored", "error", err)
	}
	return s.current, nil
}

// warnUnreadable logs a read error, unless one was logged within readWarnInterval.
func (s *Store) warnUnreadable(err error) {
	if time.Since(s.warnedAt) < readWarnInterval {
		return
	}
	s.warnedAt = time.Now()
	s.Log.Warn("operator state not readable", "error", err)
}

// readFile returns the stored state and the file that it is from. The error is one of reading (system.IsReadError),
// of a file that does not exist, or of contents that are not valid; info is set in the last case, too.
func (s *Store) readFile() (stored State, info os.FileInfo, err error) {
	text, info, err := s.Files.WithDefaults().ReadFile(s.path(), maxStateBytes)
	if err != nil {
		return State{}, info, err
	}
	if err := json.Unmarshal(text, &stored); err != nil {
		return State{}, info, err
	}
	return stored, info, stored.validate(s.Sidecar)
}

// write stores a state durably. The caller holds the lock.
func (s *Store) write(st State) error {
	st.Version, st.Sidecar = stateVersion, s.Sidecar
	text, err := json.Marshal(st)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := s.Files.WithDefaults().ReplaceFile(s.path(), s.path()+temporarySuffix, text, true); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	s.file, err = os.Stat(s.path())
	if err != nil {
		s.file = nil // the state is stored; Refresh reads it once more
	}
	return nil
}
