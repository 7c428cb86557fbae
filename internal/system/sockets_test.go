package system

import (
	"syscall"
	"testing"
)

// A signal in the middle of a look at a connection says nothing of it.
func TestLookOutlivesSignals(t *testing.T) {
	calls := 0
	found := peekWith(func([]byte) (int, error) {
		if calls++; calls < 4 {
			return -1, syscall.EINTR
		}
		return -1, syscall.EAGAIN
	})
	if found != PeekNothing || calls != 4 {
		t.Errorf("look %d after %d calls, want nothing after 4", found, calls)
	}
	for errno, want := range map[syscall.Errno]PeekResult{syscall.ENOMEM: PeekNothing, syscall.ENOBUFS: PeekNothing, syscall.ECONNRESET: PeekClosed, syscall.ETIMEDOUT: PeekClosed} {
		if got := peekWith(func([]byte) (int, error) { return -1, errno }); got != want {
			t.Errorf("%v: %d, want %d", errno, got, want)
		}
	}
	if got := peekWith(func([]byte) (int, error) { return 0, nil }); got != PeekClosed {
		t.Errorf("an end: %d", got)
	}
	if got := peekWith(func([]byte) (int, error) { return 1, nil }); got != PeekData {
		t.Errorf("a byte: %d", got)
	}
}
