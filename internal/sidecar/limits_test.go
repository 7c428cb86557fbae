package sidecar

import "testing"

// Two processes have the limits of one sidecar between them, and the one that stays
// has them whole again. What is idle beyond its part is closed.
func TestProcessesShareTheLimits(t *testing.T) {
	e := newEndpoint(t, always(served))
	w := start(t, nil, ready("s-1", e.address))
	w.until("other connections to end", func() bool { return w.server.clients.count() == 0 })
	whole, room := w.server.clients.most, w.loop.up.room.most.Load()
	dir := t.TempDir()
	own, err := takeSeat(dir)
	if err != nil {
		t.Fatal(err)
	}
	w.server.seat.Store(own)
	for range whole {
		w.dial()
	}
	w.until("all room to be taken", func() bool { return w.server.clients.count() == whole })
	other, err := takeSeat(dir)
	if err != nil {
		t.Fatal(err)
	}
	go w.server.company(t.Context(), dir)
	half := (w.loop.cfg.Limits.Sockets/2 - socketSpare) / 2
	w.until("connections beyond its part to end", func() bool { return w.server.clients.count() == half })
	w.until("the part", func() bool { return w.loop.up.room.most.Load() == room/2 })
	if !w.server.accompanied() || w.server.relieved() {
		t.Error("the other process is not seen, or taken for ready")
	}
	if err := other.ready(); err != nil {
		t.Fatal(err)
	}
	if !w.server.relieved() {
		t.Error("the other process is not seen to be ready")
	}
	other.release()
	w.until("the limits to be whole again", func() bool {
		most, _ := w.server.clients.limits()
		return most == whole && w.loop.up.room.most.Load() == room
	})
}
