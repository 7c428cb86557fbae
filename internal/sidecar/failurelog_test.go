package sidecar

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/upstream"
)

// The log must name the request, the endpoint and the reason of an attempt whose response was cut off, but not for each
// of many attempts, and the statistics must count all of them.
func TestFailedAttemptsAreLogged(t *testing.T) {
	var text bytes.Buffer
	stats := statsLogger{log: slog.New(slog.NewTextHandler(&text, nil))}
	r := &request{message: &upstream.Request{Header: map[string][]string{"X-Correlation-Id": {"id-1"}}}}
	for _, reason := range []upstream.FailureReason{
		upstream.FailedLocally, upstream.FailedByStall, upstream.FailedByStall, upstream.FailedByEnd,
	} {
		stats.recordFailure(r, balancer.Outcome{Endpoint: 7}, upstream.Result{Err: io.ErrUnexpectedEOF, Reason: reason})
	}
	if got := strings.Count(text.String(), "\n"); got != 1 || !strings.Contains(text.String(), "id=id-1") ||
		!strings.Contains(text.String(), "reason=stalled") || !strings.Contains(text.String(), "endpoint=7") {
		t.Errorf("got the lines %q, want one with id, reason and endpoint", text.String())
	}
	if got, want := stats.takeFailures(), "[ended:1 local:1 stalled:2]"; got != want {
		t.Errorf("got failures %q, want %q", got, want)
	}
	if got := stats.takeFailures(); got != "[]" {
		t.Errorf("got failures %q in the next line, want none", got)
	}
	stats.failureLoggedAt = time.Now().Add(-attemptLogInterval)
	stats.recordFailure(r, balancer.Outcome{}, upstream.Result{Err: io.EOF, Reason: upstream.FailedByEnd})
	if got := strings.Count(text.String(), "\n"); got != 2 {
		t.Errorf("got %d lines after the interval, want 2", got)
	}
}
