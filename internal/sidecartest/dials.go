package sidecartest

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
)

// BlockedDials controls the dials to one address, which block until the test unblocks them. BlockDials creates it.
type BlockedDials struct {
	Started chan struct{} // channel that is closed when the first dial has begun
	Unblock chan struct{} // channel that the test closes to unblock all dials, or sends a value to unblock one dial

	startOnce sync.Once
}

// BlockDials makes the dialer's dials to blockedAddress block. It replaces dialer.Control, so it must be called before
// the dialer is used.
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

// ClosedAddress returns an address that refuses connections. Its port stays bound until the test ends: if it were
// released, another test's listener might bind it and receive requests that are not meant for it.
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
