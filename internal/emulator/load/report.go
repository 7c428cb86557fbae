package load

import (
	"sync"
	"syscall"
	"time"

	"oakproxy/internal/emulator/counter"
)

// outcome is the outcome of a request.
type outcome int

const (
	served       outcome = iota // 200
	rejected                    // 429 or 503
	failed                      // any other status
	mismatched                  // 200 with a body that does not belong to this request
	timedOut                    // no complete response before the deadline
	broken                      // the connection failed, or closed without a complete response
	cancelled                   // the run ended before
	unsent                      // its deadline passed before it could be sent
	outcomeCount                // number of outcomes
)

// Counts are the requests of a run by outcome, and what they cost.
type Counts struct {
	Planned    uint64 `json:"planned"` // requests whose intended start was reached
	Served     uint64 `json:"served"`
	Rejected   uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
	Mismatched uint64 `json:"mismatched"`
	TimedOut   uint64 `json:"timed_out"`
	Broken     uint64 `json:"broken"`
	Cancelled  uint64 `json:"cancelled"`
	// Unsent requests found MaxInFlight others in flight until their deadline: a limit of the generator,
	// not of the target.
	Unsent uint64 `json:"unsent"`
	// Resent requests were sent a second time, because their connection was stale.
	Resent      uint64 `json:"resent"`
	Connections uint64 `json:"connections"` // opened
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
}

// Lost returns the number of requests that got no complete response before their deadline.
func (c Counts) Lost() uint64 { return c.TimedOut + c.Broken }

// Report is the result of a run, or of several that were merged.
type Report struct {
	Direct  bool          `json:"direct"`
	Elapsed time.Duration `json:"elapsed_ns"`
	// CPU is the processor time of the generator's process during the run.
	CPU    time.Duration `json:"cpu_ns"`
	Counts Counts        `json:"counts"`
	// Latency is that of the requests served, from the intended start to the last byte.
	Latency *Histogram `json:"latency"`
	// AllLatency is that of all requests sent, whatever their outcome, from the intended start.
	AllLatency *Histogram `json:"ended"`
	// SendDelay is from the intended start to the actual one.
	SendDelay *Histogram `json:"lateness"`
}

// NewReport returns an empty Report.
func NewReport() *Report {
	return &Report{Latency: NewHistogram(), AllLatency: NewHistogram(), SendDelay: NewHistogram()}
}

// Merge adds the result of a concurrent run.
func (r *Report) Merge(other *Report) {
	r.Direct = r.Direct || other.Direct
	r.Elapsed = max(r.Elapsed, other.Elapsed)
	r.CPU += other.CPU
	r.Counts.add(other.Counts)
	r.Latency.Merge(other.Latency)
	r.AllLatency.Merge(other.AllLatency)
	r.SendDelay.Merge(other.SendDelay)
}

func (c *Counts) add(other Counts) { counter.Add(c.counters(), other.counters()) }

func (c *Counts) counters() []*uint64 {
	return []*uint64{&c.Planned, &c.Served, &c.Rejected, &c.Failed, &c.Mismatched, &c.TimedOut, &c.Broken, &c.Cancelled,
		&c.Unsent, &c.Resent, &c.Connections, &c.BytesIn, &c.BytesOut}
}

// recorder collects a Report from concurrent requests.
type recorder struct {
	mu     sync.Mutex
	report *Report
	counts [outcomeCount]uint64
}

func newRecorder() *recorder { return &recorder{report: NewReport()} }

// recordSend records how late a request is sent.
func (r *recorder) recordSend(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.SendDelay.Record(delay)
}

// recordOutcome records a request's outcome and its latency from the intended start.
func (r *recorder) recordOutcome(result outcome, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[result]++
	if result == served {
		r.report.Latency.Record(latency)
	}
	if result != unsent && result != cancelled {
		r.report.AllLatency.Record(latency)
	}
}

// result returns the report of all recorded requests.
func (r *recorder) result() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := &r.report.Counts
	counts.Served = r.counts[served]
	counts.Rejected = r.counts[rejected]
	counts.Failed = r.counts[failed]
	counts.Mismatched = r.counts[mismatched]
	counts.TimedOut = r.counts[timedOut]
	counts.Broken = r.counts[broken]
	counts.Cancelled = r.counts[cancelled]
	counts.Unsent = r.counts[unsent]
	for _, count := range r.counts {
		counts.Planned += count
	}
	return r.report
}

// processCPU returns the processor time of this process.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
