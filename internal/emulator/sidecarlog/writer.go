package sidecarlog

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// Writer records the events in the log lines of a sidecar's process. An event has the time at which its
// line was read. It is not safe for concurrent use.
type Writer struct {
	events      *Events
	partialLine []byte // of a line whose end has not been written yet
}

// NewWriter returns a Writer that records to events.
func NewWriter(events *Events) *Writer { return &Writer{events: events} }

// Write accepts lines, or parts of them. It never fails.
func (w *Writer) Write(text []byte) (int, error) {
	now := time.Now()
	w.partialLine = append(w.partialLine, text...)
	for {
		line, remainder, complete := bytes.Cut(w.partialLine, []byte("\n"))
		if !complete {
			return len(text), nil
		}
		w.parseLine(string(line), now)
		w.partialLine = append([]byte(nil), remainder...)
	}
}

// parseLine records the event that a line stands for, if any.
func (w *Writer) parseLine(line string, now time.Time) {
	switch {
	case strings.Contains(line, messageField(configAppliedMessage)):
		w.events.recordApplied(appliedConfig{hash: fieldValue(line, hashKey), appliedAt: now})
	case strings.Contains(line, messageField(reloadFailedMessage)):
		w.events.recordRejected()
	}
}

// messageField returns the field of a line that holds this message, as slog.TextHandler writes it.
func messageField(message string) string { return fmt.Sprintf("msg=%q", message) }

// fieldValue returns the value of a key in a line, for values that need no quotes.
func fieldValue(line, key string) string {
	_, after, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(after, " ")
	return value
}
