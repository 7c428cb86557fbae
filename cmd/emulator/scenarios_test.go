package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"oakproxy/internal/emulator/result"
)

// Each scenario runs to completion: its sidecars forward requests, and all reach the expected states.
func TestScenariosRunToCompletion(t *testing.T) {
	for scenario, phases := range map[string][]string{
		"steady":  {"rest", loadedPhase},
		"replace": {loadedPhase, "replace"},
		"zone":    {loadedPhase, "gone", "back"},
	} {
		t.Run(scenario, func(t *testing.T) {
			run := playOnce(t, scenario)
			if len(run.Phases) != len(phases) {
				t.Fatalf("got %d phases, want %v", len(run.Phases), phases)
			}
			for i, phase := range run.Phases {
				if phase.Name != phases[i] {
					t.Errorf("phase %d is %s, want %s", i, phase.Name, phases[i])
				}
				checkPhase(t, &phase)
			}
			if simulated := run.End.Simulated; simulated.Running != 12 || simulated.Failed != 0 {
				t.Errorf("counts at the end: %+v, want 12 running and none failed", simulated)
			}
			if ready := run.Startup.SimulatedReady; ready.Total != 12 || ready.Missing != 0 {
				t.Errorf("startup: %+v, want 12 ready and none missing", ready)
			}
		})
	}
}

// Each change replaces all files, and the sidecars that apply it are counted.
func TestChangesAreRolledOutAndApplied(t *testing.T) {
	run := playOnce(t, "changes")
	if len(run.Phases) != 3 {
		t.Fatalf("got %d phases, want 3", len(run.Phases))
	}
	changes, burst := run.Phases[1], run.Phases[2]
	if changes.Events != 2 || burst.Events != 3 || changes.ConfigBytes == 0 {
		t.Errorf("got %d changes, a burst of %d, %d bytes, want 2, 3 and some bytes",
			changes.Events, burst.Events, changes.ConfigBytes)
	}
	for _, phase := range run.Phases {
		checkPhase(t, &phase)
	}
}

// A sweep plays each size as often as --plays says, and report reproduces its table.
func TestReportReproducesTheTableOfASweep(t *testing.T) {
	sidecar, err := sidecarPath()
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	pathOf := func(name string) string { return filepath.Join(directory, name) }
	e := newEmulator(t, "sweep", "--file", smallScenarioFile, "--sidecar", sidecar, "--sizes", "3,5",
		"--plays", "2", "--real", "1",
		"--out", pathOf("runs.jsonl"), "--table", pathOf("table.md"), "--plot", pathOf("plot.svg"))
	if err := e.Run(); err != nil {
		t.Fatalf("%v: %s", err, e.stderr.String())
	}
	e.checkNothingRemains(t)
	runs, err := result.Read(pathOf("runs.jsonl"))
	if err != nil || len(runs) != 4 || runs[0].Size.Sidecars != 3 || runs[3].Size.Sidecars != 5 || runs[3].Play != 2 {
		t.Fatalf("read %d runs, %v, want plays 1 and 2 of 3 and 5 sidecars", len(runs), err)
	}
	table, err := os.ReadFile(pathOf("table.md"))
	if err != nil || !bytes.Contains(table, []byte("| rest: hollow sidecar, processor time |")) && runs[0].Usable() {
		t.Errorf("unexpected table %s, %v", table, err)
	}
	report := newEmulator(t, "report", pathOf("runs.jsonl"))
	if err := report.Run(); err != nil || !bytes.Equal(report.stdout.Bytes(), table) {
		t.Errorf("report printed another table: %v, %s", err, report.stdout.String())
	}
}
