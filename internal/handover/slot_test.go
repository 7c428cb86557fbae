package handover

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// Guards against processes that count a peer which has ended, or miss one that is alive, and then divide the sidecar's
// limits wrongly. This would happen if a slot stayed taken or ready after its process ended.
func TestProcessesSeeEachOther(t *testing.T) {
	dir := t.TempDir()
	acquire := func() *Slot {
		t.Helper()
		s, err := AcquireSlot(dir)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	check := func(s *Slot, alive, ready int) {
		t.Helper()
		if gotAlive, gotReady := s.Peers(); gotAlive != alive || gotReady != ready {
			t.Errorf("got %d peers alive and %d ready, want %d and %d", gotAlive, gotReady, alive, ready)
		}
	}
	first := acquire()
	check(first, 0, 0)
	if err := first.MarkReady(); err != nil {
		t.Fatal(err)
	}
	second := acquire()
	check(first, 1, 0)
	check(second, 1, 1)
	first.file.Close() // releases the lock, as the end of the process would
	check(second, 0, 0)
	third := acquire() // gets the slot of the first process; its mark "ready" must be gone
	check(second, 1, 0)
	for range maxProcesses - 2 {
		acquire()
	}
	var noFreeSlot *NoFreeSlotError
	if _, err := AcquireSlot(dir); !errors.As(err, &noFreeSlot) || !strings.Contains(err.Error(), dir) {
		t.Errorf("acquire a slot while all are taken: got %v, want a *NoFreeSlotError that names %s", err, dir)
	}
	third.file.Close()
	if _, err := AcquireSlot(dir + "/none"); !os.IsNotExist(err) {
		t.Errorf("acquire a slot in a directory that does not exist: got %v, want an error for os.IsNotExist", err)
	}
}

// Guards against reporting a slot as free if its file cannot be opened. Its process may be alive, so the result must be
// an error.
func TestInspectSlotReturnsErrorOfUnreadableFile(t *testing.T) {
	path := slotPath(t.TempDir(), 0)
	if err := os.Symlink(path, path); err != nil { // opening a symbolic link to itself fails with ELOOP
		t.Fatal(err)
	}
	if _, err := inspectSlot(path); err == nil || !strings.Contains(err.Error(), "symbolic") {
		t.Errorf("inspect a slot file that is a symbolic link to itself: got %v, want an error about symbolic links", err)
	}
}
