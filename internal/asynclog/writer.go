// Package asynclog keeps a program going when nobody reads its log: lines are written by a goroutine of their own, and
// those that find no room are counted and left out.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxLines is how many lines wait to be written at most.
const maxLines = 1024

// Writer passes lines on to another writer without waiting for it. Make one with New.
type Writer struct {
	to    io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

// New returns a writer that passes lines on to another one. The other's errors are ignored: there is nobody to tell.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, maxLines), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		w.to.Write(line)
		if n := w.takeDropped(); n > 0 {
			fmt.Fprintf(w.to, "level=WARN msg=\"log lines dropped\" count=%d\n", n)
		}
	}
}

func (w *Writer) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Write takes one line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	own := append([]byte(nil), line...)
	select {
	case w.lines <- own:
	default:
		w.dropped++
	}
	return len(line), nil
}

// Close has what waits written, within a limit on the time, and ends the writer.
func (w *Writer) Close(patience time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
