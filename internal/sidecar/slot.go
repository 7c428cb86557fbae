package sidecar

import (
	"context"
	"time"

	"oakproxy/internal/handover"
	"oakproxy/internal/system"
)

const slotPollInterval = 100 * time.Millisecond

// The Go runtime does not count all memory of the process, so its limit is lower than that of the process: by a fifth, and
// by what the pages of the program file use. A limit below half of the memory would cost too much processor time.
const (
	runtimeShareTenths = 8
	programBytes       = 11 << 20
)

// runtimeMemory returns the memory limit of the Go runtime in a process that may use memory bytes.
func runtimeMemory(memory int64) int64 {
	return max(memory/2, min(memory/10*runtimeShareTenths, memory-programBytes))
}

// acquireSlot acquires a slot for this process, by which the sidecar's other processes notice this one. If no slot
// can be acquired, followPeers retries.
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

// followPeers watches the other processes of this sidecar until ctx ends. It limits this process to its share of the
// sidecar's limits, and marks this process as ready once an endpoint is ready.
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
			if !markedReady && s.loop.hasReadyEndpoint.Load() && !s.terminating.Load() {
				// If MarkReady fails, for example because the disk is full, the next pass of the loop retries.
				markedReady = slot.MarkReady() == nil
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// peers returns how many other processes of this sidecar are running, and how many of those accept clients and will go
// on to do so.
func (s *server) peers() (alive, ready int) {
	slot := s.slot.Load()
	if slot == nil {
		return 0, 0
	}
	return slot.Peers()
}

// hasReadyPeer reports whether another process of this sidecar is ready and thus serves new clients.
func (s *server) hasReadyPeer() bool {
	_, ready := s.peers()
	return ready > 0
}

// withdrawReadiness tells the other processes that this one shuts down. It must be called after terminating is set, so
// that followPeers does not mark a slot as ready that it acquires only now.
func (s *server) withdrawReadiness() {
	slot := s.slot.Load()
	if slot == nil {
		return
	}
	if err := slot.Withdraw(); err != nil {
		s.log.Warn("readiness not withdrawn", "error", err)
	}
}

// awaitTurn waits until this process must accept clients, because it knows a ready endpoint or no other process accepts
// them. A process that is running but not ready may still accept them for the drain period, while it shuts down. The
// result is false if the listener was closed before.
func (s *server) awaitTurn() bool {
	for started := time.Now(); !s.loop.hasReadyEndpoint.Load(); time.Sleep(sweepInterval) {
		alive, ready := s.peers()
		if ready == 0 && (alive == 0 || time.Since(started) >= s.drainPeriod) {
			return true
		}
		if s.admission.isClosed() {
			return false
		}
	}
	return true
}

// setProcessCount limits this process to one of count equal parts of the sidecar's limits.
func (s *server) setProcessCount(count int) {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	s.processCount = count
	s.applyLimits()
}

// reapplyLimits applies the limits of a new configuration.
func (s *server) reapplyLimits() {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	s.applyLimits()
}

// applyLimits limits this process to its part of the limits in force. The caller must hold limitsMu.
func (s *server) applyLimits() {
	cfg, processCount := s.loop.current.Load(), s.processCount
	connections := connectionLimit(cfg.Limits, processCount)
	s.clients.SetLimits(connections, cfg.Limits.Sockets/usedConnectionsDivisor/processCount)
	s.loop.upstream.SetMaxConnections(connections)
	memory := int64(cfg.Limits.MemoryMB) << 20 / int64(processCount)
	s.loop.upstream.Memory.SetMemory(memory)
	if limit := cfg.Host.LimitMemory; limit != nil {
		limit(runtimeMemory(memory))
	}
}
