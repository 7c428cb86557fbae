package warmstart

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/system"
)

// Store saves estimates to a file in the background, and loads them. Make one with NewStore. Its methods may be
// called by several goroutines.
type Store struct {
	path      string
	temporary string // the name that this process writes to before it renames the file
	sidecar   string
	files     system.FileOps
	clock     system.Clock
	log       *slog.Logger
	pending   chan contents // at most one, to be written by run
}

// NewStore returns a store of the named sidecar's estimates in host.Directory. It removes files that killed processes
// left half written, and starts a goroutine that writes until ctx ends.
func NewStore(ctx context.Context, sidecar string, host config.Host, log *slog.Logger) *Store {
	path := filepath.Join(host.Directory, FileName)
	s := &Store{
		path:      path,
		temporary: fmt.Sprintf("%s.%d", path, os.Getpid()),
		sidecar:   sidecar,
		files:     host.Files.WithDefaults(),
		clock:     host.Time.WithDefaults(),
		log:       log,
		pending:   make(chan contents, 1),
	}
	s.removeLeftovers()
	go s.run(ctx)
	return s
}

// run writes what Save queues until ctx ends.
func (s *Store) run(ctx context.Context) {
	for {
		select {
		case next := <-s.pending:
			if err := s.write(next); err != nil {
				s.log.Warn("estimates not saved", "error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Save queues estimates to be written; now is the time of the balancer's clock, in microseconds. It does not block:
// while others are queued, these are dropped, and the next call saves newer ones.
func (s *Store) Save(now balancer.Micros, estimates balancer.Estimates) {
	at := s.clock.Now()
	next := contents{Version: fileVersion, Sidecar: s.sidecar, AtMS: at.UnixMS, UpMS: at.UptimeMS,
		Clock: now, Estimates: estimates}
	select {
	case s.pending <- next:
	default:
	}
}

// Load returns the estimates of the process before this one, with their times by a balancer's clock that shows now, in
// microseconds. It returns nil where there are none that can be used, and logs why if there is a file.
func (s *Store) Load(now balancer.Micros) *balancer.Estimates {
	text, _, err := s.files.ReadFile(s.path, maxFileBytes)
	if err != nil {
		return nil // most starts have no file; one that cannot be read is not worth a wait
	}
	saved, age, err := s.parse(text)
	if err != nil {
		s.log.Warn("saved estimates ignored", "error", err)
		return nil
	}
	saved.shiftTo(now, age)
	return &saved.Estimates
}

func (s *Store) write(next contents) error {
	text, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode estimates: %w", err)
	}
	return s.files.ReplaceFile(s.path, s.temporary, text, false)
}

// removeLeftovers removes the temporary files of processes that were killed while they wrote. It may remove one that a
// live process is about to rename, which fails one of that process's saves.
func (s *Store) removeLeftovers() {
	leftovers, err := filepath.Glob(s.path + ".*")
	if err != nil {
		return // the directory's name is not a valid pattern
	}
	for _, path := range leftovers {
		os.Remove(path)
	}
}
