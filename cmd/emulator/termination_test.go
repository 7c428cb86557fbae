package main

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"oakproxy/internal/emulator/result"
)

// A run that exceeds a limit ends early, names the limit, and records the results measured by then.
func TestExceededLimitsEndTheRun(t *testing.T) {
	for name, test := range map[string]struct{ old, replacement, want string }{
		"memory":   {"memory_mb = 2048", "memory_mb = 64", "limits.memory_mb"},
		"duration": {`duration = "120s"`, `duration = "1s"`, "limits.duration"},
	} {
		t.Run(name, func(t *testing.T) {
			out := filepath.Join(t.TempDir(), "runs.jsonl")
			e := newRun(t, "steady", "--file", changedFile(t, test.old, test.replacement), "--out", out)
			checkExitCode(t, e.Run(), exitFailure)
			if stderr := e.stderr.String(); !strings.Contains(stderr, test.want) {
				t.Errorf("got stderr %q, want %q in it", stderr, test.want)
			}
			e.checkNothingRemains(t)
			runs, err := result.Read(out)
			if err != nil || len(runs) != 1 || !strings.Contains(runs[0].Stopped, test.want) || runs[0].Usable() {
				t.Errorf("read %d runs, error %v, want one run that is unusable and names the limit", len(runs), err)
			}
		})
	}
}

func TestSignalEndsTheRunAndItsChildren(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			e := startRun(t)
			if err := e.Process.Signal(signal); err != nil {
				t.Fatal(err)
			}
			checkExitCode(t, e.Wait(), exitFailure)
			if stderr := e.stderr.String(); !strings.Contains(stderr, errInterrupted.Error()) {
				t.Errorf("got stderr %q, want %q in it", stderr, errInterrupted)
			}
			e.checkNothingRemains(t)
		})
	}
}

func TestKilledEmulatorLeavesNoProcessOrFile(t *testing.T) {
	e := startRun(t)
	if err := e.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	await(t, "the end of all child processes", func() bool { return e.processes() == 0 })
	_ = e.Wait()
	e.checkNothingRemains(t)
}
