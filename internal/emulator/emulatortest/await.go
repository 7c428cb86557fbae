// Package emulatortest holds what the tests of several of the emulator's packages share. Only tests import it.
package emulatortest

import (
	"runtime"
	"testing"
	"time"
)

// awaitTimeout is how long a test waits for a condition.
const awaitTimeout = 10 * time.Second

// Await returns once a condition holds. It fails the test, naming what it waited for, if that takes longer than
// 10 s. It yields the processor between two checks, since most conditions hold soon.
func Await(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", description)
		}
	}
}
