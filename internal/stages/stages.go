package stages

import (
	"fmt"
	"math/bits"
	"strings"
	"sync"
	"time"
)

// stage is a part of a request's way through the sidecar.
type stage uint8

// The stages of a request that its first attempt served, in their order. All but
// stageEndpoint are time that the sidecar adds.
const (
	stageRead      stage = iota // the request's body, after its head
	stageQueue                  // until the loop takes the request
	stageProbeWait              // until the balancer sends it: probes may be awaited first
	stageConnect                // until a connection to the endpoint is at hand
	stageWrite                  // until the request's last byte is written
	stageEndpoint               // until the answer, or its beginning, is read
	stageReturn                 // through the loop, back to the client's connection
	stageReply                  // until the answer is with net/http, which writes it when the handler returns
	stageOverhead               // all of the above but stageEndpoint
	stageCount
)

var stageNames = [stageCount]string{"read", "queue", "probe_wait", "connect", "write", "endpoint", "return", "reply", "overhead"}

// AttemptTimes tells when an attempt got on.
type AttemptTimes struct{ Connected, Written, Received time.Time }

// RequestTimes tells when a request got on. The handler owns the first two and the
// last two; the loop sets the others before it gives the final answer.
type RequestTimes struct {
	Arrived, BodyRead time.Time
	Dequeued, Sent    time.Time
	Attempt           AttemptTimes
	Answered, Replied time.Time
}

// durations returns the time of each stage.
func (t *RequestTimes) durations() [stageCount]time.Duration {
	marks := [...]time.Time{t.Arrived, t.BodyRead, t.Dequeued, t.Sent, t.Attempt.Connected, t.Attempt.Written,
		t.Attempt.Received, t.Answered, t.Replied}
	var took [stageCount]time.Duration
	for i := range marks[1:] {
		took[i] = marks[i+1].Sub(marks[i])
	}
	took[stageOverhead] = t.Replied.Sub(t.Arrived) - took[stageEndpoint]
	return took
}

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

// Recorder collects the stages of all requests since the start.
type Recorder struct {
	mu       sync.Mutex
	requests uint64
	sums     [stageCount]time.Duration
	spread   [stageCount]histogram
}

func (s *Recorder) Record(t *RequestTimes) {
	took := t.durations()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	for i, d := range took {
		s.sums[i] += d
		s.spread[i].add(d)
	}
}

// Totals is what counts lines are made of.
type Totals struct {
	requests uint64
	sums     [stageCount]time.Duration
}

func (s *Recorder) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Totals{s.requests, s.sums}
}

// MeansSince tells the mean of each stage, in microseconds, over the requests since old.
func (s Totals) MeansSince(old Totals) string {
	requests := max(1, int64(s.requests-old.requests))
	var text strings.Builder
	for i, name := range stageNames {
		fmt.Fprintf(&text, " %s:%d", name, (s.sums[i]-old.sums[i]).Microseconds()/requests)
	}
	return "[" + text.String()[1:] + "]"
}

// Summary tells the median and the 99th percentile of each stage, in microseconds,
// since the start.
func (s *Recorder) Summary() (requests uint64, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for i, name := range stageNames {
		parts = append(parts, fmt.Sprintf("%s:%d/%d", name, s.spread[i].quantile(0.5), s.spread[i].quantile(0.99)))
	}
	return s.requests, "[" + strings.Join(parts, " ") + "]"
}
