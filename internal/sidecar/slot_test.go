package sidecar

import (
	"testing"

	"oakproxy/internal/handover"
)

// Two processes share the limits of one sidecar, and the one that remains gets them in full again. Idle connections
// beyond its part are closed.
func TestProcessesShareLimits(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	w.await("other connections to end", func() bool { return w.server.clients.Count() == 0 })
	connections, bodies := w.server.clients.MaxConnections, w.loop.upstream.BodyMemory.Limit.Load()
	dir := t.TempDir()
	own, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	w.server.slot.Store(own)
	for range connections {
		w.dial()
	}
	w.await("all connections to be taken", func() bool { return w.server.clients.Count() == connections })
	other, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	go w.server.followPeers(t.Context(), dir)
	half := (w.loop.cfg.Limits.Sockets/2 - reservedSockets) / 2
	w.await("connections beyond its part to end", func() bool { return w.server.clients.Count() == half })
	w.await("the part", func() bool { return w.loop.upstream.BodyMemory.Limit.Load() == bodies/2 })
	if !w.server.hasPeer() || w.server.replaced() {
		t.Error("the other process is not seen, or taken for ready")
	}
	if err := other.MarkReady(); err != nil {
		t.Fatal(err)
	}
	if !w.server.replaced() {
		t.Error("the other process is not seen to be ready")
	}
	other.Release()
	w.await("the full limits again", func() bool {
		limit, _ := w.server.clients.Limits()
		return limit == connections && w.loop.upstream.BodyMemory.Limit.Load() == bodies
	})
}
