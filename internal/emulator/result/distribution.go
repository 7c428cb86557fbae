package result

import (
	"slices"
	"time"
)

// NewDistribution sums up times that a number of sidecars took. Those that have none count
// as missing.
func NewDistribution(what string, of int, took []time.Duration) Distribution {
	sorted := slices.Sorted(slices.Values(took))
	return Distribution{
		What:     what,
		Total:    of,
		Missing:  of - len(sorted),
		MedianMS: Milliseconds(quantile(sorted, 0.5)),
		P99MS:    Milliseconds(quantile(sorted, 0.99)),
		MaxMS:    Milliseconds(quantile(sorted, 1)),
	}
}

// quantile returns the least of the sorted values that this part of all is not over.
func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(part*float64(len(sorted)) + 0.9999)
	return sorted[min(len(sorted)-1, max(0, rank-1))]
}
