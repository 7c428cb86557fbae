package sidecartest

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
)

// ClosedAddress is one that refuses connections. Its port stays bound until the test ends: a port given back
// may become another test's listener, which would then get requests that are not its own.
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
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// held stops dials to an address until they are let go.
type held struct {
	Begun, Unblock chan struct{}
	once           sync.Once
}

// BlockDials has the dials to this address wait.
func BlockDials(dialer *net.Dialer, held_ string) *held {
	h := &held{Begun: make(chan struct{}), Unblock: make(chan struct{})}
	dialer.Control = func(_, address string, _ syscall.RawConn) error {
		if address == held_ {
			h.once.Do(func() { close(h.Begun) })
			<-h.Unblock
		}
		return nil
	}
	return h
}
