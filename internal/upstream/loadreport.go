package upstream

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// maxReportValue is the largest valid value in a load report. A larger value is treated like a malformed one.
const maxReportValue = 1e6

// ReportFormat lists the fields of a load report in the order of config.Config.ReportFields. Formats are compared by
// pointer: two reports have the same format if ParseLoadReport returned the same *ReportFormat for both.
type ReportFormat struct{ fields []string }

// ParseLoadReport parses a load report, which is a list of the form name=value,name=value. It returns the current
// format, and the values in the order of that format. A value that is missing, repeated, malformed or out of range is
// NaN; the balancer ignores a NaN and keeps the value from an earlier report. If the report is empty or the format has
// no fields, the returned slice is nil.
func (u *Client) ParseLoadReport(text string) ([]float32, *ReportFormat) {
	format := u.CurrentFormat.Load()
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
		number, err := strconv.ParseFloat(value, 32)
		if seen[i] || err != nil || !(number >= 0 && number <= maxReportValue) {
			number = math.NaN()
		}
		load[i], seen[i] = float32(number), true
	}
	return load, format
}
