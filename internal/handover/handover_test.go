package handover

import (
	"os"
	"strings"
	"testing"
)

// Processes that share a folder see each other, until they end in whatever way.
func TestProcessesSeeEachOther(t *testing.T) {
	dir := t.TempDir()
	take := func() *Slot {
		s, err := AcquireSlot(dir)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	check := func(s *Slot, alive, ready int) {
		t.Helper()
		if a, r := s.Peers(); a != alive || r != ready {
			t.Errorf("%d others alive, %d ready, want %d and %d", a, r, alive, ready)
		}
	}
	first := take()
	check(first, 0, 0)
	if err := first.MarkReady(); err != nil {
		t.Fatal(err)
	}
	second := take()
	check(first, 1, 0)
	check(second, 1, 1)
	first.file.Close() // as the end of its process does
	check(second, 0, 0)
	third := take() // sits where the first did, and is not ready for that
	check(second, 1, 0)
	for range maxProcesses - 2 {
		take()
	}
	if _, err := AcquireSlot(dir); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("one too many: %v", err)
	}
	third.file.Close()
	if _, err := AcquireSlot(dir + "/none"); !os.IsNotExist(err) {
		t.Errorf("without a folder: %v", err)
	}
}

// A place that can't be looked at is an error, not an empty place.
func TestPlaceThatCannotBeLookedAt(t *testing.T) {
	path := slotPath(t.TempDir(), 0)
	if err := os.Symlink(path, path); err != nil { // ELOOP
		t.Fatal(err)
	}
	if _, err := inspectSlot(path); err == nil || !strings.Contains(err.Error(), "symbolic") {
		t.Errorf("the look ended with %v", err)
	}
}
