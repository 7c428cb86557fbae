package sidecarlog

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// Writer records the events in the log lines of a sidecar process. The time of an event is the time at which the end of
// its line was written to the Writer. A Writer is not safe for concurrent use.
type Writer struct {
	events      *Events
	partialLine []byte // start of the line whose end has not been written yet
}

// NewWriter returns a Writer that records events in events.
func NewWriter(events *Events) *Writer { return &Writer{events: events} }

// Write accepts log lines, or parts of lines. It never fails.
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

// parseLine records the event of a log line. It ignores lines with other messages.
func (w *Writer) parseLine(line string, now time.Time) {
	switch {
	case strings.Contains(line, messageField(configAppliedMessage)):
		w.events.recordApplied(appliedConfig{hash: fieldValue(line, hashKey), appliedAt: now})
	case strings.Contains(line, messageField(reloadFailedMessage)):
		w.events.recordRejected()
	}
}

// messageField returns the field of a log line with this message, as slog.TextHandler writes it for a message that
// contains spaces.
func messageField(message string) string { return fmt.Sprintf("msg=%q", message) }

// fieldValue returns the value of a key in a log line. It supports only values that slog.TextHandler does not quote.
// For a missing key it returns an empty string.
func fieldValue(line, key string) string {
	_, after, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(after, " ")
	return value
}
