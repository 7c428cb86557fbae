package registry

import (
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oakproxy/internal/emulator/counter"
	"oakproxy/internal/emulator/httpconn"
)

// Counts holds the counters of a Server since New.
type Counts struct {
	ListCalls         uint64 `json:"WholeCalls"`   // calls for the complete list
	WatchCalls        uint64 `json:"WatchCalls"`   // calls for the changes after a version
	CompleteResponses uint64 `json:"WholeAnswers"` // responses with the complete list, to list calls and to watches
	DeltaResponses    uint64 `json:"Changed"`      // responses with the changed entries only
	EmptyResponses    uint64 `json:"Empty"`        // responses to watches without any changed entry
	Unavailable       uint64 `json:"Unavailable"`  // 503 responses
	NotFound          uint64 `json:"NotFound"`     // 400 and 404 responses
	Reset             uint64 `json:"Reset"`        // connections that an injected fault has reset
	BytesIn           uint64
	BytesOut          uint64
	Connections       httpconn.SetCounts

	// HandlingCPU is the processor time that threads used to handle calls, from the first byte of a call to the last
	// write of its response, as measured by CLOCK_THREAD_CPUTIME_ID. It includes neither waits nor the work of the
	// Go scheduler and network poller.
	HandlingCPU time.Duration
	// ProcessCPU is the processor time of the whole process since New, as measured by getrusage. It is the processor
	// time of the registry only if the registry runs in a process of its own.
	ProcessCPU time.Duration
}

// Since returns the increase of the counters since an earlier reading of the same Server. Open and MaxOpen of
// Connections are gauges and keep their current values.
func (c Counts) Since(earlier Counts) Counts {
	counter.Subtract(c.counters(), earlier.counters())
	c.HandlingCPU -= earlier.HandlingCPU
	c.ProcessCPU -= earlier.ProcessCPU
	return c
}

// counters returns pointers to all counters except the processor times, always in the same order.
func (c *Counts) counters() []*uint64 {
	return []*uint64{&c.ListCalls, &c.WatchCalls, &c.CompleteResponses, &c.DeltaResponses, &c.EmptyResponses,
		&c.Unavailable, &c.NotFound, &c.Reset, &c.BytesIn, &c.BytesOut, &c.Connections.Accepted}
}

// counters holds the atomic counters that Server.Counts reads.
type counters struct {
	listCalls, watchCalls                             atomic.Uint64
	completeResponses, deltaResponses, emptyResponses atomic.Uint64
	unavailable, notFound, reset                      atomic.Uint64
	handlingCPU                                       atomic.Int64 // nanoseconds
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

// threadCPU returns the processor time that the calling thread has used; 0 if it cannot be read.
func threadCPU() time.Duration {
	var cpu unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &cpu); err != nil {
		return 0
	}
	return time.Duration(cpu.Nano())
}

// processCPU returns the processor time that this process has used; 0 if it cannot be read.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
