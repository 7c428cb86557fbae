package sidecar

import (
	"syscall"
	"testing"
)

// A signal in the middle of a look at a connection says nothing of it.
func TestLookOutlivesSignals(t *testing.T) {
	calls := 0
	found := lookWith(func([]byte) (int, error) {
		if calls++; calls < 4 {
			return -1, syscall.EINTR
		}
		return -1, syscall.EAGAIN
	})
	if found != nothing || calls != 4 {
		t.Errorf("look %d after %d calls, want nothing after 4", found, calls)
	}
	for errno, want := range map[syscall.Errno]look{syscall.ENOMEM: nothing, syscall.ENOBUFS: nothing, syscall.ECONNRESET: ended, syscall.ETIMEDOUT: ended} {
		if got := lookWith(func([]byte) (int, error) { return -1, errno }); got != want {
			t.Errorf("%v: %d, want %d", errno, got, want)
		}
	}
	if got := lookWith(func([]byte) (int, error) { return 0, nil }); got != ended {
		t.Errorf("an end: %d", got)
	}
	if got := lookWith(func([]byte) (int, error) { return 1, nil }); got != unread {
		t.Errorf("a byte: %d", got)
	}
}
