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

// The reasons for which Listen rejects what was passed to it as a listening socket. Match them by errors.Is.
var (
	ErrNotDescriptor = errors.New("is not the number of a descriptor")
	ErrNotSocket     = errors.New("is no socket")
	ErrNotListening  = errors.New("does not listen")
	ErrNotTCP        = errors.New("not TCP")
)

// Listen returns the listener for clients: of the inherited socket whose descriptor is passed, or a new one at
// address where passed is empty. It retries what fails for a moment at a start, until ctx ends. An error on the
// inherited socket names the variable that passes it.
func Listen(ctx context.Context, address, passed string) (net.Listener, error) {
	if passed == "" {
		listener, err := ListenAt(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return listener, nil
	}
	listener, err := inherit(ctx, passed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", config.InheritedSocketVariable, err)
	}
	return listener, nil
}

// ListenAt listens on TCP at address. It retries what fails for a moment at a start, such as an address that the
// process before still holds, until ctx ends; its error is then that of the latest attempt.
func ListenAt(ctx context.Context, address string) (listener net.Listener, err error) {
	err = system.RetryAtStart(ctx, func() error {
		listener, err = net.Listen("tcp", address)
		return err
	})
	return listener, err
}

// inherit returns a listener on a passed descriptor, which it owns from here on. Closing the listener ends only this
// process's descriptor of the socket: other processes go on accepting.
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
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := listener.(*net.TCPListener); !ok {
		listener.Close()
		return nil, fmt.Errorf("descriptor %d listens on %s, %w", fd, listener.Addr().Network(), ErrNotTCP)
	}
	return listener, nil
}

// parseListeningDescriptor returns the descriptor that passed is the number of, which is a listening socket.
func parseListeningDescriptor(passed string) (fd int, err error) {
	fd, err = strconv.Atoi(passed)
	if err != nil || fd < 0 {
		return 0, fmt.Errorf("%q %w", passed, ErrNotDescriptor)
	}
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return 0, fmt.Errorf("descriptor %d %w: %w", fd, ErrNotSocket, err)
	}
	if listening == 0 {
		return 0, fmt.Errorf("descriptor %d %w", fd, ErrNotListening)
	}
	return fd, nil
}
