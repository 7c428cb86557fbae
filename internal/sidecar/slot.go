package sidecar

import (
	"context"
	"time"

	"oakproxy/internal/handover"
	"oakproxy/internal/system"
)

const (
	slotPollInterval = 100 * time.Millisecond
	heapTenths       = 8 // tenths of the memory limit for the Go heap: the runtime does not count all memory
)

// acquireSlot takes a slot among the processes of this sidecar. If none is to be had for now, followPeers retries.
func (s *server) acquireSlot(ctx context.Context, dir string) {
	var slot *handover.Slot
	err := system.RetryAtStart(ctx, func() (err error) {
		slot, err = handover.AcquireSlot(dir)
		return err
	})
	if err != nil {
		s.log.Warn("process slot not acquired", "error", err)
		return
	}
	s.slot.Store(slot)
}

// followPeers watches the other processes of this sidecar until ctx ends. It shares the sidecar's limits with them,
// and marks this process as ready once it knows an endpoint.
func (s *server) followPeers(ctx context.Context, dir string) {
	tick := time.NewTicker(slotPollInterval)
	defer tick.Stop()
	markedReady, processCount := false, 1
	for {
		if s.slot.Load() == nil {
			if slot, err := handover.AcquireSlot(dir); err == nil {
				s.slot.Store(slot)
			}
		}
		if slot := s.slot.Load(); slot != nil {
			if alive, _ := slot.Peers(); alive+1 != processCount {
				processCount = alive + 1
				s.setProcessCount(processCount)
				s.log.Info("processes of this sidecar", "count", processCount)
			}
			if !markedReady && s.loop.hasReadyEndpoint.Load() {
				markedReady = slot.MarkReady() == nil // a full disk may take it later
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// hasPeer reports whether another process of this sidecar runs.
func (s *server) hasPeer() bool {
	slot := s.slot.Load()
	if slot == nil {
		return false
	}
	alive, _ := slot.Peers()
	return alive > 0
}

// hasReadyPeer reports whether another process serves the clients that come from now on.
func (s *server) hasReadyPeer() bool {
	slot := s.slot.Load()
	if slot == nil {
		return false
	}
	_, ready := slot.Peers()
	return ready > 0
}

// setProcessCount limits this process to one of n equal parts of the sidecar's limits.
func (s *server) setProcessCount(count int) {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	s.processCount = count
	s.applyLimits()
}

// reapplyLimits applies limits that a new configuration has changed.
func (s *server) reapplyLimits() {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	s.applyLimits()
}

// applyLimits sets this process's part of the limits in force. The caller holds limitsMu.
func (s *server) applyLimits() {
	cfg, processCount := s.loop.current.Load(), s.processCount
	connections := max(minConnections, (cfg.Limits.Sockets/processCount-reservedSockets)/2)
	s.clients.SetLimits(connections, cfg.Limits.Sockets/usedConnectionsDivisor/processCount)
	s.loop.upstream.SetMaxConnections(connections)
	s.loop.upstream.BodyMemory.Limit.Store(int64(cfg.Limits.MemoryMB) << 20 / bodyMemoryDivisor / int64(processCount))
	if limit := cfg.Host.LimitMemory; limit != nil {
		limit(int64(cfg.Limits.MemoryMB) << 20 / 10 * heapTenths / int64(processCount))
	}
}
