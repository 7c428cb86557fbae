package stages

import (
	"math/bits"
	"time"
)

// Buckets of a histogram. Each power of two is divided evenly, so that a bucket is at most an eighth of its lower
// bound wide, and a quantile is that much above the exact one at most. The last bucket begins at about a minute,
// which is longer than clients wait.
const (
	subBucketBits = 3
	subBuckets    = 1 << subBucketBits // by power of two
	maxBuckets    = 24 * subBuckets
)

// histogram counts durations by bucket.
type histogram struct {
	counts [maxBuckets]uint32
	total  uint64
}

// bucketOf returns the bucket of a duration in microseconds.
func bucketOf(micros uint64) int {
	if micros < subBuckets {
		return int(micros)
	}
	shift := bits.Len64(micros) - subBucketBits - 1
	return min(maxBuckets-1, (shift+1)*subBuckets+int(micros>>shift)-subBuckets)
}

// upperBound returns the least duration above a bucket, in microseconds.
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

// quantile returns the upper bound, in microseconds, of the bucket with the given quantile, from 0 to 1, of all
// durations. It returns 0 if there are none.
func (h *histogram) quantile(q float64) uint64 {
	rank, cumulated := uint64(q*float64(h.total)), uint64(0)
	for i, n := range h.counts {
		if cumulated += uint64(n); cumulated > rank {
			return upperBound(i)
		}
	}
	return 0
}
