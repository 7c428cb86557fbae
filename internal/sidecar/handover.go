package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	maxProcesses = 4 // processes of one sidecar that are told apart
	seatPoll     = 100 * time.Millisecond
	seatReady    = "ready"
	heapPart     = 8 // tenths of the memory limit: the runtime does not count all
)

// seat is a process's place among those of one sidecar: a locked file in the folder
// that they share. The lock ends with the process, however that ends.
type seat struct {
	dir  string
	own  int
	file *os.File
}

func seatPath(dir string, i int) string {
	return filepath.Join(dir, fmt.Sprintf("oakproxy-process.%d", i))
}

// takeSeat takes the first place that is free.
func takeSeat(dir string) (*seat, error) {
	for i := range maxProcesses {
		file, err := os.OpenFile(seatPath(dir, i), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, err
		}
		if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return &seat{dir: dir, own: i, file: file}, file.Truncate(0)
		}
		file.Close()
	}
	return nil, fmt.Errorf("%d processes share %s already", maxProcesses, dir)
}

// ready tells the others that this process serves.
func (s *seat) ready() error {
	_, err := s.file.WriteAt([]byte(seatReady), 0)
	return err
}

// others counts the other processes, and those of them that serve.
func (s *seat) others() (alive, ready int) {
	for i := range maxProcesses {
		if i == s.own {
			continue
		}
		file, err := os.Open(seatPath(s.dir, i))
		if err != nil {
			continue // nobody ever sat there
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == syscall.EWOULDBLOCK {
			alive++
			text := make([]byte, len(seatReady))
			if n, _ := file.ReadAt(text, 0); string(text[:n]) == seatReady {
				ready++
			}
		}
		file.Close()
	}
	return alive, ready
}

// company has the server live with other processes of its sidecar until ctx ends:
// it takes its part of what the platform grants them together.
func (s *server) company(ctx context.Context, log *slog.Logger) {
	tick := time.NewTicker(seatPoll)
	defer tick.Stop()
	notified, of := false, 1
	for {
		if alive, _ := s.seat.others(); alive+1 != of {
			of = alive + 1
			s.share(of)
			log.Info("processes of this sidecar", "count", of)
		}
		if !notified && s.loop.listed.Load() {
			if err := s.seat.ready(); err != nil {
				log.Warn("the other process is not told that this one serves", "error", err)
			}
			notified = true
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// share limits this process to one of n equal parts of the sidecar's limits.
func (s *server) share(n int) {
	s.limits.Lock()
	defer s.limits.Unlock()
	s.processes = n
	s.limit()
}

// relimit has limits that have changed hold.
func (s *server) relimit() {
	s.limits.Lock()
	defer s.limits.Unlock()
	s.limit()
}

// limit sets this process's part of the limits. It holds s.limits.
func (s *server) limit() {
	cfg, n := s.loop.current.Load(), s.processes
	most := max(minConnections, (cfg.Limits.Sockets/n-socketSpare)/2)
	s.clients.limit(most, cfg.Limits.Sockets/crowdPart/n)
	s.loop.up.limit(most)
	s.loop.up.room.most.Store(int64(cfg.Limits.MemoryMB) << 20 / bodiesPart / int64(n))
	if limit := cfg.Host.LimitMemory; limit != nil {
		limit(int64(cfg.Limits.MemoryMB) << 20 / 10 * heapPart / int64(n))
	}
}
