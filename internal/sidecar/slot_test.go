package sidecar

import (
	"testing"

	"oakproxy/internal/handover"
)

// Tests that two processes share the limits of one sidecar: idle connections beyond a process's share are closed, and
// the process that remains gets the full limits again.
func TestProcessesShareLimits(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	w.await("other connections to end", func() bool { return w.server.clients.Count() == 0 })
	connections, bodyMemory := w.server.clients.MaxConnections, w.loop.upstream.BodyMemory.Limit.Load()
	dir := t.TempDir()
	ownSlot, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	w.server.slot.Store(ownSlot)
	for range connections {
		w.dial()
	}
	w.await("the limit of connections", func() bool { return w.server.clients.Count() == connections })
	otherSlot, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	go w.server.followPeers(t.Context(), dir)
	halfConnections := (w.loop.cfg.Limits.Sockets/2 - reservedSockets) / 2
	w.await("connections beyond the share to end", func() bool { return w.server.clients.Count() == halfConnections })
	w.await("the share of body memory", func() bool { return w.loop.upstream.BodyMemory.Limit.Load() == bodyMemory/2 })
	if !w.server.hasPeer() || w.server.hasReadyPeer() {
		t.Error("got no peer or a ready one, want one that is not ready")
	}
	if err := otherSlot.MarkReady(); err != nil {
		t.Fatal(err)
	}
	if !w.server.hasReadyPeer() {
		t.Error("got no ready peer, want one")
	}
	otherSlot.Release()
	w.await("the full limits", func() bool {
		limit, _ := w.server.clients.Limits()
		return limit == connections && w.loop.upstream.BodyMemory.Limit.Load() == bodyMemory
	})
}
