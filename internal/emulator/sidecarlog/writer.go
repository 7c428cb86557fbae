package sidecarlog

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// Writer makes events of the lines that a sidecar's process writes. An event has the
// time at which its line was read.
type Writer struct {
	events *Events
	part   []byte // of a line that is not whole yet
}

// NewWriter returns a Writer.
func NewWriter(events *Events) *Writer { return &Writer{events: events} }

// Write takes lines, or parts of them.
func (w *Writer) Write(text []byte) (int, error) {
	now := time.Now()
	w.part = append(w.part, text...)
	for {
		line, rest, whole := bytes.Cut(w.part, []byte("\n"))
		if !whole {
			return len(text), nil
		}
		w.read(string(line), now)
		w.part = append([]byte(nil), rest...)
	}
}

// read makes an event of a line that is one.
func (w *Writer) read(line string, now time.Time) {
	switch {
	case strings.Contains(line, message(inForce)):
		w.events.hold(configuration{hash: value(line, hashKey), at: now})
	case strings.Contains(line, message(notReloaded)):
		w.events.refuse()
	}
}

// message is how a line holds a message.
func message(text string) string { return fmt.Sprintf("msg=%q", text) }

// value returns the value of a key that needs no quotes.
func value(line, key string) string {
	_, after, _ := strings.Cut(line, " "+key+"=")
	found, _, _ := strings.Cut(after, " ")
	return found
}
