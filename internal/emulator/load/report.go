package load

import (
	"oakproxy/internal/emulator/counter"
	"sync"
	"syscall"
	"time"
)

// outcome is what came of a request.
type outcome int

const (
	served       outcome = iota // 200
	rejected                    // 429 or 503
	failed                      // any other answer
	mismatched                  // 200 with a body that is not an answer to this request
	timedOut                    // no whole answer within the client's time
	broken                      // the connection failed, or ended without a whole answer
	cancelled                   // the run was ended
	unsent                      // its time was over before it could be sent
	outcomeCount                // how many there are
)

// Counts are the requests of a run by outcome.
type Counts struct {
	Planned    uint64 `json:"planned"` // all whose intended start came
	Served     uint64 `json:"served"`
	Rejected   uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
	Mismatched uint64 `json:"mismatched"`
	TimedOut   uint64 `json:"timed_out"`
	Broken     uint64 `json:"broken"`
	Cancelled  uint64 `json:"cancelled"`
	// Unsent requests found all of MaxInFlight taken for as long as they had time: the
	// generator's own shortfall.
	Unsent uint64 `json:"unsent"`
	// Resent requests were sent once more, as an idle connection turned out closed.
	Resent      uint64 `json:"resent"`
	Connections uint64 `json:"connections"` // opened
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
}

// Lost counts the requests whose answer never came within their time.
func (c Counts) Lost() uint64 { return c.TimedOut + c.Broken }

// Report is the result of a run, or of several once merged.
type Report struct {
	Direct  bool          `json:"direct"`
	Elapsed time.Duration `json:"elapsed_ns"`
	// CPU is the processor time of the generator's process during the run.
	CPU    time.Duration `json:"cpu_ns"`
	Counts Counts        `json:"counts"`
	// Latency is of the requests served, from the intended start to the last byte.
	Latency *Histogram `json:"latency"`
	// AllLatency is of all requests sent, by whatever outcome, from the intended start.
	AllLatency *Histogram `json:"ended"`
	// SendDelay is from the intended start to when a request began to be sent.
	SendDelay *Histogram `json:"lateness"`
}

// NewReport returns an empty Report.
func NewReport() *Report {
	return &Report{Latency: NewHistogram(), AllLatency: NewHistogram(), SendDelay: NewHistogram()}
}

// Merge adds the result of a run that went on beside this one.
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

// recorder gathers a Report from concurrent requests.
type recorder struct {
	mu     sync.Mutex
	report *Report
	counts [outcomeCount]uint64
}

func newRecorder() *recorder { return &recorder{report: NewReport()} }

// recordSend notes how late a request is as it is being sent.
func (r *recorder) recordSend(lateness time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.SendDelay.Record(lateness)
}

// recordOutcome notes a request's outcome and its time from the intended start.
func (r *recorder) recordOutcome(result outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[result]++
	if result == served {
		r.report.Latency.Record(took)
	}
	if result != unsent && result != cancelled {
		r.report.AllLatency.Record(took)
	}
}

// result returns the report.
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

// processCPU is the processor time of this process.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
