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
		t.Errorf("the log differs from the written lines: got %d bytes, want %d", out.Len(), want.Len())
	}
	if n, err := w.Write([]byte("late\n")); n != 5 || err != nil {
		t.Errorf("Write after Close returned %d and error %v, want 5 and no error", n, err)
	}
}

// A reader that stalls does not block Write. Once it reads again, the log contains the number of lines that were
// dropped meanwhile.
func TestStalledReaderDropsAndCountsLines(t *testing.T) {
	reader, pipeWriter := io.Pipe()
	w := New(pipeWriter)
	const excess = 100
	const total = maxQueuedLines + 1 + excess // run holds one line, which it is writing
	for i := range total {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Close(0)
	go func() {
		<-w.finished
		pipeWriter.Close()
	}()
	var text bytes.Buffer
	if _, err := io.Copy(&text, reader); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(text.String(), "\nline ") + 1
	var dropped int
	countIndex := strings.Index(text.String(), "count=")
	if countIndex < 0 {
		t.Fatal("the log contains no \"count=\", want the number of dropped lines")
	}
	if _, err := fmt.Sscanf(text.String()[countIndex:], "count=%d", &dropped); err != nil {
		t.Fatal(err)
	}
	if written+dropped != total {
		t.Errorf("%d lines written and %d dropped, want %d in total", written, dropped, total)
	}
}

func TestReaderErrorsAreIgnored(t *testing.T) {
	reader, pipeWriter := io.Pipe()
	reader.Close()
	w := New(pipeWriter)
	if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
		t.Errorf("Write returned %d and error %v, want 5 and no error", n, err)
	}
	w.Close(time.Minute)
}
