package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"oakproxy/internal/emulator/result"
)

// TestMain runs the program instead of the tests if runVariable is set in the environment.
func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// sidecarPath builds the sidecar program once for all tests, and returns its path.
var sidecarPath = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "emulator-test-*")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, sidecarProgram)
	output, err := exec.Command("go", "build", "-o", path, "oakproxy/cmd/sidecar").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
})

// emulator is one process of the program, with a directory of its own for temporary files.
type emulator struct {
	*exec.Cmd
	scratch        string
	stdout, stderr bytes.Buffer
}

// newEmulator returns a process of the program that has not been started yet.
func newEmulator(t *testing.T, arguments ...string) *emulator {
	t.Helper()
	e := &emulator{Cmd: exec.Command(os.Args[0], arguments...), scratch: t.TempDir()}
	e.Env = append(os.Environ(), runVariable+"=1", "TMPDIR="+e.scratch)
	e.Stdout, e.Stderr = &e.stdout, &e.stderr
	return e
}

// newRun returns a process, not started yet, that plays a scenario at a small size.
func newRun(t *testing.T, scenario string, extraArguments ...string) *emulator {
	t.Helper()
	sidecar, err := sidecarPath()
	if err != nil {
		t.Fatal(err)
	}
	arguments := []string{"run", "--file", smallScenarioFile, "--scenario", scenario, "--sidecar", sidecar,
		"--sidecars", "14", "--endpoints", "12", "--real", "2"}
	return newEmulator(t, append(arguments, extraArguments...)...)
}

// processes returns the number of processes that belong to this emulator, itself included. All of these processes have
// the emulator's temporary directory in their environment.
func (e *emulator) processes() int {
	count := 0
	paths, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err == nil && bytes.Contains(text, []byte("TMPDIR="+e.scratch+"\x00")) {
			count++
		}
	}
	return count
}

// checkExitCode checks the exit code of a program. The parameter err is the error that running the program returned.
func checkExitCode(t *testing.T, err error, want int) {
	t.Helper()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != want {
		t.Errorf("got %v, want exit code %d", err, want)
	}
}

// checkNothingRemains checks that no process and no temporary file of the emulator remain.
func (e *emulator) checkNothingRemains(t *testing.T) {
	t.Helper()
	if n := e.processes(); n > 0 {
		t.Errorf("%d processes remain, want none", n)
	}
	files, err := os.ReadDir(e.scratch)
	if err != nil || len(files) > 0 {
		t.Errorf("temporary files %v remain, error %v, want none", files, err)
	}
}

// await waits until a condition is met. It fails the test after awaitTimeout.
func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", description)
		}
	}
}

// playOnce plays a scenario to its end and returns the results.
func playOnce(t *testing.T, scenario string) *result.Run {
	t.Helper()
	path := filepath.Join(t.TempDir(), "runs.jsonl")
	e := newRun(t, scenario, "--out", path)
	if err := e.Run(); err != nil {
		t.Fatalf("got error %v, stderr %q, want success", err, e.stderr.String())
	}
	e.checkNothingRemains(t)
	if !strings.Contains(e.stdout.String(), "phase "+loadedPhase) {
		t.Errorf("the loaded phase is missing in the summary %q", e.stdout.String())
	}
	runs, err := result.Read(path)
	if err != nil || len(runs) != 1 {
		t.Fatalf("read %d runs, error %v, want 1 run", len(runs), err)
	}
	return runs[0]
}

// checkPhase checks the properties that every phase has, even on a busy machine.
func checkPhase(t *testing.T, phase *result.Phase) {
	t.Helper()
	if phase.Proxied != nil && phase.Proxied.Counts.Served == 0 {
		t.Errorf("phase %s: no request was served, counts %+v", phase.Name, phase.Proxied.Counts)
	}
	if phase.Proxied == nil && phase.Name != "rest" {
		t.Errorf("phase %s: no requests were sent", phase.Name)
	}
	if phase.Endpoints.Duplicates > phase.Endpoints.Requests/2 {
		t.Errorf("phase %s: %d of %d requests are duplicates, want at most half",
			phase.Name, phase.Endpoints.Duplicates, phase.Endpoints.Requests)
	}
	for _, role := range []result.Role{result.RealSidecar, result.SimulatedSidecar, result.Endpoint, result.Discovery} {
		usage := phase.Usage(role)
		if usage == nil || usage.Processes == 0 || usage.ResidentMB <= 0 || usage.Descriptors <= 0 {
			t.Errorf("phase %s: usage of role %s is missing or incomplete: %+v", phase.Name, role, usage)
		}
	}
	for _, distribution := range phase.Distributions {
		if distribution.Total == 0 || distribution.Missing > 0 {
			t.Errorf("phase %s: got distribution %+v, want some times and none missing", phase.Name, distribution)
		}
	}
}

// changedFile writes a copy of the small scenario file in which the first occurrence of old is replaced. It returns the
// copy's path.
func changedFile(t *testing.T, old, replacement string) string {
	t.Helper()
	text, err := os.ReadFile(smallScenarioFile)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), old) {
		t.Fatalf("%q does not occur in %s", old, smallScenarioFile)
	}
	path := filepath.Join(t.TempDir(), "changed.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startRun starts a run of the steady scenario and waits until its real sidecars and workers run.
func startRun(t *testing.T) *emulator {
	t.Helper()
	e := newRun(t, "steady")
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Process.Kill() })
	// The children are 2 real sidecars, 3 workers with endpoints, 3 workers with simulated sidecars, and the discovery
	// server. The load generator may not run yet.
	const children = 2 + 3 + 3 + 1
	await(t, "all child processes", func() bool { return e.processes() > children })
	return e
}
