package system

import (
	"syscall"
	"testing"
)

// A peek that a signal interrupts is repeated. A resource shortage on this machine does not make Peek report the
// connection as closed.
func TestPeekIgnoresSignalsAndShortages(t *testing.T) {
	calls := 0
	result := peekWith(func() (int, error) {
		if calls++; calls < 4 {
			return -1, syscall.EINTR
		}
		return -1, syscall.EAGAIN
	})
	if result != PeekNothing || calls != 4 {
		t.Errorf("result %d after %d calls, want %d after 4", result, calls, PeekNothing)
	}
	for errno, want := range map[syscall.Errno]PeekResult{syscall.ENOMEM: PeekNothing, syscall.ENOBUFS: PeekNothing,
		syscall.ECONNRESET: PeekClosed, syscall.ETIMEDOUT: PeekClosed} {
		if got := peekWith(func() (int, error) { return -1, errno }); got != want {
			t.Errorf("result after error %v: %d, want %d", errno, got, want)
		}
	}
	if got := peekWith(func() (int, error) { return 0, nil }); got != PeekClosed {
		t.Errorf("result at the end of the data: %d, want %d", got, PeekClosed)
	}
	if got := peekWith(func() (int, error) { return 1, nil }); got != PeekData {
		t.Errorf("result with a byte to read: %d, want %d", got, PeekData)
	}
}
