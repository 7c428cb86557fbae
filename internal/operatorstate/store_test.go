package operatorstate

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/sidecartest"
	"oakproxy/internal/system"
	"oakproxy/internal/warmstart"
)

// newStore returns a store in a directory, and a function that returns the state which it applied last.
func newStore(dir string, files system.FileOps, times system.Clock) (s *Store, inForce func() State) {
	var mu sync.Mutex
	var applied State
	s = &Store{Directory: dir, Sidecar: "n0", Log: slog.New(slog.DiscardHandler), Files: files, Time: times.WithDefaults(),
		Retention: func() time.Duration { return time.Minute }, Apply: func(st State) {
			mu.Lock()
			defer mu.Unlock()
			applied = st
		}}
	return s, func() State {
		mu.Lock()
		defer mu.Unlock()
		return applied
	}
}

func isCordoned(st State, name string) bool {
	for _, m := range st.Overrides {
		if m.Name == name {
			return m.Cordoned
		}
	}
	return false
}

func (s *Store) setCordon(name string, cordoned bool) error {
	return s.Update(func(st *State) { st.SetCordon(name, cordoned, s.Time.Now()) })
}

// While the disk fails, an update returns an error and no earlier one is lost. Once the disk is mended, the next update
// succeeds, and all that were acknowledged are in force in both processes.
func TestNoAcknowledgedUpdateIsLostToDiskFaults(t *testing.T) {
	for operation, errs := range map[sidecartest.DiskOperation][]error{
		sidecartest.DiskWrite:  {syscall.ENOSPC, syscall.EIO},
		sidecartest.DiskSync:   {syscall.ENOSPC, syscall.EIO},
		sidecartest.DiskRename: {syscall.ENOSPC, syscall.EIO},
		sidecartest.DiskRead:   {syscall.EIO, syscall.ENFILE},
	} {
		for _, err := range errs {
			t.Run(string(operation)+" "+err.Error(), func(t *testing.T) {
				dir, disk := t.TempDir(), &sidecartest.FaultyDisk{}
				s, inForce := newStore(dir, disk.FileOps(), system.Clock{})
				other, otherInForce := newStore(dir, system.FileOps{}, system.Clock{})
				if err := s.setCordon("a", true); err != nil {
					t.Fatal(err)
				}
				if err := other.setCordon("b", true); err != nil { // s has not read it yet
					t.Fatal(err)
				}
				disk.Fail(operation, err)
				if err := s.setCordon("c", true); err == nil {
					t.Error("an update succeeds while the disk fails")
				}
				s.Refresh()
				other.Refresh()
				if !isCordoned(inForce(), "a") || isCordoned(inForce(), "c") || isCordoned(otherInForce(), "c") {
					t.Errorf("during the fault %+v and %+v are in force", inForce(), otherInForce())
				}
				disk.Repair()
				s.Refresh()
				if !isCordoned(inForce(), "b") {
					t.Errorf("the other process's update is not in force: %+v", inForce())
				}
				if err := s.setCordon("d", true); err != nil {
					t.Fatal(err)
				}
				other.Refresh()
				for _, name := range []string{"a", "b", "d"} {
					if !isCordoned(inForce(), name) || !isCordoned(otherInForce(), name) {
						t.Errorf("%s: %+v and %+v are in force", name, inForce(), otherInForce())
					}
				}
				leftover, _ := filepath.Glob(filepath.Join(dir, "*.new*"))
				if len(leftover) > 0 {
					t.Errorf("left behind: %v", leftover)
				}
			})
		}
	}
}

