package sidecar

import (
	"testing"

	"oakproxy/internal/handover"
	"oakproxy/internal/sidecartest"
)

// Two processes share the limits of one sidecar, and the one that remains gets them in full again. Idle connections
// beyond its part are closed.
func TestProcessesShareLimits(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	w := start(t, nil, ready("s-1", e.Address))
	w.await("other connections to end", func() bool { return w.server.clients.Count() == 0 })
	whole, room := w.server.clients.MaxConnections, w.loop.upstream.Bodies.Limit.Load()
	dir := t.TempDir()
	own, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	w.server.slot.Store(own)
	for range whole {
		w.dial()
	}
	w.await("all connections to be taken", func() bool { return w.server.clients.Count() == whole })
	other, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	go w.server.followPeers(t.Context(), dir)
	half := (w.loop.cfg.Limits.Sockets/2 - reservedSockets) / 2
	w.await("connections beyond its part to end", func() bool { return w.server.clients.Count() == half })
	w.await("the part", func() bool { return w.loop.upstream.Bodies.Limit.Load() == room/2 })
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
	w.await("the limits to be whole again", func() bool {
		most, _ := w.server.clients.Limits()
		return most == whole && w.loop.upstream.Bodies.Limit.Load() == room
	})
}
