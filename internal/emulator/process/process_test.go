package process

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"time"
)

const grace = 100 * time.Millisecond

func TestReadUsageOfThisProcess(t *testing.T) {
	before, err := ReadUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for usage := before; usage.CPU == before.CPU; {
		if usage, err = ReadUsage(os.Getpid()); err != nil {
			t.Fatal(err)
		}
	}
	after, err := ReadUsage(os.Getpid())
	if err != nil || after.Descriptors <= before.Descriptors || after.ResidentKB <= 0 ||
		after.PeakKB < after.ResidentKB/2 || after.ReadBytes <= before.ReadBytes {
		t.Errorf("got usage %+v, then %+v and error %v; want more descriptors and bytes read than before, "+
			"resident memory over 0, and a peak of at least half of it", before, after, err)
	}
}

// TestStopEndsAllChildren covers a child that exits at the end of its input, one that exits on SIGTERM and one that
// only SIGKILL ends.
func TestStopEndsAllChildren(t *testing.T) {
	g := NewGroup()
	programs := []Program{
		{Name: "piped", Path: "cat", Piped: true},
		{Name: "plain", Path: "sleep", Arguments: []string{"600"}},
		{Name: "stubborn", Path: "sh", Arguments: []string{"-c", "trap '' TERM; while :; do sleep 0.01; done"}},
	}
	var children []*Child
	for _, p := range programs {
		child, err := g.Start(p)
		if err != nil {
			t.Fatal(err)
		}
		children = append(children, child)
	}
	if n := len(g.Children()); n != 3 || g.ResidentKB() <= 0 {
		t.Errorf("got %d children with %d kB of resident memory, want 3 children and over 0 kB", n, g.ResidentKB())
	}
	g.Stop(grace)
	for _, child := range children {
		if err := syscall.Kill(child.PID(), 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("signal 0 to child %s after Stop: got error %v, want %v", child.Name, err, syscall.ESRCH)
		}
	}
	if err := children[0].Err(); err != nil {
		t.Errorf("exit of the piped child: got error %v, want none", err)
	}
	if _, err := g.Start(programs[0]); !errors.Is(err, ErrStopped) {
		t.Errorf("start after Stop: got error %v, want %v", err, ErrStopped)
	}
}

func TestStartOfAMissingProgramFails(t *testing.T) {
	g := NewGroup()
	defer g.Stop(grace)
	if _, err := g.Start(Program{Name: "none", Path: "/nonesuch"}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("start of a missing program: got error %v, want %v", err, os.ErrNotExist)
	}
}
