package upstream

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// maxReportFigure bounds a figure in a load report: a larger one is an error.
const maxReportFigure = 1e6

// LoadReport reads name=value pairs into the order of the settings. A figure
// that is missing, repeated, malformed or beyond all sense is not a number,
// which the balancer skips: it keeps what it knew.
func (u *Client) LoadReport(text string) ([]float32, *ReportFormat) {
	report := u.Report.Load()
	if text == "" || len(report.fields) == 0 {
		return nil, report
	}
	load, seen := make([]float32, len(report.fields)), make([]bool, len(report.fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		i := slices.Index(report.fields, name)
		if i < 0 {
			continue
		}
		v, err := strconv.ParseFloat(value, 32)
		if seen[i] || err != nil || !(v >= 0 && v <= maxReportFigure) {
			v = math.NaN()
		}
		load[i], seen[i] = float32(v), true
	}
	return load, report
}
