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

// ListenAt waits for an address that is in use for a moment; it returns an error where ctx ends before.
func TestListenAtWaitsForAddressInUse(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := holder.Addr().String()
	got := make(chan error, 1)
	go func() {
		listener, err := ListenAt(t.Context(), address)
		if err == nil {
			listener.Close()
		}
		got <- err
	}()
	time.AfterFunc(3*system.StartRetryDelay, func() { holder.Close() })
	if err := <-got; err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	again, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if _, err := ListenAt(ctx, address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("with SIGTERM during the start: %v", err)
	}
}
