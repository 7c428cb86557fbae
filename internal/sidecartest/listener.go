package sidecartest

import (
	"net"
	"os"
	"sync"
)

// FaultyListener is a listener whose next calls of Accept fail with given errors, one error for each call. Later calls
// succeed.
type FaultyListener struct {
	net.Listener

	mu     sync.Mutex
	Errors []error // errors of the next calls of Accept; set it before the listener is used, or call Fail
}

// Fail sets the errors of the next calls of Accept. It replaces the errors that are left.
func (l *FaultyListener) Fail(errs []error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Errors = errs
}

// takeError removes the first of the remaining errors and returns it. It returns nil if none is left.
func (l *FaultyListener) takeError() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.Errors) > 0 {
		err, l.Errors = l.Errors[0], l.Errors[1:]
	}
	return err
}

// Accept fails with the next error, wrapped as the net package wraps it. If no error is left, it accepts a connection.
func (l *FaultyListener) Accept() (net.Conn, error) {
	if err := l.takeError(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}
