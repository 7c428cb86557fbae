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
	served       outcome = iota // status 200 with a body that contains the ID of the request
	rejected                    // status 429 or 503
	failed                      // any other status
	mismatched                  // status 200 with a body that does not contain the ID of the request
	timedOut                    // the deadline passed before the response was complete
	broken                      // the connection failed or was closed before the response was complete
	cancelled                   // the run ended before the response was complete
	unsent                      // the deadline passed before the request could be sent
	outcomeCount                // number of outcomes
)

// Counts holds the number of requests of a run by outcome, and the connections and bytes that the run used.
type Counts struct {
	Planned    uint64 `json:"planned"` // requests whose intended start was reached, whatever their outcome
	Served     uint64 `json:"served"`
	Rejected   uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
	Mismatched uint64 `json:"mismatched"`
	TimedOut   uint64 `json:"timed_out"`
	Broken     uint64 `json:"broken"`
	Cancelled  uint64 `json:"cancelled"`
	// Unsent is the number of requests that were not sent because MaxInFlight others were in flight until their
	// deadline. This is a limit of the generator, not of the target.
	Unsent uint64 `json:"unsent"`
	// Resent is the number of requests that were sent a second time because their connection was stale.
	Resent      uint64 `json:"resent"`
	Connections uint64 `json:"connections"` // connections opened
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
}

// Lost returns the number of requests that got no complete response before their deadline.
func (c Counts) Lost() uint64 { return c.TimedOut + c.Broken }

// Report is the result of a run, or the merged result of several runs.
type Report struct {
	Direct  bool          `json:"direct"`
	Elapsed time.Duration `json:"elapsed_ns"`
	// CPU is the processor time of the generator's process during the run.
	CPU    time.Duration `json:"cpu_ns"`
	Counts Counts        `json:"counts"`
	// Latency holds the latencies of the served requests, from the intended start to the last byte of the response.
	Latency *Histogram `json:"latency"`
	// AllLatency holds the times from the intended start to the outcome, of all requests except those that were unsent
	// or cancelled.
	AllLatency *Histogram `json:"ended"`
	// SendDelay holds the delays from the intended to the actual start of the requests.
	SendDelay *Histogram `json:"lateness"`
}

// NewReport returns an empty Report.
func NewReport() *Report {
	return &Report{Latency: NewHistogram(), AllLatency: NewHistogram(), SendDelay: NewHistogram()}
}

// Merge adds the result of a concurrent run to r. Elapsed becomes the longer of the two durations.
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

// counters returns pointers to all counters, always in the same order.
func (c *Counts) counters() []*uint64 {
	return []*uint64{&c.Planned, &c.Served, &c.Rejected, &c.Failed, &c.Mismatched, &c.TimedOut, &c.Broken, &c.Cancelled,
		&c.Unsent, &c.Resent, &c.Connections, &c.BytesIn, &c.BytesOut}
}

// recorder collects the Report of concurrent requests.
type recorder struct {
	mu     sync.Mutex
	report *Report
	counts [outcomeCount]uint64 // number of requests by outcome
}

func newRecorder() *recorder { return &recorder{report: NewReport()} }

// recordSend records the delay with which a request is sent.
func (r *recorder) recordSend(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.SendDelay.Record(delay)
}

// recordOutcome records the outcome of a request and its latency, measured from the intended start. The latency of an
// unsent or cancelled request is ignored.
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

// processCPU returns the processor time that this process has used; 0 if it cannot be read.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
