package operatorstate

import (
	"context"
	"log/slog"
	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/sidecartest"
	"oakproxy/internal/system"
	"oakproxy/internal/warmstart"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// newStore returns a store on a disk, and what it made hold last.
func newStore(dir string, files system.FileOps, times system.Clock) (s *Store, held func() State) {
	var mu sync.Mutex
	var last State
	s = &Store{Directory: dir, Sidecar: "n0", Log: slog.New(slog.DiscardHandler), Files: files, Time: times.OrSystem(),
		Retention: func() time.Duration { return time.Minute }, Apply: func(st State) {
			mu.Lock()
			defer mu.Unlock()
			last = st
		}}
	return s, func() State {
		mu.Lock()
		defer mu.Unlock()
		return last
	}
}

func isOut(st State, name string) bool {
	for _, m := range st.Hosts {
		if m.Name == name {
			return m.Cordoned
		}
	}
	return false
}

func (s *Store) mark(name string, out bool) error {
	return s.Update(func(st *State) { st.SetCordon(name, out, s.Time.Now()) })
}

// While the disk fails, a call is a no, and nothing that was taken on before is lost; once it is well, the next call
// is a yes, and both processes hold all that was ever said yes to.
func TestStateOverDiskFaults(t *testing.T) {
	for operation, errs := range map[string][]error{
		"write": {syscall.ENOSPC, syscall.EIO}, "sync": {syscall.ENOSPC, syscall.EIO},
		"rename": {syscall.ENOSPC, syscall.EIO}, "read": {syscall.EIO, syscall.ENFILE},
	} {
		for _, err := range errs {
			t.Run(operation+" "+err.Error(), func(t *testing.T) {
				dir, disk := t.TempDir(), &sidecartest.FaultyDisk{}
				s, held := newStore(dir, disk.FileOps(), system.Clock{})
				other, otherHeld := newStore(dir, system.FileOps{}, system.Clock{})
				if err := s.mark("a", true); err != nil {
					t.Fatal(err)
				}
				if err := other.mark("b", true); err != nil { // not seen here yet
					t.Fatal(err)
				}
				disk.Fail(operation, err)
				if err := s.mark("c", true); err == nil {
					t.Error("a call is a yes while the disk fails")
				}
				s.Refresh()
				other.Refresh()
				if !isOut(held(), "a") || isOut(held(), "c") || isOut(otherHeld(), "c") {
					t.Errorf("during the fault %+v and %+v hold", held(), otherHeld())
				}
				disk.Mend()
				s.Refresh()
				if !isOut(held(), "b") {
					t.Errorf("what the other process was told is not taken up: %+v", held())
				}
				if err := s.mark("d", true); err != nil {
					t.Fatal(err)
				}
				other.Refresh()
				for _, name := range []string{"a", "b", "d"} {
					if !isOut(held(), name) || !isOut(otherHeld(), name) {
						t.Errorf("%s: %+v and %+v hold", name, held(), otherHeld())
					}
				}
				left, _ := filepath.Glob(filepath.Join(dir, "*.new*"))
				if len(left) > 0 {
					t.Errorf("left behind: %v", left)
				}
			})
		}
	}
}

// A start that can't read its folder waits for it; a fault that lasts longer is followed up, and what the process
// before was told holds as soon as it can be read.
func TestStartWithAFaultyDisk(t *testing.T) {
	dir, disk := t.TempDir(), &sidecartest.FaultyDisk{}
	before, _ := newStore(dir, system.FileOps{}, system.Clock{})
	if err := before.mark("a", true); err != nil {
		t.Fatal(err)
	}
	disk.Fail("read", syscall.EIO)
	waits, _ := newStore(dir, disk.FileOps(), system.Clock{})
	time.AfterFunc(3*system.StartRetryDelay, disk.Mend)
	if st := waits.Load(t.Context()); !isOut(st, "a") {
		t.Errorf("a start that waited holds %+v", st)
	}
	disk.Fail("read", syscall.EIO)
	ended, end := context.WithCancel(t.Context())
	end()
	s, held := newStore(dir, disk.FileOps(), system.Clock{})
	s.Load(ended)
	s.Refresh()
	disk.Mend()
	if s.Refresh(); !isOut(held(), "a") {
		t.Errorf("once the disk is well, %+v holds", held())
	}
}

// What a process that was killed in the middle of a write left behind costs nothing.
func TestHalfAWriteIsIgnored(t *testing.T) {
	dir := t.TempDir()
	before, _ := newStore(dir, system.FileOps{}, system.Clock{})
	if err := before.mark("a", true); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{before.path() + ".new", filepath.Join(dir, warmstart.FileName) + ".77"} {
		if err := os.WriteFile(path, []byte(`{"version":1,"sidec`), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, held := newStore(dir, system.FileOps{}, system.Clock{})
	if st := s.Load(t.Context()); !isOut(st, "a") {
		t.Errorf("%+v holds", st)
	}
	if err := s.mark("b", true); err != nil || !isOut(held(), "a") || !isOut(held(), "b") {
		t.Errorf("%v; %+v holds", err, held())
	}
	warmstart.NewStore(t.Context(), "n0", config.Host{Directory: dir}, slog.New(slog.DiscardHandler))
	if left, _ := filepath.Glob(filepath.Join(dir, "*.[n7]*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// The time since an endpoint was put back is real time, in this process and in others, whatever the wall clock says.
func TestSpansOverStepsOfTheWallClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			dir, times := t.TempDir(), &sidecartest.SteppedClock{}
			s, held := newStore(dir, system.FileOps{}, times.Clock())
			for _, out := range []bool{true, false} {
				if err := s.mark("a", out); err != nil {
					t.Fatal(err)
				}
			}
			times.Step(step)
			if err := s.mark("b", true); err != nil {
				t.Fatal(err)
			}
			if hosts := held().Hosts; len(hosts) != 2 {
				t.Fatalf("%+v holds: what was put back just now is forgotten", hosts)
			}
			later, _ := newStore(dir, system.FileOps{}, times.Clock())
			back := later.Load(t.Context()).Hosts[0]
			if age, known := later.Time.Age(back.Since()); !known || age < -time.Millisecond || age > sidecartest.Patience {
				t.Errorf("put back %v ago, known %v", age, known)
			}

			host := config.Host{Directory: dir, Time: times.Clock()}
			m := warmstart.NewStore(t.Context(), "n0", host, slog.New(slog.DiscardHandler))
			const clock = 1_000_000_000
			m.Save(clock, balancer.Estimates{ServiceTimeRatio: 1, Endpoints: []balancer.EndpointEstimate{{Name: 1, MeasuredAt: clock - 5}}})
			sidecartest.Await(t, "the file", func() bool { return m.Load(1) != nil })
			times.Step(0)
			const other = clock + 77_000_000 // the clock of the next process
			got := m.Load(other)
			if got == nil {
				t.Fatal("what was learned just now is taken for old")
			}
			if at := got.Endpoints[0].MeasuredAt; at > other-5 || at < other-5-sidecartest.Patience.Microseconds() {
				t.Errorf("learned at %d by a clock that shows %d", at, other)
			}
		})
	}
}
