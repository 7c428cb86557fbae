package main

import (
	"errors"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"oakproxy/internal/emulator/result"
)

// A run that goes over a limit ends by itself, says which, and keeps what it measured.
func TestExceededLimitsEndTheRun(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"memory":   {"memory_mb = 2048", "memory_mb = 64", "limits.memory_mb"},
		"duration": {`duration = "120s"`, `duration = "1s"`, "limits.duration"},
	} {
		t.Run(name, func(t *testing.T) {
			out := filepath.Join(t.TempDir(), "runs.jsonl")
			e := newRun(t, "steady", "--file", changedFile(t, c.old, c.new), "--out", out)
			var exit *exec.ExitError
			if err := e.Run(); !errors.As(err, &exit) || exit.ExitCode() != exitFailure {
				t.Errorf("%v, want exit code %d", err, exitFailure)
			}
			if said := e.stderr.String(); !strings.Contains(said, c.want) {
				t.Errorf("said %q, want %q", said, c.want)
			}
			e.checkNothingRemains(t)
			runs, err := result.Read(out)
			if err != nil || len(runs) != 1 || !strings.Contains(runs[0].Stopped, c.want) || runs[0].Usable() {
				t.Errorf("recorded %d runs, %v", len(runs), err)
			}
		})
	}
}

func TestSignalEndsTheRunAndItsChildren(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		e := startRun(t)
		if err := e.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
		var exit *exec.ExitError
		if err := e.Wait(); !errors.As(err, &exit) || exit.ExitCode() != exitFailure {
			t.Errorf("%s: %v", signal, err)
		}
		if !strings.Contains(e.stderr.String(), errInterrupted.Error()) {
			t.Errorf("%s: said %q", signal, e.stderr.String())
		}
		e.checkNothingRemains(t)
	}
}

func TestKilledEmulatorLeavesNoProcessOrFile(t *testing.T) {
	e := startRun(t)
	if err := e.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	await(t, "the children's end", func() bool { return e.processes() == 0 })
	_ = e.Wait()
	e.checkNothingRemains(t)
}
