// Package asynclog decouples a program from the reader of its log. A Writer queues lines and writes them from its own
// goroutine, so that a log reader that stalls or has exited never blocks the program.
//
// Lines are written in the order in which Write was called. The queue has a fixed capacity: a line that does not fit is
// dropped and counted, and the count is logged after the next line that is written to the destination.
// The package doesn't retry failed writes and reports no errors.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedLines is the capacity of the queue, in lines.
const maxQueuedLines = 1024

// Writer is an io.Writer that passes lines on to a destination without waiting for it. New creates a Writer, and Close
// stops it. Its methods are safe for concurrent use.
type Writer struct {
	destination io.Writer
	queue       chan []byte   // closed by Close
	finished    chan struct{} // closed after Close, once all queued lines are written

	mu      sync.Mutex
	closed  bool
	dropped int // number of lines dropped since the last call of takeDropped
}

// New returns a Writer to destination and starts its goroutine, which ends after Close, once the queue is empty. Errors
// of the destination are ignored, since the place to report them would be this log.
func New(destination io.Writer) *Writer {
	w := &Writer{
		destination: destination,
		queue:       make(chan []byte, maxQueuedLines),
		finished:    make(chan struct{}),
	}
	go w.run()
	return w
}

// run writes the queued lines until the queue is closed and empty.
func (w *Writer) run() {
	defer close(w.finished)
	for line := range w.queue {
		_, _ = w.destination.Write(line) // an error of the log itself cannot be logged
		if n := w.takeDropped(); n > 0 {
			fmt.Fprintf(w.destination, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
		}
	}
}

// takeDropped returns the number of lines dropped since its last call.
func (w *Writer) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Write queues a copy of one line. It never waits for the destination and never returns an error: it drops and counts
// the line if the queue is full, and ignores the line after Close.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	lineCopy := append([]byte(nil), line...)
	select {
	case w.queue <- lineCopy:
	default:
		w.dropped++
	}
	return len(line), nil
}

// Close stops the Writer and waits until the queued lines are written, but no longer than timeout. It may be called
// more than once.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.finished:
	case <-timer.C:
	}
}
