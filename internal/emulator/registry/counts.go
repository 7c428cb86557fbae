package registry

import (
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oakproxy/internal/emulator/counter"
	"oakproxy/internal/emulator/httpconn"
)

// Counts are the counters of a Server since New.
type Counts struct {
	ListCalls         uint64 `json:"WholeCalls"`   // for the complete list
	WatchCalls        uint64 `json:"WatchCalls"`   // for what is newer than a version
	CompleteResponses uint64 `json:"WholeAnswers"` // with the complete list, to either kind of call
	DeltaResponses    uint64 `json:"Changed"`      // responses with changed entries
	EmptyResponses    uint64 `json:"Empty"`        // responses to watches without any change
	Unavailable       uint64 `json:"Unavailable"`  // responses 503
	NotFound          uint64 `json:"NotFound"`     // responses 400 and 404
	Reset             uint64 `json:"Reset"`        // connections reset
	BytesIn           uint64
	BytesOut          uint64
	Connections       httpconn.SetCounts

	// HandlingCPU is the processor time of the threads that handled calls, by
	// CLOCK_THREAD_CPUTIME_ID, from a call's first byte to its response's last
	// write; without the waits, and without the scheduler's and the poller's part.
	HandlingCPU time.Duration
	// ProcessCPU is the processor time of the complete process since New, by
	// getrusage. It is that of the registry only if that has a process of its own.
	ProcessCPU time.Duration
}

// Since returns the counts since an earlier reading. Open connections are as they are now.
func (c Counts) Since(earlier Counts) Counts {
	counter.Subtract(c.counters(), earlier.counters())
	c.HandlingCPU -= earlier.HandlingCPU
	c.ProcessCPU -= earlier.ProcessCPU
	return c
}

// counters lists all counters but the processor times.
func (c *Counts) counters() []*uint64 {
	return []*uint64{&c.ListCalls, &c.WatchCalls, &c.CompleteResponses, &c.DeltaResponses, &c.EmptyResponses,
		&c.Unavailable, &c.NotFound, &c.Reset, &c.BytesIn, &c.BytesOut, &c.Connections.Accepted}
}

// counters are the live form of Counts.
type counters struct {
	listCalls, watchCalls                             atomic.Uint64
	completeResponses, deltaResponses, emptyResponses atomic.Uint64
	unavailable, notFound, reset                      atomic.Uint64
	handlingCPU                                       atomic.Int64
}

func (c *counters) countResponse(kind responseKind) {
	switch kind {
	case completeResponse:
		c.completeResponses.Add(1)
	case deltaResponse:
		c.deltaResponses.Add(1)
	case emptyResponse:
		c.emptyResponses.Add(1)
	}
}

// threadCPU returns the processor time of the calling thread.
func threadCPU() time.Duration {
	var cpu unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &cpu); err != nil {
		return 0
	}
	return time.Duration(cpu.Nano())
}

// processCPU returns the processor time of this process.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
