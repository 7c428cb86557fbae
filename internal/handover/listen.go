package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"

	"oakproxy/internal/config"
	"oakproxy/internal/system"
)

// The reasons why Listen rejects an inherited descriptor. Match them with errors.Is. Each text ends a
// message that begins with the descriptor.
var (
	ErrNotDescriptor = errors.New("is not a file descriptor number")
	ErrNotSocket     = errors.New("is not a socket")
	ErrNotListening  = errors.New("is not a listening socket")
	ErrNotTCP        = errors.New("not TCP")
)

// Listen returns the listener for clients. If the argument passed is empty, Listen opens a new listener at address.
// Otherwise passed is the descriptor number of an inherited listening socket, and the listener uses that socket. Until
// ctx ends, Listen retries errors that are transient during a start (system.RetryAtStart). An error about the inherited
// socket names config.InheritedSocketVariable.
func Listen(ctx context.Context, address, passed string) (net.Listener, error) {
	if passed == "" {
		listener, err := ListenAt(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("listen for clients: %w", err)
		}
		return listener, nil
	}
	listener, err := inherit(ctx, passed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", config.InheritedSocketVariable, err)
	}
	return listener, nil
}

// ListenAt listens on TCP at address. Until ctx ends, it retries errors that are transient during a start
// (system.RetryAtStart), such as an address that the previous process still uses. It returns the error of the last
// attempt.
func ListenAt(ctx context.Context, address string) (listener net.Listener, err error) {
	err = system.RetryAtStart(ctx, func() error {
		listener, err = net.Listen("tcp", address)
		return err
	})
	return listener, err
}

// inherit returns a listener on an inherited socket. The argument passed is the number of the socket's descriptor. If
// the descriptor is a listening socket, inherit takes ownership of it. Closing the listener closes only this process's
// descriptor: other processes continue to accept.
func inherit(ctx context.Context, passed string) (net.Listener, error) {
	fd, err := parseListeningDescriptor(passed)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "passed")
	defer file.Close()
	var listener net.Listener
	err = system.RetryAtStart(ctx, func() error {
		listener, err = net.FileListener(file) // duplicates the descriptor
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("file descriptor %d: %w", fd, err)
	}
	if _, ok := listener.(*net.TCPListener); !ok {
		listener.Close()
		return nil, fmt.Errorf("file descriptor %d listens on %s, %w", fd, listener.Addr().Network(), ErrNotTCP)
	}
	return listener, nil
}

// parseListeningDescriptor parses the argument passed as the number of a descriptor, and checks that the descriptor is
// a listening socket.
func parseListeningDescriptor(passed string) (fd int, err error) {
	fd, err = strconv.Atoi(passed)
	if err != nil || fd < 0 {
		return 0, fmt.Errorf("%q %w", passed, ErrNotDescriptor)
	}
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return 0, fmt.Errorf("file descriptor %d %w: %w", fd, ErrNotSocket, err)
	}
	if listening == 0 {
		return 0, fmt.Errorf("file descriptor %d %w", fd, ErrNotListening)
	}
	return fd, nil
}
