package sidecartest

import (
	"net"
	"os"
	"sync"
)

// FaultyListener fails accepts with these errors, one after another, and then accepts.
type FaultyListener struct {
	net.Listener
	mu     sync.Mutex
	Errors []error
}

func (l *FaultyListener) Fail(errors []error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Errors = errors
}

// next returns the error to fail with, or nil.
func (l *FaultyListener) next() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.Errors) > 0 {
		err, l.Errors = l.Errors[0], l.Errors[1:]
	}
	return err
}

func (l *FaultyListener) Accept() (net.Conn, error) {
	if err := l.next(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}
