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
		t.Errorf("before %+v, after %+v, %v", before, after, err)
	}
}

// Stop ends children that exit at the end of their input, on SIGTERM, or on SIGKILL only.
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
		t.Errorf("%d children with %d kB, want 3 with memory", n, g.ResidentKB())
	}
	g.Stop(grace)
	for _, child := range children {
		if err := syscall.Kill(child.PID(), 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("%s has not ended: %v", child.Name, err)
		}
	}
	if err := children[0].Err(); err != nil {
		t.Errorf("the piped child ended with %v", err)
	}
	if _, err := g.Start(programs[0]); !errors.Is(err, ErrStopped) {
		t.Errorf("start after Stop: got %v, want ErrStopped", err)
	}
}

func TestStartOfAMissingProgramFails(t *testing.T) {
	g := NewGroup()
	defer g.Stop(grace)
	if _, err := g.Start(Program{Name: "none", Path: "/nonesuch"}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want %v", err, os.ErrNotExist)
	}
}
