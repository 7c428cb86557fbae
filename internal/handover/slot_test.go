package handover

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// Processes that share a folder see each other until they end, in whatever way.
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
		if a, r := s.Peers(); a != alive || r != ready {
			t.Errorf("%d peers alive, %d ready, want %d and %d", a, r, alive, ready)
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
	first.file.Close() // as the end of its process does
	check(second, 0, 0)
	third := acquire() // gets the slot of the first, and is not ready for that
	check(second, 1, 0)
	for range maxProcesses - 2 {
		acquire()
	}
	var noFreeSlot *NoFreeSlotError
	if _, err := AcquireSlot(dir); !errors.As(err, &noFreeSlot) || !strings.Contains(err.Error(), dir) {
		t.Errorf("beyond the last slot: %v, want a *NoFreeSlotError that names %s", err, dir)
	}
	third.file.Close()
	if _, err := AcquireSlot(dir + "/none"); !os.IsNotExist(err) {
		t.Errorf("without a folder: %v", err)
	}
}

// A slot that can't be inspected is an error, and not a free slot.
func TestInspectSlotReturnsErrorOfUnreadableFile(t *testing.T) {
	path := slotPath(t.TempDir(), 0)
	if err := os.Symlink(path, path); err != nil { // ELOOP
		t.Fatal(err)
	}
	if _, err := inspectSlot(path); err == nil || !strings.Contains(err.Error(), "symbolic") {
		t.Errorf("inspectSlot returned the error %v, want one of the symbolic link", err)
	}
}
