package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"oakproxy/internal/emulator/result"
)

// Each scenario runs to completion. It has the expected phases, requests are served in them, and all simulated sidecars
// become ready and run at the end.
func TestScenariosRunToCompletion(t *testing.T) {
	for scenario, phases := range map[string][]string{
		"steady":  {"rest", loadedPhase},
		"replace": {loadedPhase, "replace"},
		"zone":    {loadedPhase, "gone", "back"},
	} {
		t.Run(scenario, func(t *testing.T) {
			run := playOnce(t, scenario)
			if len(run.Phases) != len(phases) {
				t.Fatalf("got %d phases, want the %d phases %v", len(run.Phases), len(phases), phases)
			}
			for i, phase := range run.Phases {
				if phase.Name != phases[i] {
					t.Errorf("phase %d is %s, want %s", i, phase.Name, phases[i])
				}
				checkPhase(t, &phase)
			}
			if simulated := run.End.Simulated; simulated.Running != 12 || simulated.Failed != 0 {
				t.Errorf("got counts %+v at the end, want 12 running and none failed", simulated)
			}
			if ready := run.Startup.SimulatedReady; ready.Total != 12 || ready.Missing != 0 {
				t.Errorf("got startup times %+v, want 12 ready and none missing", ready)
			}
		})
	}
}

// Each change replaces all configuration files, and the results count the sidecars that apply it.
func TestChangesAreRolledOutAndApplied(t *testing.T) {
	run := playOnce(t, "changes")
	if len(run.Phases) != 3 {
		t.Fatalf("got %d phases, want 3", len(run.Phases))
	}
	changes, burst := run.Phases[1], run.Phases[2]
	if changes.Events != 2 || burst.Events != 3 || changes.ConfigBytes == 0 {
		t.Errorf("got %d changes, a burst of %d and %d bytes of configuration, want 2, 3 and more than 0 bytes",
			changes.Events, burst.Events, changes.ConfigBytes)
	}
	for _, phase := range run.Phases {
		checkPhase(t, &phase)
	}
}

// A sweep plays each size as many times as --plays says, and the report command writes the same table from the results.
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
		t.Fatalf("got error %v, stderr %q, want success", err, e.stderr.String())
	}
	e.checkNothingRemains(t)
	runs, err := result.Read(pathOf("runs.jsonl"))
	if err != nil || len(runs) != 4 || runs[0].Size.Sidecars != 3 || runs[3].Size.Sidecars != 5 || runs[3].Play != 2 {
		t.Fatalf("read %d runs, error %v, want plays 1 and 2 of 3 and 5 sidecars", len(runs), err)
	}
	table, err := os.ReadFile(pathOf("table.md"))
	if err != nil || !bytes.Contains(table, []byte("| rest: hollow sidecar, processor time |")) && runs[0].Usable() {
		t.Errorf("got the table\n%s\nerror %v, want a row for the processor time of simulated sidecars", table, err)
	}
	report := newEmulator(t, "report", pathOf("runs.jsonl"))
	if err := report.Run(); err != nil || !bytes.Equal(report.stdout.Bytes(), table) {
		t.Errorf("report printed\n%s\nerror %v, want the table of the sweep\n%s", report.stdout.String(), err, table)
	}
}
