package stages

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

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
