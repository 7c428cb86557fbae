package sidecar

import (
	"testing"

	"oakproxy/internal/handover"
)

// Tests that two processes share the limits of one sidecar: idle connections beyond a process's share are closed, and
// the process that remains gets the full limits again.
func TestProcessesShareLimits(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	h.await("other connections to end", func() bool { return h.server.clients.Count() == 0 })
	connections, bodyMemory := h.server.clients.MaxConnections, h.loop.upstream.Memory.Bodies.Limit.Load()
	dir := t.TempDir()
	ownSlot, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	h.server.slot.Store(ownSlot)
	for range connections {
		h.dial()
	}
	h.await("the connection limit to be reached", func() bool { return h.server.clients.Count() == connections })
	otherSlot, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	go h.server.followPeers(t.Context(), dir)
	halfConnections := (h.loop.cfg.Limits.Sockets/2 - reservedSockets) / 2
	h.await("connections beyond the share to end", func() bool { return h.server.clients.Count() == halfConnections })
	h.await("the limit of body memory to be halved", func() bool {
		return h.loop.upstream.Memory.Bodies.Limit.Load() == bodyMemory/2
	})
	if !h.server.hasPeer() || h.server.hasReadyPeer() {
		t.Error("got no peer or a ready one, want one that is not ready")
	}
	if err := otherSlot.MarkReady(); err != nil {
		t.Fatal(err)
	}
	if !h.server.hasReadyPeer() {
		t.Error("got no ready peer, want one")
	}
	otherSlot.Release()
	h.await("the full limits to apply again", func() bool {
		limit, _ := h.server.clients.Limits()
		return limit == connections && h.loop.upstream.Memory.Bodies.Limit.Load() == bodyMemory
	})
}
