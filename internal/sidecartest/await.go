package sidecartest

import (
	"testing"
	"time"
)

// WaitTimeout is how long a test waits for a condition. It is much longer than any timeout of the sidecar, so that
// tests pass on a busy machine.
const WaitTimeout = 20 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 2 * time.Millisecond

// Receive returns the next value of a channel. If that takes longer than WaitTimeout, it fails the test with a message that
// contains description.
func Receive[T any](t *testing.T, description string, channel <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out waiting for: %s", description)
	}
	return value
}

// Await returns once condition returns true. If that takes longer than WaitTimeout, it fails the test with a message
// that contains description.
func Await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", description)
		}
	}
}
