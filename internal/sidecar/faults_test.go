package sidecar

import (
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/handover"
	"oakproxy/internal/sidecartest"
)

// Tests that during a disk fault only admin calls fail, and requests are still served.
func TestServesDespiteDiskFaults(t *testing.T) {
	e, disk := newServingEndpoint(t), &sidecartest.FaultyDisk{}
	h := startWithConfig(t, nil, func(c *config.Config) { c.Host.Files = disk.FileOps() }, ready("s-1", e.Address))
	address := h.startAdmin(t.TempDir())
	if got := callStatus(t, "POST", address, "/admin/quiesce"); got != http.StatusOK {
		t.Fatal("the call before the fault: want status 200, got", got)
	}
	disk.Fail(sidecartest.DiskSync, syscall.EIO)
	if got := callStatus(t, "POST", address, "/admin/resume"); got != http.StatusInternalServerError {
		t.Errorf("a call that cannot be stored: got %d, want 500", got)
	}
	if got := h.send(h.request("read", "", time.Minute)); got.code != http.StatusOK || h.server.acceptsRequests() {
		t.Errorf("a request during the fault: got %+v, want 200 and a drained sidecar", got)
	}
	disk.Repair()
	if got := callStatus(t, "POST", address, "/admin/resume"); got != http.StatusOK || !h.server.acceptsRequests() {
		t.Errorf("the call after the repair: got %d, want 200 and a resumed sidecar", got)
	}
}

// Tests that a process slot is acquired once its directory exists. Tests also that another process, once found ready,
// is still regarded as alive and ready if its slot file cannot be read.
func TestProcessSlotDespiteFaults(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	dir := filepath.Join(t.TempDir(), "created-later")
	h.server.acquireSlot(t.Context(), dir)
	if h.server.slot.Load() != nil {
		t.Fatal("got a slot in a directory that does not exist, want none")
	}
	go h.server.followPeers(t.Context(), dir)
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	h.await("a slot", func() bool { return h.server.slot.Load() != nil })
	otherSlot, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := otherSlot.MarkReady(); err != nil {
		t.Fatal(err)
	}
	h.await("the other process", h.server.hasReadyPeer)
	path := filepath.Join(dir, "oakproxy-process.1") // the other process's slot file; the sidecar has slot 0
	if err := os.Rename(path, path+".gone"); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(path, path); err != nil { // reading it fails with ELOOP
		t.Fatal(err)
	}
	if !h.server.hasReadyPeer() {
		t.Error("got no ready peer while its slot cannot be read, want one")
	}
}

// Tests that a process whose wall clock is wrong by an hour still computes the right ages of endpoints, because it uses
// the date of discovery's response.
func TestEndpointStartTimesDespiteClockSkew(t *testing.T) {
	e := newServingEndpoint(t)
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		wallClock := &sidecartest.SteppedClock{}
		wallClock.Step(step)
		young, old := ready("s-1", e.Address), ready("s-2", e.Address)
		young.StartUnixMS, old.StartUnixMS = time.Now().UnixMilli(), time.Now().Add(-2*time.Hour).UnixMilli()
		h := &harness{t: t, discovery: newFakeDiscovery(t, young, old)}
		cfg := newConfig(t, h.discovery.address, nil) // the configuration has no known list
		cfg.Host.Time = wallClock.Clock()
		h.launch(cfg)
		h.awaitReady()
		var ages []time.Duration
		h.runInLoop(func() {
			for _, name := range []string{"s-1", "s-2"} {
				startedAt := h.loop.endpoints.byID[h.loop.endpoints.idByName[name]].startedAt
				ages = append(ages, time.Duration(h.loop.clock.now()-startedAt)*time.Microsecond)
			}
		})
		if ages[0] > sidecartest.WaitTimeout || ages[0] < -2*discovery.MinSkew {
			t.Errorf("step %v: got age %v, want that of an endpoint that has just started", step, ages[0])
		}
		if excess := ages[1] - 2*time.Hour; excess > sidecartest.WaitTimeout || excess < -2*discovery.MinSkew {
			t.Errorf("step %v: got age %v, want about 2 h", step, ages[1])
		}
	}
}
