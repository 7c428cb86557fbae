package sidecar

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

// attemptTimes tells when an attempt got on.
type attemptTimes struct{ connected, written, received time.Time }

// requestTimes tells when a request got on. The handler owns the first two and the
// last two; the loop sets the others before it gives the final answer.
type requestTimes struct {
	arrived, read   time.Time
	taken, sent     time.Time
	attempt         attemptTimes
	answer, replied time.Time
}

// durations returns the time of each stage.
func (t *requestTimes) durations() [stageCount]time.Duration {
	marks := [...]time.Time{t.arrived, t.read, t.taken, t.sent, t.attempt.connected, t.attempt.written,
		t.attempt.received, t.answer, t.replied}
	var took [stageCount]time.Duration
	for i := range marks[1:] {
		took[i] = marks[i+1].Sub(marks[i])
	}
	took[stageOverhead] = t.replied.Sub(t.arrived) - took[stageEndpoint]
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

// stageTimes collects the stages of all requests since the start.
type stageTimes struct {
	mu       sync.Mutex
	requests uint64
	sums     [stageCount]time.Duration
	spread   [stageCount]histogram
}

func (s *stageTimes) record(t *requestTimes) {
	took := t.durations()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	for i, d := range took {
		s.sums[i] += d
		s.spread[i].add(d)
	}
}

// stageSums is what counts lines are made of.
type stageSums struct {
	requests uint64
	sums     [stageCount]time.Duration
}

func (s *stageTimes) totals() stageSums {
	s.mu.Lock()
	defer s.mu.Unlock()
	return stageSums{s.requests, s.sums}
}

// since tells the mean of each stage, in microseconds, over the requests since old.
func (s stageSums) since(old stageSums) string {
	requests := max(1, int64(s.requests-old.requests))
	var text strings.Builder
	for i, name := range stageNames {
		fmt.Fprintf(&text, " %s:%d", name, (s.sums[i]-old.sums[i]).Microseconds()/requests)
	}
	return "[" + text.String()[1:] + "]"
}

// summary tells the median and the 99th percentile of each stage, in microseconds,
// since the start.
func (s *stageTimes) summary() (requests uint64, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for i, name := range stageNames {
		parts = append(parts, fmt.Sprintf("%s:%d/%d", name, s.spread[i].quantile(0.5), s.spread[i].quantile(0.99)))
	}
	return s.requests, "[" + strings.Join(parts, " ") + "]"
}
