// Package asynclog decouples a program from the reader of its log. A Writer queues lines and writes them from a
// goroutine of its own, so that a reader that stalls or is gone never blocks the program.
//
// Lines are written in the order in which they came. The queue is bounded: a line that finds it full is dropped and
// counted, and the count is logged with the next line that is written. The package doesn't retry and reports no errors.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedLines limits the lines that wait to be written.
const maxQueuedLines = 1024

// Writer is an io.Writer that passes lines on to a destination without waiting for it. New returns one that is ready
// for use; Close ends it. Its methods may be called by several goroutines at once.
type Writer struct {
	destination io.Writer
	queue       chan []byte   // closed by Close
	finished    chan struct{} // closed once the queue is written out

	mu      sync.Mutex
	closed  bool
	dropped int // since the last line that was written
}

// New returns a Writer to a destination and starts its goroutine, which runs until Close. Errors of the destination
// are ignored: the log is where they would be reported.
func New(destination io.Writer) *Writer {
	w := &Writer{
		destination: destination,
		queue:       make(chan []byte, maxQueuedLines),
		finished:    make(chan struct{}),
	}
	go w.run()
	return w
}

// run writes the queued lines until the queue is closed.
func (w *Writer) run() {
	defer close(w.finished)
	for line := range w.queue {
		_, _ = w.destination.Write(line) // there is nowhere to report an error of the log itself
		if n := w.takeDropped(); n > 0 {
			fmt.Fprintf(w.destination, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
		}
	}
}

// takeDropped returns how many lines were dropped since its last call.
func (w *Writer) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Write queues a copy of one line. It never blocks and never fails: a line that finds the queue full is dropped and
// counted, and one that comes after Close is ignored.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	own := append([]byte(nil), line...)
	select {
	case w.queue <- own:
	default:
		w.dropped++
	}
	return len(line), nil
}

// Close ends the writer and waits until the queued lines are written, but no longer than timeout. It may be called
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
