package result

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/emulator/spec"
)

const startupMetric = "start: time to the last sidecar's being ready"

// sweepRuns returns the runs of a sweep. The seconds function gives the startup time of each run.
func sweepRuns(sizes []int, plays int, seconds func(size, play int) float64) []*Run {
	var runs []*Run
	for play := 1; play <= plays; play++ {
		for _, size := range sizes {
			run := &Run{Scenario: "steady", Play: play, Size: spec.Size{Sidecars: size}}
			run.Startup.Seconds = seconds(size, play)
			runs = append(runs, run)
		}
	}
	return runs
}

// startupSeries returns the series of the startup time.
func startupSeries(t *testing.T, runs []*Run) Series {
	t.Helper()
	for _, s := range AllSeries(runs) {
		if s.Name == startupMetric {
			return s
		}
	}
	t.Fatalf("metric %q is missing", startupMetric)
	return Series{}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9*max(1, math.Abs(b)) }

func TestFitFindsTheLeastSquaresLine(t *testing.T) {
	sizes := []int{10, 20, 40, 80}
	// At each size, the first play is 1 below the line 3 + size/2 and the second play is 1 above it.
	seconds := func(size, play int) float64 { return 3 + 0.5*float64(size) + float64(2*play-3) }
	runs := sweepRuns(sizes, 2, seconds)
	f := startupSeries(t, runs).Fit
	if f == nil {
		t.Fatal("got no fit, want one for 4 sizes with 2 plays each")
	}
	if !almostEqual(f.Intercept, 3) || !almostEqual(f.Slope, 0.5) || !almostEqual(f.MaxResidual, 1) ||
		!almostEqual(f.RMSResidual, 1) || !almostEqual(f.PlayRange, 2) {
		t.Errorf("got %+v, want intercept 3, slope 0.5, largest and RMS residual 1, play range 2", f)
	}
	if len(f.Residuals) != 8 || f.RSquared < 0.99 || f.RSquared >= 1 {
		t.Errorf("got %+v, want 8 residuals and 0.99 <= R² < 1", f)
	}
}

func TestTooFewPointsHaveNoFit(t *testing.T) {
	line := func(size, _ int) float64 { return float64(size) }
	if startupSeries(t, sweepRuns([]int{10, 20, 40}, 2, line)).Fit != nil {
		t.Error("got a fit for 3 sizes with 2 plays each, want none")
	}
	if startupSeries(t, sweepRuns([]int{10, 20, 40, 80}, 1, line)).Fit != nil {
		t.Error("got a fit for 4 sizes with 1 play each, want none")
	}
	runs := sweepRuns([]int{10, 20, 40, 80}, 2, line)
	runs[0].Saturated, runs[1].Stopped = true, "interrupted"
	if s := startupSeries(t, runs); s.Fit != nil || len(s.Points) != 6 {
		t.Errorf("two of eight runs are unusable: got %+v, want 6 points and no fit", s)
	}
}

func TestDistributionHasQuantilesAndMissing(t *testing.T) {
	var times []time.Duration
	for i := 100; i > 0; i-- {
		times = append(times, time.Duration(i)*time.Millisecond)
	}
	want := Distribution{Name: "x", Total: 102, Missing: 2, MedianMS: 50, P99MS: 99, MaxMS: 100}
	if got := NewDistribution("x", 102, times); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := NewDistribution("none", 3, nil); got.Missing != 3 || got.MaxMS != 0 {
		t.Errorf("got %+v, want 3 missing and a maximum of 0", got)
	}
}

// The cost of a phase's events is the processor time of the phase minus the processor time of the loaded phase, scaled
// to the same duration.
func TestEventMetricsAreRelativeToTheLoadedPhase(t *testing.T) {
	usage := func(cpu float64) []RoleUsage {
		return []RoleUsage{{Role: SimulatedSidecar, Processes: 1, Units: 10, CPUSeconds: cpu}}
	}
	run := &Run{Phases: []Phase{
		{Name: loadedPhase, Seconds: 10, Roles: usage(1)},
		{Name: "changes", Seconds: 20, Events: 5, Roles: usage(3)},
	}}
	const name = "changes: hollow sidecar, processor time of an event"
	for _, m := range run.Metrics() {
		if m.Name == name {
			if m.Unit != "ms" || !almostEqual(m.Value, 20) { // (3 s - 1 s * 20/10) / 5 events / 10 sidecars
				t.Errorf("got %+v, want 20 ms", m)
			}
			return
		}
	}
	t.Errorf("metric %q is missing", name)
}

// storedSweep stores the runs of a sweep in a result file, and returns the file's path and the runs as read from it.
func storedSweep(t *testing.T) (path string, read []*Run) {
	t.Helper()
	runs := sweepRuns([]int{10, 20, 40, 80}, 2, func(size, _ int) float64 { return float64(size) })
	path = filepath.Join(t.TempDir(), "runs.jsonl")
	for _, run := range runs {
		if err := Append(path, run); err != nil {
			t.Fatal(err)
		}
	}
	read, err := Read(path)
	if err != nil || len(read) != len(runs) || read[3].Startup.Seconds != 80 {
		t.Fatalf("read %d runs, error %v, want %d runs and a startup time of 80 s in the fourth", len(read), err, len(runs))
	}
	return path, read
}

func TestStoredRunsAreReadAndMalformedFilesRejected(t *testing.T) {
	path, _ := storedSweep(t)
	if err := os.WriteFile(path, []byte("{\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil {
		t.Error("a malformed result file was read without an error")
	}
}

func TestStoredRunsAreTabulated(t *testing.T) {
	_, read := storedSweep(t)
	var table bytes.Buffer
	if err := WriteTable(&table, read); err != nil {
		t.Fatal(err)
	}
	const want = "| start: time to the last sidecar's being ready | s | 10.00 | 20.00 | 40.00 | 80.00 |"
	if !strings.Contains(table.String(), want) {
		t.Errorf("got the table\n%s\nwant the line %q in it", table.String(), want)
	}
}

func TestStoredRunsArePlotted(t *testing.T) {
	_, read := storedSweep(t)
	plot := filepath.Join(t.TempDir(), "plot.svg")
	if err := WritePlot(plot, read, []string{startupMetric}); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(plot); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("got the plot %q, error %v, want an SVG file", text, err)
	}
	if err := WritePlot(plot, read, []string{"nonesuch"}); err == nil {
		t.Error("plotting an unknown metric returned no error")
	}
}
