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
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/emulator/result"
)

const (
	runVariable = "EMULATOR_TEST_RUN" // makes the test binary the program
	smallFile   = "testdata/small.toml"
	patience    = 60 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// sidecarPath builds the sidecar's program, once for all tests.
var sidecarPath = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "emulator-test-*")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, sidecarProgram)
	out, err := exec.Command("go", "build", "-o", path, "oakproxy/cmd/sidecar").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// emulator is a run of the program with a directory of its own for temporary files.
type emulator struct {
	*exec.Cmd
	scratch        string
	output, errors bytes.Buffer
}

func newEmulator(t *testing.T, arguments ...string) *emulator {
	t.Helper()
	e := &emulator{Cmd: exec.Command(os.Args[0], arguments...), scratch: t.TempDir()}
	e.Env = append(os.Environ(), runVariable+"=1", "TMPDIR="+e.scratch)
	e.Stdout, e.Stderr = &e.output, &e.errors
	return e
}

// newRun is a run of a scenario at a small size.
func newRun(t *testing.T, scenario string, more ...string) *emulator {
	t.Helper()
	sidecar, err := sidecarPath()
	if err != nil {
		t.Fatal(err)
	}
	arguments := []string{"run", "--file", smallFile, "--scenario", scenario, "--sidecar", sidecar,
		"--sidecars", "14", "--endpoints", "12", "--real", "2"}
	return newEmulator(t, append(arguments, more...)...)
}

// processes counts the processes that have this run's directory in their environment.
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

// checkNothingLeft checks that no process and no file of the run remain.
func (e *emulator) checkNothingLeft(t *testing.T) {
	t.Helper()
	if n := e.processes(); n > 0 {
		t.Errorf("%d processes remain", n)
	}
	files, err := os.ReadDir(e.scratch)
	if err != nil || len(files) > 0 {
		t.Errorf("files remain: %v, %v", files, err)
	}
}

func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// playOnce plays a scenario to its end and returns what it measured.
func playOnce(t *testing.T, scenario string) *result.Run {
	t.Helper()
	path := filepath.Join(t.TempDir(), "runs.jsonl")
	e := newRun(t, scenario, "--out", path)
	if err := e.Run(); err != nil {
		t.Fatalf("%v: %s", err, e.errors.String())
	}
	e.checkNothingLeft(t)
	if !strings.Contains(e.output.String(), "phase "+loadedName) {
		t.Errorf("printed %q", e.output.String())
	}
	runs, err := result.Read(path)
	if err != nil || len(runs) != 1 {
		t.Fatalf("%d runs, %v", len(runs), err)
	}
	return runs[0]
}

const loadedName = "loaded"

// Each scenario is played to its end: its sidecars forward requests, and all reach the expected states.
func TestScenariosRunToTheirEnd(t *testing.T) {
	for scenario, phases := range map[string][]string{
		"steady":  {"rest", loadedName},
		"replace": {loadedName, "replace"},
		"zone":    {loadedName, "gone", "back"},
	} {
		t.Run(scenario, func(t *testing.T) {
			run := playOnce(t, scenario)
			if len(run.Phases) != len(phases) {
				t.Fatalf("%d phases, want %v", len(run.Phases), phases)
			}
			for i, phase := range run.Phases {
				if phase.Name != phases[i] {
					t.Errorf("phase %d is %s, want %s", i, phase.Name, phases[i])
				}
				checkPhase(t, &phase)
			}
			if simulated := run.End.Simulated; simulated.Running != 12 || simulated.Failed != 0 {
				t.Errorf("at the end: %+v", simulated)
			}
			if ready := run.Startup.SimulatedReady; ready.Total != 12 || ready.Missing != 0 {
				t.Errorf("at the start: %+v", ready)
			}
		})
	}
}

// checkPhase checks what also holds on a busy machine.
func checkPhase(t *testing.T, phase *result.Phase) {
	t.Helper()
	if phase.Proxied != nil && phase.Proxied.Counts.Served == 0 {
		t.Errorf("%s: no request was served: %+v", phase.Name, phase.Proxied.Counts)
	}
	if phase.Proxied == nil && phase.Name != "rest" {
		t.Errorf("%s: no requests", phase.Name)
	}
	if phase.Endpoints.Duplicates > phase.Endpoints.Requests/2 {
		t.Errorf("%s: %d of %d requests are duplicates", phase.Name, phase.Endpoints.Duplicates, phase.Endpoints.Requests)
	}
	for _, role := range []result.Role{result.RealSidecar, result.SimulatedSidecar, result.Endpoint, result.Discovery} {
		usage := phase.Usage(role)
		if usage == nil || usage.Processes == 0 || usage.ResidentMB <= 0 || usage.Descriptors <= 0 {
			t.Errorf("%s: %s spends %+v", phase.Name, role, usage)
		}
	}
	for _, spread := range phase.Distributions {
		if spread.Total == 0 || spread.Missing > 0 {
			t.Errorf("%s: %+v", phase.Name, spread)
		}
	}
}

// Each change replaces all files, and the sidecars that apply it are counted.
func TestChangesAreRolledOutAndApplied(t *testing.T) {
	run := playOnce(t, "changes")
	if len(run.Phases) != 3 {
		t.Fatalf("%d phases", len(run.Phases))
	}
	changes, burst := run.Phases[1], run.Phases[2]
	if changes.Events != 2 || burst.Events != 3 || changes.ConfigBytes == 0 {
		t.Errorf("%d changes, then %d at once, %d bytes", changes.Events, burst.Events, changes.ConfigBytes)
	}
	for _, phase := range run.Phases {
		checkPhase(t, &phase)
	}
}

