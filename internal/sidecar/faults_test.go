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

// A disk fault costs no request and no connection: only admin calls fail meanwhile.
func TestServesDespiteDiskFaults(t *testing.T) {
	e, disk := newServingEndpoint(t), &sidecartest.FaultyDisk{}
	w := startWith(t, nil, func(c *config.Config) { c.Host.Files = disk.FileOps() }, ready("s-1", e.Address))
	address := w.startAdmin(t.TempDir())
	if got := callStatus(t, "POST", address, "/admin/quiesce"); got != http.StatusOK {
		t.Fatal(got)
	}
	disk.Fail(sidecartest.DiskSync, syscall.EIO)
	if got := callStatus(t, "POST", address, "/admin/resume"); got != http.StatusInternalServerError {
		t.Errorf("a call that can't be stored: %d", got)
	}
	if got := w.send(w.request("read", "", time.Minute)); got.code != http.StatusOK || w.server.acceptsRequests() {
		t.Errorf("a request meanwhile: %+v", got)
	}
	disk.Repair()
	if got := callStatus(t, "POST", address, "/admin/resume"); got != http.StatusOK || !w.server.acceptsRequests() {
		t.Errorf("the call afterwards: %d", got)
	}
}

// A process slot is acquired once the directory allows it, and a peer that was seen there counts as alive while its
// slot can't be read.
func TestProcessSlotDespiteFaults(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	dir := filepath.Join(t.TempDir(), "later")
	w.server.acquireSlot(t.Context(), dir)
	if w.server.slot.Load() != nil {
		t.Fatal("a slot in a directory that does not exist")
	}
	go w.server.followPeers(t.Context(), dir)
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	w.await("a slot", func() bool { return w.server.slot.Load() != nil })
	other, err := handover.AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := other.MarkReady(); err != nil {
		t.Fatal(err)
	}
	w.await("the other process", w.server.replaced)
	path := filepath.Join(dir, "oakproxy-process.1") // the slot after that of the sidecar itself
	if err := os.Rename(path, path+".gone"); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(path, path); err != nil { // ELOOP: it can't be looked at
		t.Fatal(err)
	}
	if !w.server.replaced() {
		t.Error("the other process is not seen any more")
	}
}

// A process whose clock is off by an hour computes from discovery's date which endpoints have just started.
func TestEndpointStartTimesDespiteClockSkew(t *testing.T) {
	e := newServingEndpoint(t)
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		times := &sidecartest.SteppedClock{}
		times.Step(step)
		young, old := ready("s-1", e.Address), ready("s-2", e.Address)
		young.StartUnixMS, old.StartUnixMS = time.Now().UnixMilli(), time.Now().Add(-2*time.Hour).UnixMilli()
		w := &harness{t: t, discovery: newFakeDiscovery(t, young, old)}
		cfg := configure(t, w.discovery.address, nil) // it knows no list but discovery's
		cfg.Host.Time = times.Clock()
		w.launch(cfg)
		w.untilReady()
		var ages []time.Duration
		w.runInLoop(func() {
			for _, name := range []string{"s-1", "s-2"} {
				ages = append(
					ages,
					time.Duration(
						w.loop.clock.now()-w.loop.endpoints.byID[w.loop.endpoints.ids[name]].startedAt,
					)*time.Microsecond,
				)
			}
		})
		if ages[0] > sidecartest.WaitTimeout || ages[0] < -2*discovery.MinSkew {
			t.Errorf("step %v: one that has just started is %v old", step, ages[0])
		}
		if off := ages[1] - 2*time.Hour; off > sidecartest.WaitTimeout || off < -2*discovery.MinSkew {
			t.Errorf("step %v: one that started two hours ago is %v old", step, ages[1])
		}
	}
}
