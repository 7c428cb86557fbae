package system

import (
	"syscall"
	"testing"
)

// A peek that a signal interrupts is made again, and a shortage of the machine says nothing of the connection.
func TestPeekIgnoresSignalsAndShortages(t *testing.T) {
	calls := 0
	result := peekWith(func() (int, error) {
		if calls++; calls < 4 {
			return -1, syscall.EINTR
		}
		return -1, syscall.EAGAIN
	})
	if result != PeekNothing || calls != 4 {
		t.Errorf("peek %d after %d calls, want nothing after 4", result, calls)
	}
	for errno, want := range map[syscall.Errno]PeekResult{syscall.ENOMEM: PeekNothing, syscall.ENOBUFS: PeekNothing,
		syscall.ECONNRESET: PeekClosed, syscall.ETIMEDOUT: PeekClosed} {
		if got := peekWith(func() (int, error) { return -1, errno }); got != want {
			t.Errorf("%v: %d, want %d", errno, got, want)
		}
	}
	if got := peekWith(func() (int, error) { return 0, nil }); got != PeekClosed {
		t.Errorf("an end: %d", got)
	}
	if got := peekWith(func() (int, error) { return 1, nil }); got != PeekData {
		t.Errorf("a byte: %d", got)
	}
}
