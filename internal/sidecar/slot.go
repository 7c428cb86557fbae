package sidecar

import (
	"context"
	"time"

	"oakproxy/internal/handover"
	"oakproxy/internal/system"
)

const (
	slotPollInterval = 100 * time.Millisecond
	heapTenths       = 8 // tenths of the memory limit: the runtime does not count all
)

// acquireSlot takes a place among the processes of this sidecar; where none is to be had for now, company goes on trying.
func (s *server) acquireSlot(ctx context.Context, dir string) {
	var own *handover.Slot
	err := system.RetryAtStart(ctx, func() (err error) {
		own, err = handover.AcquireSlot(dir)
		return err
	})
	if err != nil {
		s.log.Warn("process slot not acquired", "error", err)
		return
	}
	s.slot.Store(own)
}

// followPeers has the server live with other processes of its sidecar until ctx ends:
// it takes its part of what the platform grants them together.
func (s *server) followPeers(ctx context.Context, dir string) {
	tick := time.NewTicker(slotPollInterval)
	defer tick.Stop()
	notified, of := false, 1
	for {
		if s.slot.Load() == nil {
			if own, err := handover.AcquireSlot(dir); err == nil {
				s.slot.Store(own)
			}
		}
		if own := s.slot.Load(); own != nil {
			if alive, _ := own.Peers(); alive+1 != of {
				of = alive + 1
				s.setProcesses(of)
				s.log.Info("processes of this sidecar", "count", of)
			}
			if !notified && s.loop.endpointsKnown.Load() {
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

// setProcesses limits this process to one of n equal parts of the sidecar's limits.
func (s *server) setProcesses(n int) {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	s.processes = n
	s.applyLimits()
}

// reapplyLimits has limits that have changed hold.
func (s *server) reapplyLimits() {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	s.applyLimits()
}

// applyLimits sets this process's part of the limits. It holds s.limits.
func (s *server) applyLimits() {
	cfg, n := s.loop.current.Load(), s.processes
	most := max(minConnections, (cfg.Limits.Sockets/n-reservedSockets)/2)
	s.clients.SetLimits(most, cfg.Limits.Sockets/crowdedDivisor/n)
	s.loop.upstream.SetMaxConnections(most)
	s.loop.upstream.Bodies.Limit.Store(int64(cfg.Limits.MemoryMB) << 20 / bodyMemoryDivisor / int64(n))
	if limit := cfg.Host.LimitMemory; limit != nil {
		limit(int64(cfg.Limits.MemoryMB) << 20 / 10 * heapTenths / int64(n))
	}
}
