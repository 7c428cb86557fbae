package handover

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/system"
)

// Guards against a start that fails because the previous process still uses the address for a moment. ListenAt must
// retry until the address is free. If ctx ends first, it must return the error EADDRINUSE.
func TestListenAtWaitsForAddressInUse(t *testing.T) {
	firstListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := firstListener.Addr().String()
	got := make(chan error, 1)
	go func() {
		listener, err := ListenAt(t.Context(), address)
		if err == nil {
			listener.Close()
		}
		got <- err
	}()
	time.AfterFunc(3*system.StartRetryDelay, func() { firstListener.Close() })
	if err := <-got; err != nil {
		t.Errorf("listen at an address that becomes free: got %v, want no error", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	secondListener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer secondListener.Close()
	if _, err := ListenAt(ctx, address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listen at an address in use after ctx has ended: got %v, want EADDRINUSE", err)
	}
}
