package sidecartest

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
)

// BlockedDials are the dials to one address, which wait until the test unblocks them. Make them with BlockDials.
type BlockedDials struct {
	Started chan struct{} // closed when the first dial has begun
	Unblock chan struct{} // to be closed, or sent to once for each dial, by the test

	startOnce sync.Once
}

// BlockDials makes the dialer's dials to an address wait. It replaces dialer.Control, and is called before the dialer
// is used.
func BlockDials(dialer *net.Dialer, blockedAddress string) *BlockedDials {
	dials := &BlockedDials{Started: make(chan struct{}), Unblock: make(chan struct{})}
	dialer.Control = func(_, address string, _ syscall.RawConn) error {
		if address == blockedAddress {
			dials.startOnce.Do(func() { close(dials.Started) })
			<-dials.Unblock
		}
		return nil
	}
	return dials
}

// ClosedAddress returns an address that refuses connections. Its port stays bound until the test ends: a port that is
// released might be bound by another test's listener, which would then get requests that are not its own.
func ClosedAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}
