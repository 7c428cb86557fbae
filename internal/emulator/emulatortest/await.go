// Package emulatortest contains helpers that the tests of several packages of the emulator share. Only tests import it.
package emulatortest

import (
	"runtime"
	"testing"
	"time"
)

// awaitTimeout is the longest time that Await waits for a condition.
const awaitTimeout = 10 * time.Second

// Await returns when the condition is true. If the condition is not true within 10 s, Await fails the test with a
// message that contains the description. Between two checks Await yields the processor without sleeping, because most
// conditions become true after a short time.
func Await(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", description)
		}
	}
}
