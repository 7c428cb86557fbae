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

// newStore returns a store that keeps its files in dir, and a function that returns the state the store applied last.
func newStore(dir string, files system.FileOps, clock system.Clock) (s *Store, lastApplied func() State) {
	var mu sync.Mutex
	var applied State
	s = &Store{Directory: dir, Sidecar: "n0", Log: slog.New(slog.DiscardHandler), Files: files, Time: clock.WithDefaults(),
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
	for _, override := range st.Overrides {
		if override.Name == name {
			return override.Cordoned
		}
	}
	return false
}

func (s *Store) setCordon(name string, cordoned bool) error {
	return s.Update(func(st *State) { st.SetCordon(name, cordoned, s.Time.Now()) })
}

// Guards against losing an acknowledged update (one for which Update returned nil). This would happen if a process
// wrote its own copy of the state after a failed read or write, and so overwrote another process's update. During a
// disk fault Update must return an error; after it, all acknowledged updates must be in effect in both processes.
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
				s, lastApplied := newStore(dir, disk.FileOps(), system.Clock{})
				other, otherLastApplied := newStore(dir, system.FileOps{}, system.Clock{})
				if err := s.setCordon("a", true); err != nil {
					t.Fatal(err)
				}
				if err := other.setCordon("b", true); err != nil { // s has not read this update yet
					t.Fatal(err)
				}
				disk.Fail(operation, err)
				if err := s.setCordon("c", true); err == nil {
					t.Errorf("update during the %s fault: got no error, want one", operation)
				}
				s.Refresh()
				other.Refresh()
				if !isCordoned(lastApplied(), "a") || isCordoned(lastApplied(), "c") || isCordoned(otherLastApplied(), "c") {
					t.Errorf("during the fault: got states %+v and %+v, want endpoint a cordoned in the first, c in neither",
						lastApplied(), otherLastApplied())
				}
				disk.Repair()
				s.Refresh()
				if !isCordoned(lastApplied(), "b") {
					t.Errorf("after the fault: got state %+v, want endpoint b cordoned by the other process", lastApplied())
				}
				if err := s.setCordon("d", true); err != nil {
					t.Fatal(err)
				}
				other.Refresh()
				for _, name := range []string{"a", "b", "d"} {
					if !isCordoned(lastApplied(), name) || !isCordoned(otherLastApplied(), name) {
						t.Errorf("%s: got states %+v and %+v, want it cordoned in both", name, lastApplied(), otherLastApplied())
					}
				}
				leftover, _ := filepath.Glob(filepath.Join(dir, "*.new*"))
				if len(leftover) > 0 {
					t.Errorf("got temporary files %v, want none", leftover)
				}
			})
		}
	}
}

// Guards against starting without the stored cordons because the state file is unreadable for a while. Load must retry
// the read. If the fault lasts longer than Load waits, Refresh must put the stored state into effect after the fault.
func TestLoadRetriesReadErrors(t *testing.T) {
	dir, disk := t.TempDir(), &sidecartest.FaultyDisk{}
	previous, _ := newStore(dir, system.FileOps{}, system.Clock{})
	if err := previous.setCordon("a", true); err != nil {
		t.Fatal(err)
	}
	disk.Fail(sidecartest.DiskRead, syscall.EIO)
	waiting, _ := newStore(dir, disk.FileOps(), system.Clock{})
	time.AfterFunc(3*system.StartRetryDelay, disk.Repair)
	if st := waiting.Load(t.Context()); !isCordoned(st, "a") {
		t.Errorf("load that retries a read error: got state %+v, want endpoint a cordoned", st)
	}
	disk.Fail(sidecartest.DiskRead, syscall.EIO)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	s, lastApplied := newStore(dir, disk.FileOps(), system.Clock{})
	s.Load(canceled)
	s.Refresh()
	disk.Repair()
	if s.Refresh(); !isCordoned(lastApplied(), "a") {
		t.Errorf("refresh after the disk is repaired: got state %+v, want endpoint a cordoned", lastApplied())
	}
}

// Guards against reading, or keeping forever, the partly written temporary file that a process leaves when it is killed
// during a write.
func TestPartialWriteIsIgnored(t *testing.T) {
	dir := t.TempDir()
	previous, _ := newStore(dir, system.FileOps{}, system.Clock{})
	if err := previous.setCordon("a", true); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{previous.path() + ".new", filepath.Join(dir, warmstart.FileName) + ".77"} {
		if err := os.WriteFile(path, []byte(`{"version":1,"sidec`), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, lastApplied := newStore(dir, system.FileOps{}, system.Clock{})
	if st := s.Load(t.Context()); !isCordoned(st, "a") {
		t.Errorf("got loaded state %+v, want endpoint a cordoned", st)
	}
	if err := s.setCordon("b", true); err != nil || !isCordoned(lastApplied(), "a") || !isCordoned(lastApplied(), "b") {
		t.Errorf("got error %v and state %+v, want no error, and endpoints a and b cordoned", err, lastApplied())
	}
	warmstart.NewStore(t.Context(), "n0", config.Host{Directory: dir}, slog.New(slog.DiscardHandler))
	if leftover, _ := filepath.Glob(filepath.Join(dir, "*.[n7]*")); len(leftover) > 0 {
		t.Errorf("got temporary files %v, want none", leftover)
	}
}

// Guards against wrong ages of overrides and saved estimates after the wall clock is stepped. A wrong age would discard
// them too early or keep them too long. Their age must be the elapsed time, also in a later process.
func TestAgesAreUnaffectedByWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			dir, clock := t.TempDir(), &sidecartest.SteppedClock{}
			s, lastApplied := newStore(dir, system.FileOps{}, clock.Clock())
			for _, cordoned := range []bool{true, false} {
				if err := s.setCordon("a", cordoned); err != nil {
					t.Fatal(err)
				}
			}
			clock.Step(step)
			if err := s.setCordon("b", true); err != nil {
				t.Fatal(err)
			}
			if overrides := lastApplied().Overrides; len(overrides) != 2 {
				t.Fatalf("got overrides %+v, want 2: the endpoint a was uncordoned just now and must be remembered", overrides)
			}
			later, _ := newStore(dir, system.FileOps{}, clock.Clock())
			restored := later.Load(t.Context()).Overrides[0]
			if age, known := later.Time.Age(restored.SetAt()); !known || age < -time.Millisecond ||
				age > sidecartest.WaitTimeout {
				t.Errorf("got age %v of the uncordoned endpoint (known: %v), want a known age from -1ms to %v",
					age, known, sidecartest.WaitTimeout)
			}

			host := config.Host{Directory: dir, Time: clock.Clock()}
			estimates := warmstart.NewStore(t.Context(), "n0", host, slog.New(slog.DiscardHandler))
			const savedAt = 1_000_000_000
			estimates.Save(savedAt, balancer.Estimates{ServiceTimeRatio: 1,
				Endpoints: []balancer.EndpointEstimate{{Name: 1, MeasuredAt: savedAt - 5}}})
			sidecartest.Await(t, "the file", func() bool { return estimates.Load(1) != nil })
			clock.Step(0)
			const laterNow = savedAt + 77_000_000 // time on the clock of the next process, in microseconds
			got := estimates.Load(laterNow)
			if got == nil {
				t.Fatal("got no estimates, want those that were saved just now")
			}
			if at := got.Endpoints[0].MeasuredAt; at > laterNow-5 || at < laterNow-5-sidecartest.WaitTimeout.Microseconds() {
				t.Errorf("got measurement time %d µs, want at most %d µs and at most %v earlier",
					at, laterNow-5, sidecartest.WaitTimeout)
			}
		})
	}
}
