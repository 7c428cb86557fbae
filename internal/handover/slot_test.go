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

// Guards against processes that rely on one that shuts down: Withdraw takes the mark back for good, so that a later call
// of MarkReady, which may cross the shutdown, does not renew it. The next holder of the slot can be ready again.
func TestWithdrawnProcessIsNotReady(t *testing.T) {
	dir := t.TempDir()
	var slots [3]*Slot
	for i := range slots {
		slot, err := AcquireSlot(dir)
		if err != nil {
			t.Fatal(err)
		}
		slots[i] = slot
	}
	ending, other, neverReady := slots[0], slots[1], slots[2]
	check := func(s *Slot, wantAlive, wantReady int) {
		t.Helper()
		if alive, ready := s.Peers(); alive != wantAlive || ready != wantReady {
			t.Errorf("got %d peers alive and %d ready, want %d and %d", alive, ready, wantAlive, wantReady)
		}
	}
	call := func(what string, f func() error) {
		t.Helper()
		if err := f(); err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	call("mark the first process ready", ending.MarkReady)
	call("mark the second process ready", other.MarkReady)
	check(neverReady, 2, 2)
	call("withdraw the first process", ending.Withdraw)
	check(neverReady, 2, 1)
	check(other, 2, 0)
	call("mark a process ready that has withdrawn", ending.MarkReady)
	check(other, 2, 0)
	call("withdraw the second process, too", other.Withdraw)
	check(ending, 2, 0)
	call("withdraw a process that was never ready", neverReady.Withdraw)
	check(ending, 2, 0)
	ending.Release()
	next, err := AcquireSlot(dir)
	if err != nil {
		t.Fatal(err)
	}
	call("mark the next holder of the slot ready", next.MarkReady)
	check(other, 2, 1)
}