// Load waits for a file that cannot be read. If the fault lasts longer, Refresh puts what the process before has stored
// into force as soon as it can be read.
func TestLoadRetriesReadErrors(t *testing.T) {
	dir, disk := t.TempDir(), &sidecartest.FaultyDisk{}
	before, _ := newStore(dir, system.FileOps{}, system.Clock{})
	if err := before.setCordon("a", true); err != nil {
		t.Fatal(err)
	}
	disk.Fail(sidecartest.DiskRead, syscall.EIO)
	waiting, _ := newStore(dir, disk.FileOps(), system.Clock{})
	time.AfterFunc(3*system.StartRetryDelay, disk.Repair)
	if st := waiting.Load(t.Context()); !isCordoned(st, "a") {
		t.Errorf("a load that waited returns %+v", st)
	}
	disk.Fail(sidecartest.DiskRead, syscall.EIO)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	s, inForce := newStore(dir, disk.FileOps(), system.Clock{})
	s.Load(canceled)
	s.Refresh()
	disk.Repair()
	if s.Refresh(); !isCordoned(inForce(), "a") {
		t.Errorf("once the disk is mended, %+v is in force", inForce())
	}
}

// A file that a process left when it was killed during a write is neither read nor kept.
func TestPartialWriteIsIgnored(t *testing.T) {
	dir := t.TempDir()
	before, _ := newStore(dir, system.FileOps{}, system.Clock{})
	if err := before.setCordon("a", true); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{before.path() + ".new", filepath.Join(dir, warmstart.FileName) + ".77"} {
		if err := os.WriteFile(path, []byte(`{"version":1,"sidec`), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, inForce := newStore(dir, system.FileOps{}, system.Clock{})
	if st := s.Load(t.Context()); !isCordoned(st, "a") {
		t.Errorf("loaded %+v", st)
	}
	if err := s.setCordon("b", true); err != nil || !isCordoned(inForce(), "a") || !isCordoned(inForce(), "b") {
		t.Errorf("%v; %+v is in force", err, inForce())
	}
	warmstart.NewStore(t.Context(), "n0", config.Host{Directory: dir}, slog.New(slog.DiscardHandler))
	if leftover, _ := filepath.Glob(filepath.Join(dir, "*.[n7]*")); len(leftover) > 0 {
		t.Errorf("left behind: %v", leftover)
	}
}

// The age of an override and of saved estimates is elapsed time, in this process and in others, whatever the wall clock
// shows.
func TestAgesAreUnaffectedByWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			dir, times := t.TempDir(), &sidecartest.SteppedClock{}
			s, inForce := newStore(dir, system.FileOps{}, times.Clock())
			for _, cordoned := range []bool{true, false} {
				if err := s.setCordon("a", cordoned); err != nil {
					t.Fatal(err)
				}
			}
			times.Step(step)
			if err := s.setCordon("b", true); err != nil {
				t.Fatal(err)
			}
			if hosts := inForce().Overrides; len(hosts) != 2 {
				t.Fatalf("%+v is in force: an endpoint put back just now is forgotten", hosts)
			}
			later, _ := newStore(dir, system.FileOps{}, times.Clock())
			back := later.Load(t.Context()).Overrides[0]
			if age, known := later.Time.Age(back.SetAt()); !known || age < -time.Millisecond || age > sidecartest.WaitTimeout {
				t.Errorf("put back %v ago, known %v", age, known)
			}

			host := config.Host{Directory: dir, Time: times.Clock()}
			m := warmstart.NewStore(t.Context(), "n0", host, slog.New(slog.DiscardHandler))
			const clock = 1_000_000_000
			m.Save(clock, balancer.Estimates{ServiceTimeRatio: 1,
				Endpoints: []balancer.EndpointEstimate{{Name: 1, MeasuredAt: clock - 5}}})
			sidecartest.Await(t, "the file", func() bool { return m.Load(1) != nil })
			times.Step(0)
			const other = clock + 77_000_000 // the clock of the next process
			got := m.Load(other)
			if got == nil {
				t.Fatal("estimates saved just now are ignored as old")
			}
			if at := got.Endpoints[0].MeasuredAt; at > other-5 || at < other-5-sidecartest.WaitTimeout.Microseconds() {
				t.Errorf("measured at %d by a clock that shows %d", at, other)
			}
		})
	}
}
