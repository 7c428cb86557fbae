package sidecar

import (
	"context"
	"time"

	"oakproxy/internal/handover"
	"oakproxy/internal/system"
)

const (
	seatPoll = 100 * time.Millisecond
	heapPart = 8 // tenths of the memory limit: the runtime does not count all
)

// sit takes a place among the processes of this sidecar; where none is to be had for now, company goes on trying.
func (s *server) sit(ctx context.Context, dir string) {
	var own *handover.Slot
	err := system.RetryAtStart(ctx, func() (err error) {
		own, err = handover.AcquireSlot(dir)
		return err
	})
	if err != nil {
		s.log.Warn("process slot not acquired", "error", err)
		return
	}
	s.seat.Store(own)
}

// company has the server live with other processes of its sidecar until ctx ends:
// it takes its part of what the platform grants them together.
func (s *server) company(ctx context.Context, dir string) {
	tick := time.NewTicker(seatPoll)
	defer tick.Stop()
	notified, of := false, 1
	for {
		if s.seat.Load() == nil {
			if own, err := handover.AcquireSlot(dir); err == nil {
				s.seat.Store(own)
			}
		}
		if own := s.seat.Load(); own != nil {
			if alive, _ := own.Peers(); alive+1 != of {
				of = alive + 1
				s.share(of)
				s.log.Info("processes of this sidecar", "count", of)
			}
			if !notified && s.loop.listed.Load() {
				notified = own.MarkReady() == nil // a full disk may take it later
			}
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
	s.clients.SetLimits(most, cfg.Limits.Sockets/crowdPart/n)
	s.loop.up.SetMaxConnections(most)
	s.loop.up.Bodies.Limit.Store(int64(cfg.Limits.MemoryMB) << 20 / bodiesPart / int64(n))
	if limit := cfg.Host.LimitMemory; limit != nil {
		limit(int64(cfg.Limits.MemoryMB) << 20 / 10 * heapPart / int64(n))
	}
}
