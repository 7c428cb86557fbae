package sidecartest

import (
	"testing"
	"time"
)

// Patience is how long a test waits for what must come.
const Patience = 20 * time.Second

func Await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}
