package registry

import (
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oakproxy/internal/emulator/httpconn"
)

// Counts are the figures of a Server since New.
type Counts struct {
	WholeCalls   uint64 `json:"WholeCalls"`   // for the complete list
	WatchCalls   uint64 `json:"WatchCalls"`   // for what is newer than a version
	WholeAnswers uint64 `json:"WholeAnswers"` // with the complete list, to either kind of call
	Changed      uint64 `json:"Changed"`      // responses with changed entries
	Empty        uint64 `json:"Empty"`        // responses to watches without any change
	Unavailable  uint64 `json:"Unavailable"`  // responses 503
	NotFound     uint64 `json:"NotFound"`     // responses 400 and 404
	Reset        uint64 `json:"Reset"`        // connections reset
	BytesIn      uint64
	BytesOut     uint64
	Connections  httpconn.SetCounts

	// HandlingCPU is the processor time of the threads that handled calls, by
	// CLOCK_THREAD_CPUTIME_ID, from a call's first byte to its answer's last
	// write; without the waits, and without the scheduler's and the poller's part.
	HandlingCPU time.Duration
	// ProcessCPU is the processor time of the whole process since New, by
	// getrusage. It tells of the registry only in a process of its own.
	ProcessCPU time.Duration
}

// counters are the live form of Counts.
type counters struct {
	wholeCalls, watchCalls       atomic.Uint64
	whole, changed, empty        atomic.Uint64
	unavailable, notFound, reset atomic.Uint64
	handlingCPU                  atomic.Int64
}

func (c *counters) answered(kind answerKind) {
	switch kind {
	case wholeAnswer:
		c.whole.Add(1)
	case changedAnswer:
		c.changed.Add(1)
	case emptyAnswer:
		c.empty.Add(1)
	}
}

// threadCPU is the processor time of the calling thread.
func threadCPU() time.Duration {
	var spent unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &spent); err != nil {
		return 0
	}
	return time.Duration(spent.Nano())
}

// processCPU is the processor time of this process.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
