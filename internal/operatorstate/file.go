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
	// temporarySuffix is the suffix of the temporary file's name. All processes use the same name, because only the
	// holder of the lock writes.
	temporarySuffix = ".new"

	maxStateBytes = 1 << 20 // limit on the bytes read from a state file

	// readWarnInterval is the minimum time between two log lines about an unreadable state file. Reads are retried every
	// PollInterval, which is too often to log each failure.
	readWarnInterval = time.Second
)

func (s *Store) path() string { return filepath.Join(s.Directory, FileName) }

// read returns the stored state, or the state in effect if the file does not exist or is invalid. An error means that
// the file is currently unreadable; the file may contain another process's update.
func (s *Store) read() (State, error) {
	stored, info, err := s.readFile()
	if system.IsReadError(err) {
		s.fileInfo = nil
		s.warnUnreadable(err)
		return State{}, err
	}
	s.fileInfo = info
	if err == nil {
		return stored, nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		s.Log.Warn("operator state ignored", "error", err)
	}
	return s.current, nil
}

// warnUnreadable logs a read error unless another one was logged less than readWarnInterval ago.
func (s *Store) warnUnreadable(err error) {
	if time.Since(s.warnedAt) < readWarnInterval {
		return
	}
	s.warnedAt = time.Now()
	s.Log.Warn("operator state not readable", "error", err)
}

// readFile reads the state file and returns the state and the file's info. The error is a read error
// (system.IsReadError), fs.ErrNotExist, or says why the contents are invalid; in the last case info is set too.
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

// write stores st durably. The caller must hold the file lock (Store.lock).
func (s *Store) write(st State) error {
	st.Version, st.Sidecar = stateVersion, s.Sidecar
	text, err := json.Marshal(st)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if err := s.Files.WithDefaults().ReplaceFile(s.path(), s.path()+temporarySuffix, text, true); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	s.fileInfo, err = os.Stat(s.path())
	if err != nil {
		s.fileInfo = nil // the state is stored; the next Refresh reads it again
	}
	return nil
}
