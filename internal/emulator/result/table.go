package result

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// WriteTable writes the metrics of runs as a Markdown table. Each row shows one metric: its mean over the plays of
// each size, and its fit over all sizes. The table omits runs that are not usable.
func WriteTable(out io.Writer, runs []*Run) error {
	if len(runs) == 0 {
		_, err := fmt.Fprintln(out, "No runs.")
		return err
	}
	var text strings.Builder
	writeHeader(&text, runs)
	sizes := sizesOf(runs)
	writeColumns(&text, sizes)
	for _, series := range AllSeries(runs) {
		writeRow(&text, series, sizes)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// writeHeader writes the scenario, the commits, the machine and the number of omitted runs.
func writeHeader(text *strings.Builder, runs []*Run) {
	first := runs[0]
	omitted := 0
	var commits []string
	for _, run := range runs {
		if !run.Usable() {
			omitted++
		}
		if !slices.Contains(commits, run.Commit) {
			commits = append(commits, run.Commit)
		}
	}
	fmt.Fprintf(text, "Scenario `%s`: %d runs at commit %s on %d cores, %d MB, kernel %s, %s, seed %d.\n", first.Scenario,
		len(runs), strings.Join(commits, ", "), first.Machine.Cores, first.Machine.MemoryMB, first.Machine.Kernel,
		first.Machine.Go, first.Seed)
	fmt.Fprintf(text, "Left out, as the machine was the limit or the run was ended early: %d.\n\n", omitted)
}

// sizesOf returns the distinct numbers of sidecars of the usable runs, in ascending order.
func sizesOf(runs []*Run) []int {
	var sizes []int
	for _, run := range runs {
		if run.Usable() {
			sizes = append(sizes, run.Size.Sidecars)
		}
	}
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// writeColumns writes the column titles of the table.
func writeColumns(text *strings.Builder, sizes []int) {
	text.WriteString("| metric | unit |")
	for _, size := range sizes {
		fmt.Fprintf(text, " %d |", size)
	}
	text.WriteString(" at 0 | for each sidecar | R² | largest residual | spread of plays |\n| --- | --- |")
	text.WriteString(strings.Repeat(" ---: |", len(sizes)+5))
	text.WriteString("\n")
}

// writeRow writes the row of one metric.
func writeRow(text *strings.Builder, series Series, sizes []int) {
	fmt.Fprintf(text, "| %s | %s |", series.Name, series.Unit)
	bySize := valuesBySize(series.Points)
	for _, size := range sizes {
		fmt.Fprintf(text, " %s |", mean(bySize[size]))
	}
	if f := series.Fit; f != nil {
		fmt.Fprintf(text, " %s | %s | %s | %s | %s |\n",
			formatNumber(f.Intercept), formatNumber(f.Slope), formatNumber(f.RSquared),
			formatNumber(f.MaxResidual), formatNumber(f.PlayRange))
		return
	}
	text.WriteString(" too few | | | | |\n")
}

// mean returns the mean of the values, formatted. It returns an empty string if there are no values.
func mean(values []float64) string {
	if len(values) == 0 {
		return ""
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return formatNumber(sum / float64(len(values)))
}

// formatNumber formats a number with at least three significant digits. NaN is formatted as a hyphen.
func formatNumber(v float64) string {
	switch magnitude := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case magnitude >= 100 || v == 0:
		return fmt.Sprintf("%.0f", v)
	case magnitude >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