// changedFile writes the small scenario file with one change.
func changedFile(t *testing.T, old, replacement string) string {
	t.Helper()
	text, err := os.ReadFile(smallFile)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), old) {
		t.Fatalf("%q is not in the file", old)
	}
	path := filepath.Join(t.TempDir(), "changed.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Bad input ends with one line that names it, exit code 2, and nothing started.
func TestBadInputEndsWithExitCode2(t *testing.T) {
	changed := func(old, replacement string) string { return changedFile(t, old, replacement) }
	for name, c := range map[string]struct {
		arguments []string
		want      string
	}{
		"unknown scenario":    {[]string{"--scenario", "nonesuch"}, "nonesuch"},
		"too many sidecars":   {[]string{"--sidecars", "100000"}, "100000"},
		"no endpoints":        {[]string{"--endpoints", "-1"}, "endpoints"},
		"more real than all":  {[]string{"--real", "15"}, "real"},
		"missing program":     {[]string{"--sidecar", "/nonesuch/sidecar"}, "/nonesuch/sidecar"},
		"missing file":        {[]string{"--file", "nonesuch.toml"}, "nonesuch.toml"},
		"unknown flag":        {[]string{"--nonesuch"}, "nonesuch"},
		"unknown key":         {[]string{"--file", changed("history =", "histories =")}, "histories"},
		"unknown kind":        {[]string{"--file", changed(`kind = "zone"`, `kind = "ozone"`)}, "ozone"},
		"out of range":        {[]string{"--file", changed("cell_size = 8", "cell_size = 0")}, "cell_size"},
		"not a duration":      {[]string{"--file", changed(`keep_alive = "60s"`, `keep_alive = "60"`)}, "60"},
		"too much memory":     {[]string{"--file", changed("memory_mb = 2048", "memory_mb = 24000")}, "memory_mb"},
		"not a scenario file": {[]string{"--file", "main_test.go"}, "main_test.go"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newRun(t, "steady", c.arguments...)
			err := e.Run()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() != exitBadInput {
				t.Errorf("%v, want exit code %d", err, exitBadInput)
			}
			said := e.errors.String()
			if strings.Count(said, "\n") != 1 || !strings.Contains(said, c.want) || e.output.Len() > 0 {
				t.Errorf("said %q and printed %q, want one line with %q", said, e.output.String(), c.want)
			}
			e.checkNothingLeft(t)
		})
	}
}

// A run that goes over a limit ends by itself, says which, and keeps what it measured.
func TestLimitsEndARun(t *testing.T) {
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
			if said := e.errors.String(); !strings.Contains(said, c.want) {
				t.Errorf("said %q, want %q", said, c.want)
			}
			e.checkNothingLeft(t)
			runs, err := result.Read(out)
			if err != nil || len(runs) != 1 || !strings.Contains(runs[0].Stopped, c.want) || runs[0].Usable() {
				t.Errorf("recorded %d runs, %v", len(runs), err)
			}
		})
	}
}

// A sweep plays each size as often as --plays says, and report reproduces its table.
func TestSweepRunsEachSizeAndReportReproducesItsTable(t *testing.T) {
	sidecar, err := sidecarPath()
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	at := func(name string) string { return filepath.Join(directory, name) }
	e := newEmulator(t, "sweep", "--file", smallFile, "--sidecar", sidecar, "--sizes", "3,5",
		"--plays", "2", "--real", "1",
		"--out", at("runs.jsonl"), "--table", at("table.md"), "--plot", at("plot.svg"))
	if err := e.Run(); err != nil {
		t.Fatalf("%v: %s", err, e.errors.String())
	}
	e.checkNothingLeft(t)
	runs, err := result.Read(at("runs.jsonl"))
	if err != nil || len(runs) != 4 || runs[0].Size.Sidecars != 3 || runs[3].Size.Sidecars != 5 || runs[3].Play != 2 {
		t.Fatalf("%d runs, %v", len(runs), err)
	}
	table, err := os.ReadFile(at("table.md"))
	if err != nil || !bytes.Contains(table, []byte("| rest: hollow sidecar, processor time |")) && runs[0].Usable() {
		t.Errorf("table %s, %v", table, err)
	}
	again := newEmulator(t, "report", at("runs.jsonl"))
	if err := again.Run(); err != nil || !bytes.Equal(again.output.Bytes(), table) {
		t.Errorf("report: %v, %s", err, again.output.String())
	}
}

// startRun starts a long run and waits until its sidecars run.
func startRun(t *testing.T) *emulator {
	t.Helper()
	e := newRun(t, "steady")
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Process.Kill() })
	const children = 2 + 3 + 3 + 1 // real sidecars, and workers for endpoints, simulated sidecars and discovery
	await(t, "the children", func() bool { return e.processes() > children })
	return e
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
		if !strings.Contains(e.errors.String(), errInterrupted.Error()) {
			t.Errorf("%s: said %q", signal, e.errors.String())
		}
		e.checkNothingLeft(t)
	}
}

func TestKilledEmulatorLeavesNoProcessOrFile(t *testing.T) {
	e := startRun(t)
	if err := e.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	await(t, "the children's end", func() bool { return e.processes() == 0 })
	_ = e.Wait()
	e.checkNothingLeft(t)
}

// The programs that are deployed hold no package of others, and nothing of the emulator.
func TestSidecarHasNoExternalPackages(t *testing.T) {
	list := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}",
		"oakproxy/cmd/sidecar", "oakproxy/cmd/simhost", "oakproxy/balancer")
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := strings.Fields(string(out))
	if len(packages) < 4 {
		t.Errorf("only %v", packages)
	}
	for _, path := range packages {
		if !strings.HasPrefix(path, "oakproxy/") || strings.HasPrefix(path, "oakproxy/internal/emulator") {
			t.Errorf("%s is in", path)
		}
	}
}
