package sidecar

import (
	"testing"
	"time"

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
	if alive, ready := h.server.peers(); alive != 1 || ready != 0 {
		t.Errorf("got %d peers, %d of them ready, want one that is not ready", alive, ready)
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

// withPeers gives the sidecar a process slot, and returns the slots of count other processes of it.
func (h *harness) withPeers(count int) (peers []*handover.Slot) {
	h.t.Helper()
	dir := h.t.TempDir()
	for i := range count + 1 {
		slot, err := handover.AcquireSlot(dir)
		if err != nil {
			h.t.Fatal(err)
		}
		h.t.Cleanup(slot.Release)
		if i == 0 {
			h.server.slot.Store(slot)
			continue
		}
		peers = append(peers, slot)
	}
	return peers
}

// Guards against requests that nobody accepts because two processes that shut down rely on each other, or because the
// only ready one has ended: while a process drains, it accepts connections whenever no other process is ready.
func TestDrainingProcessAcceptsUnlessAnotherIsReady(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, peer *handover.Slot){
		"shuts down":  func(t *testing.T, peer *handover.Slot) { mustSucceed(t, peer.Withdraw()) },
		"is killed":   func(_ *testing.T, peer *handover.Slot) { peer.Release() },
		"never ready": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newServingEndpoint(t)
			h := start(t, nil, ready("s-1", e.Address))
			h.server.drainPeriod = time.Hour // the test ends before
			peers := h.withPeers(2)
			own := h.server.slot.Load()
			mustSucceed(t, own.MarkReady())
			otherReady := 0
			if end != nil {
				mustSucceed(t, peers[0].MarkReady())
				otherReady = 1
			}
			h.stop()
			h.await("the process not to count as ready", func() bool {
				_, ready := peers[1].Peers()
				return ready == otherReady
			})
			response := make(chan reply, 1)
			request := h.request("pay", "body", time.Minute)
			if end != nil {
				h.await("accepting to be paused", h.server.clients.Paused)
				mustSucceed(t, own.MarkReady()) // as followPeers may do just then
			}
			go func() { response <- h.send(request) }()
			if end != nil {
				end(t, peers[0])
			}
			if got := <-response; got.code != 200 {
				t.Errorf("got %+v, want 200", got)
			}
			mustSucceed(t, peers[1].MarkReady())
			h.await("accepting to be paused again", h.server.clients.Paused)
		})
	}
}

// Guards against processes that start at the same time, or beside one that shuts down, and wait for each other: a process
// without endpoints accepts clients, which it rejects, unless another process is ready.
func TestStartingProcessWaitsOnlyForReadyOnes(t *testing.T) {
	h := &harness{t: t, discovery: newFakeDiscovery(t)}
	h.launch(newConfig(t, h.discovery.address, nil))
	h.server.drainPeriod = 0
	peers := h.withPeers(2)
	mustSucceed(t, peers[0].MarkReady())
	turn := make(chan bool, 1)
	await := func() { go func() { turn <- h.server.awaitTurn() }() }
	await()
	mustSucceed(t, peers[0].Withdraw())
	if !<-turn {
		t.Error("got no turn once the ready process shuts down, want one")
	}
	await()
	if !<-turn {
		t.Error("got no turn beside two processes that are not ready, want one")
	}
	peers[0].Release()
	mustSucceed(t, peers[1].MarkReady())
	h.server.admission.close() // ends the wait, so that a process that did not wait gets its turn
	await()
	if <-turn {
		t.Error("got a turn beside a ready process, want none")
	}
}

// mustSucceed ends the test if err is not nil.
func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
