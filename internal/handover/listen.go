package handover

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"

	"oakproxy/internal/config"
	"oakproxy/internal/system"
)

// Listen returns the clients' listener: the inherited one, or one at an address
// of its own where none is passed.
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

// ListenAt listens at an address, once the system lets it.
func ListenAt(ctx context.Context, address string) (listener net.Listener, err error) {
	err = system.RetryAtStart(ctx, func() error {
		listener, err = net.Listen("tcp", address)
		return err
	})
	return listener, err
}

// inherit takes a listening TCP socket over. To close the listener ends only this
// process's hold on the socket: others go on accepting from it.
func inherit(ctx context.Context, passed string) (net.Listener, error) {
	fd, err := strconv.Atoi(passed)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("%q is not the number of a descriptor", passed)
	}
	accepts, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d is no socket: %w", fd, err)
	}
	if accepts == 0 {
		return nil, fmt.Errorf("descriptor %d does not listen", fd)
	}
	file := os.NewFile(uintptr(fd), "passed")
	var listener net.Listener
	err = system.RetryAtStart(ctx, func() error {
		listener, err = net.FileListener(file) // has a descriptor of its own
		return err
	})
	file.Close()
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := listener.(*net.TCPListener); !ok {
		listener.Close()
		return nil, fmt.Errorf("descriptor %d listens on %s, not TCP", fd, listener.Addr().Network())
	}
	return listener, nil
}
