package stages

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Recorder collects the durations of the stages of requests since the start of the process. The zero value is ready to
// use. The methods may be called concurrently.
type Recorder struct {
	mu         sync.Mutex
	requests   uint64
	sums       [stageCount]time.Duration
	histograms [stageCount]histogram
}

// Record adds the durations of a request's stages. All fields of t must be set.
func (r *Recorder) Record(t *RequestTimes) {
	durations := t.durations()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	for i, d := range durations {
		r.sums[i] += d
		r.histograms[i].add(d)
	}
}

// Totals are the number of requests and the sums of their stages' durations that a Recorder has at one instant. Two
// Totals give the means over the interval between their instants.
type Totals struct {
	requests uint64
	sums     [stageCount]time.Duration
}

// Totals returns the sums of all requests recorded so far.
func (r *Recorder) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Totals{requests: r.requests, sums: r.sums}
}

// MeansSince returns the mean duration of each stage, in microseconds, over the requests that were recorded between
// earlier and t. The result is a text for logs, such as [read:12 queue:3 ...]. All means are 0 if there was no request.
func (t Totals) MeansSince(earlier Totals) string {
	requests := max(1, int64(t.requests-earlier.requests))
	means := make([]string, stageCount)
	for i, name := range stageNames {
		means[i] = fmt.Sprintf("%s:%d", name, (t.sums[i]-earlier.sums[i]).Microseconds()/requests)
	}
	return "[" + strings.Join(means, " ") + "]"
}

// Summary returns the number of requests since the start of the process, and a text for logs with the median and the
// 99th percentile of each stage in microseconds, such as [read:10/55 queue:2/17 ...].
func (r *Recorder) Summary() (requests uint64, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	quantiles := make([]string, stageCount)
	for i, name := range stageNames {
		quantiles[i] = fmt.Sprintf("%s:%d/%d", name, r.histograms[i].quantile(0.5), r.histograms[i].quantile(0.99))
	}
	return r.requests, "[" + strings.Join(quantiles, " ") + "]"
}
