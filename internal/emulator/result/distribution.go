package result

import (
	"slices"
	"time"
)

// NewDistribution summarizes times. Those that are missing from the total count as such.
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

// quantile returns the least of the sorted values that at least this fraction of them does not exceed; 0 if there is
// none.
func quantile(sorted []time.Duration, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(fraction*float64(len(sorted)) + 0.9999)
	return sorted[min(len(sorted)-1, max(0, rank-1))]
}
