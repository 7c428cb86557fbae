package requestids

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// testUptime is an uptime that a test sets.
type testUptime struct{ seconds atomic.Int64 }

func (u *testUptime) now() time.Duration { return time.Duration(u.seconds.Load()) * time.Second }

// least is the size of the registry of a sidecar with the least memory, a thirty-second of 32 MB.
const least = 1 << 20

// Guards against an id that is forgotten in a flood of new ones: all strict claims of Retention are remembered, or the
// registry says that it is full. The memory is fixed.
func TestFloodForgetsNoStrictClaim(t *testing.T) {
	var uptime testUptime
	uptime.seconds.Store(1000)
	for _, rate := range []int{1000, 4000, 40_000} { // claims in a second
		r := New(least, uptime.now)
		claimed := map[string]int64{}
		full := 0
		for second := range int64(30) {
			uptime.seconds.Add(1)
			for i := range rate {
				strict, loose := fmt.Sprintf("strict-%d-%d", second, i), fmt.Sprintf("loose-%d-%d", second, i)
				switch r.Claim(strict, true) {
				case Claimed:
					claimed[strict] = uptime.seconds.Load()
				case Full:
					full++
				default:
					t.Fatalf("got %s as a duplicate", strict)
				}
				if got := r.Claim(loose, false); got != Claimed {
					t.Fatalf("got result %d of a claim that is not strict, want %d", got, Claimed)
				}
			}
		}
		forgotten := 0
		for id, at := range claimed {
			if uptime.seconds.Load()-at <= int64(Retention/time.Second) && r.Claim(id, true) != Duplicate {
				forgotten++
			}
		}
		if forgotten > 0 {
			t.Errorf("%d claims a second: %d of %d are forgotten within %v", rate, forgotten, len(claimed), Retention)
		}
		t.Logf("%d claims a second: %d of %d not remembered, with an error", rate, full, 30*rate)
		if rate <= 1000 && full > 0 {
			t.Errorf("%d claims a second: %d are not remembered, want all", rate, full)
		}
		if len(r.slots)*slotBytes != least {
			t.Errorf("got %d bytes, want %d", len(r.slots)*slotBytes, least)
		}
	}
}

// A claim that was released may be made again, and no other claim is affected.
func TestReleaseWithdrawsOneClaim(t *testing.T) {
	var uptime testUptime
	r := New(0, uptime.now)
	for _, id := range []string{"1", "2"} {
		if got := r.Claim(id, true); got != Claimed {
			t.Fatalf("id %s: got result %d, want %d", id, got, Claimed)
		}
	}
	r.Release("1")
	r.Release("unknown")
	if got := r.Claim("2", true); got != Duplicate {
		t.Errorf("the other id: got result %d, want %d", got, Duplicate)
	}
	if got := r.Claim("1", true); got != Claimed {
		t.Errorf("the released id: got result %d, want %d", got, Claimed)
	}
}

// Guards against an id that two processes of a sidecar execute: of all that claim it at the same time, through mappings of
// their own, one succeeds. A process that starts later knows the claims of those that have ended.
func TestOnlyOneProcessClaimsAnID(t *testing.T) {
	var uptime testUptime
	const processes, ids = 4, 5000
	dir := t.TempDir()
	var registries []*Registry
	for range processes {
		r, err := OpenShared(dir, least, uptime.now)
		if err != nil {
			t.Fatal(err)
		}
		registries = append(registries, r)
	}
	claims := make([]atomic.Int32, ids)
	var done sync.WaitGroup
	for _, r := range registries {
		done.Add(1)
		go func() {
			defer done.Done()
			for i := range ids {
				if r.Claim(fmt.Sprint(i), i%2 == 0) == Claimed {
					claims[i].Add(1)
				}
			}
		}()
	}
	done.Wait()
	for i := range claims {
		if n := claims[i].Load(); n != 1 {
			t.Errorf("id %d: got %d claims, want 1", i, n)
		}
	}
	later, err := OpenShared(dir, 2*least, uptime.now)
	if err != nil {
		t.Fatal(err)
	}
	if got := later.Claim("0", true); got != Duplicate {
		t.Errorf("a process that starts later: got result %d, want %d", got, Duplicate)
	}
}

// A file of another size than a registry's is an error, and is not changed.
func TestOpenSharedRejectsOtherFiles(t *testing.T) {
	var uptime testUptime
	dir := t.TempDir()
	if _, err := OpenShared(filepath.Join(dir, "missing"), least, uptime.now); err == nil {
		t.Error("a directory that does not exist: got no error")
	}
	path := filepath.Join(dir, fileName)
	if err := os.WriteFile(path, []byte("other"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenShared(dir, least, uptime.now); err == nil {
		t.Error("another file: got no error")
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "other" {
		t.Errorf("got %q, error %v, want the file as it was", text, err)
	}
}
