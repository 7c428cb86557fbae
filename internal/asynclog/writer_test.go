package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

func TestWritesLinesInOrderAndCloseWaitsForThem(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	var want strings.Builder
	for i := range maxQueuedLines / 2 {
		fmt.Fprintf(w, "line %d\n", i)
		fmt.Fprintf(&want, "line %d\n", i)
	}
	w.Close(time.Minute)
	if out.String() != want.String() {
		t.Errorf("%d bytes, want %d", out.Len(), want.Len())
	}
	if n, err := w.Write([]byte("late\n")); n != 5 || err != nil {
		t.Errorf("Write after Close: %d, %v", n, err)
	}
}

// A reader that stalls blocks no writer; the lines dropped meanwhile are counted in the log once it reads on.
func TestStalledReaderDropsAndCountsLines(t *testing.T) {
	in, out := io.Pipe()
	w := New(out)
	const excess = 100
	const total = maxQueuedLines + 1 + excess // one is with the reader
	for i := range total {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Close(0)
	go func() {
		<-w.finished
		out.Close()
	}()
	var text bytes.Buffer
	if _, err := io.Copy(&text, in); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(text.String(), "\nline ") + 1
	var dropped int
	at := strings.Index(text.String(), "count=")
	if at < 0 {
		t.Fatal("the log does not count the dropped lines")
	}
	if _, err := fmt.Sscanf(text.String()[at:], "count=%d", &dropped); err != nil {
		t.Fatal(err)
	}
	if written+dropped != total {
		t.Errorf("%d lines written and %d dropped, want %d together", written, dropped, total)
	}
}

func TestErrorsOfTheReaderAreIgnored(t *testing.T) {
	in, out := io.Pipe()
	in.Close()
	w := New(out)
	if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	w.Close(time.Minute)
}
