package result

import (
	"slices"
	"time"
)

// NewDistribution returns the distribution of the measured durations in times, with the given name. total is the
// number of durations that were expected; total - len(times) of them are recorded as missing.
func NewDistribution(name string, total int, times []time.Duration) Distribution {
	sorted := slices.Sorted(slices.Values(times))
	return Distribution{
		Name:     name,
		Total:    total,
		Missing:  total - len(sorted),
		MedianMS: Milliseconds(quantile(sorted, 0.5)),
		P99MS:    Milliseconds(quantile(sorted, 0.99)),
		MaxMS:    Milliseconds(quantile(sorted, 1)),
	}
}

// quantile returns the smallest of the sorted values that at least the given fraction (0 to 1) of the values do not
// exceed. It returns 0 if there are no values.
func quantile(sorted []time.Duration, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(fraction*float64(len(sorted)) + 0.9999)
	return sorted[min(len(sorted)-1, max(0, rank-1))]
}
