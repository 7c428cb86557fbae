package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// Lines leave in their order, and Close waits for them.
func TestLinesLeaveInOrder(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	var want strings.Builder
	for i := range maxLines / 2 {
		fmt.Fprintf(w, "line %d\n", i)
		fmt.Fprintf(&want, "line %d\n", i)
	}
	w.Close(time.Minute)
	if out.String() != want.String() {
		t.Errorf("%d bytes, want %d", out.Len(), want.Len())
	}
	if n, err := w.Write([]byte("late\n")); n != 5 || err != nil {
		t.Errorf("after the end: %d, %v", n, err)
	}
}

// A reader that stands still holds nobody up; what was left out meanwhile is told once it goes on.
func TestStalledReader(t *testing.T) {
	in, out := io.Pipe()
	w := New(out)
	const more = 100
	for i := range maxLines + 1 + more { // one is with the reader
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Close(0)
	var text bytes.Buffer
	go func() {
		<-w.done
		out.Close()
	}()
	io.Copy(&text, in)
	lines := strings.Count(text.String(), "\nline ") + 1
	var dropped int
	at := strings.Index(text.String(), "count=")
	if at < 0 {
		t.Fatal("what was left out is not told")
	}
	fmt.Sscanf(text.String()[at:], "count=%d", &dropped)
	if lines+dropped != maxLines+1+more {
		t.Errorf("%d lines and %d left out", lines, dropped)
	}
}

// Errors of the other writer are nobody's business.
func TestBrokenReader(t *testing.T) {
	in, out := io.Pipe()
	in.Close()
	w := New(out)
	if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	w.Close(time.Minute)
}
