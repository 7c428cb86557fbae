package upstream

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// maxReportFigure bounds a figure in a load report: a larger one counts as malformed.
const maxReportFigure = 1e6

// ReportFormat names the figures of a load report, in the order of config.Config.ReportFields. Reports in the same
// format have the same pointer.
type ReportFormat struct{ fields []string }

// ParseLoadReport parses a load report, a list name=value,name=value, into the order of the format in force, which it
// returns too. A figure that is missing, repeated, malformed or out of range is NaN, which the balancer skips in favour
// of what it knew. The load of an empty report is nil.
func (u *Client) ParseLoadReport(text string) ([]float32, *ReportFormat) {
	format := u.Format.Load()
	if text == "" || len(format.fields) == 0 {
		return nil, format
	}
	load, seen := make([]float32, len(format.fields)), make([]bool, len(format.fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		i := slices.Index(format.fields, name)
		if i < 0 {
			continue
		}
		figure, err := strconv.ParseFloat(value, 32)
		if seen[i] || err != nil || !(figure >= 0 && figure <= maxReportFigure) {
			figure = math.NaN()
		}
		load[i], seen[i] = float32(figure), true
	}
	return load, format
}
