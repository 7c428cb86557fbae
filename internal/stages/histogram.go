package stages

import (
	"math/bits"
	"time"
)

// Buckets of a histogram of durations in microseconds. Each duration below subBuckets has a bucket of its own. From
// there on, each range from a power of two to the next is divided evenly into subBuckets buckets, so the width of a
// bucket is at most 1/8 of its lower bound. A quantile exceeds the exact value by at most the width of a bucket. The
// last bucket begins at about a minute, which is longer than clients wait.
const (
	subBucketBits = 3
	subBuckets    = 1 << subBucketBits // buckets per power of two
	bucketCount   = 24 * subBuckets
)

// histogram counts durations by bucket. The zero value is empty and ready to use.
type histogram struct {
	counts [bucketCount]uint32
	total  uint64
}

// bucketIndex returns the index of the bucket that contains a duration in microseconds.
func bucketIndex(micros uint64) int {
	if micros < subBuckets {
		return int(micros)
	}
	shift := bits.Len64(micros) - subBucketBits - 1
	return min(bucketCount-1, (shift+1)*subBuckets+int(micros>>shift)-subBuckets)
}

// upperBound returns the exclusive upper bound of a bucket, in microseconds.
func upperBound(bucket int) uint64 {
	if bucket < subBuckets {
		return uint64(bucket) + 1
	}
	shift := bucket/subBuckets - 1
	return uint64(bucket%subBuckets+subBuckets+1) << shift
}

// add counts a duration. It counts a negative duration in the bucket of 0.
func (h *histogram) add(d time.Duration) {
	h.counts[bucketIndex(uint64(max(0, d.Microseconds())))]++
	h.total++
}

// quantile returns the upper bound, in microseconds, of the bucket that contains the q-quantile of all durations, where
// 0 <= q < 1. It returns 0 if the histogram is empty.
func (h *histogram) quantile(q float64) uint64 {
	rank, cumulative := uint64(q*float64(h.total)), uint64(0)
	for i, n := range h.counts {
		if cumulative += uint64(n); cumulative > rank {
			return upperBound(i)
		}
	}
	return 0
}
