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

// Store saves estimates to a file in the background, and loads them. Create it with NewStore. Its methods are safe for
// concurrent use.
type Store struct {
	path      string
	temporary string // path of the temporary file that this process writes and then renames to path
	sidecar   string
	files     system.FileOps
	clock     system.Clock
	log       *slog.Logger
	pending   chan fileContents // queue of at most one save; run writes it
}

// NewStore returns a Store for the estimates of the named sidecar, with its file in host.Directory. It removes the
// temporary files that killed processes left, and starts a goroutine that writes the file until ctx ends.
func NewStore(ctx context.Context, sidecar string, host config.Host, log *slog.Logger) *Store {
	path := filepath.Join(host.Directory, FileName)
	s := &Store{
		path:      path,
		temporary: fmt.Sprintf("%s.%d", path, os.Getpid()),
		sidecar:   sidecar,
		files:     host.Files.WithDefaults(),
		clock:     host.Time.WithDefaults(),
		log:       log,
		pending:   make(chan fileContents, 1),
	}
	s.removeLeftovers()
	go s.run(ctx)
	return s
}

// run writes the estimates that Save queues, until ctx ends.
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

// Save queues estimates to be written; now is the time on the balancer's clock, in microseconds. Save does not block:
// if earlier estimates are still queued, it drops the new ones. A later call then saves newer estimates.
func (s *Store) Save(now balancer.Micros, estimates balancer.Estimates) {
	savedAt := s.clock.Now()
	next := fileContents{Version: fileVersion, Sidecar: s.sidecar, SavedUnixMS: savedAt.UnixMS,
		SavedUptimeMS: savedAt.UptimeMS, Clock: now, Estimates: estimates}
	select {
	case s.pending <- next:
	default:
	}
}

// Load returns the estimates that the previous process saved, with their times converted to the balancer's clock; now
// is the time on that clock, in microseconds. Load returns nil if there are no usable estimates. If the file could be
// read but its estimates are unusable, Load logs the reason.
func (s *Store) Load(now balancer.Micros) *balancer.Estimates {
	text, _, err := s.files.ReadFile(s.path, maxFileBytes)
	if err != nil {
		return nil // usually the file does not exist; a file that cannot be read is not worth a retry
	}
	saved, age, err := s.parse(text)
	if err != nil {
		s.log.Warn("saved estimates ignored", "error", err)
		return nil
	}
	saved.shiftTo(now, age)
	return &saved.Estimates
}

// write replaces the file. It does not sync, so the new content may be lost if the machine stops.
func (s *Store) write(next fileContents) error {
	text, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode estimates: %w", err)
	}
	return s.files.ReplaceFile(s.path, s.temporary, text, false)
}

// removeLeftovers removes the temporary files of processes that were killed during a write. It may also remove a file
// that a live process is about to rename; one save of that process then fails.
func (s *Store) removeLeftovers() {
	leftovers, err := filepath.Glob(s.path + ".*")
	if err != nil {
		return // the directory's name is not a valid glob pattern
	}
	for _, path := range leftovers {
		os.Remove(path)
	}
}
