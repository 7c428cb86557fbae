package stages

import (
	"math/bits"
	"time"
)

// A histogram counts durations in buckets whose width is an eighth of their lower
// bound, from 1 microsecond to about a minute.
const (
	subBucketBits = 3
	subBuckets    = 1 << subBucketBits
	maxBuckets    = 24 * subBuckets
)

type histogram struct {
	counts [maxBuckets]uint32
	total  uint64
}

func bucketOf(micros uint64) int {
	if micros < subBuckets {
		return int(micros)
	}
	shift := bits.Len64(micros) - subBucketBits - 1
	return min(maxBuckets-1, (shift+1)*subBuckets+int(micros>>shift)-subBuckets)
}

// upperBound is the least duration beyond a bucket, in microseconds.
func upperBound(bucket int) uint64 {
	if bucket < subBuckets {
		return uint64(bucket) + 1
	}
	shift := bucket/subBuckets - 1
	return uint64(bucket%subBuckets+subBuckets+1) << shift
}

func (h *histogram) add(d time.Duration) {
	h.counts[bucketOf(uint64(max(0, d.Microseconds())))]++
	h.total++
}

// quantile returns the upper bound, in microseconds, of the bucket that holds the
// given part of all durations, or 0 where there are none.
func (h *histogram) quantile(part float64) uint64 {
	rank, seen := uint64(part*float64(h.total)), uint64(0)
	for i, n := range h.counts {
		if seen += uint64(n); seen > rank {
			return upperBound(i)
		}
	}
	return 0
}
