package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"oakproxy/internal/config"
)

// An inherited socket is used as it is, and closing its listener leaves the socket open for other processes.
func TestInheritedSocketStaysOpenForOtherProcesses(t *testing.T) {
	original, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer original.Close()
	for range 2 {
		file, err := original.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		fd, err := syscall.Dup(int(file.Fd())) // which Listen owns from here on
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		passed, err := Listen(t.Context(), "127.0.0.1:1", fmt.Sprint(fd))
		if err != nil {
			t.Fatal(err)
		}
		if passed.Addr().String() != original.Addr().String() {
			t.Errorf("listens on %s, want %s", passed.Addr(), original.Addr())
		}
		client, err := net.Dial("tcp", original.Addr().String())
		if err != nil {
			t.Fatalf("after the other process is done: %v", err)
		}
		defer client.Close()
		conn, err := passed.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		passed.Close()
	}
}

// What can't be listened on stops the start, with an error that names the variable and says why.
func TestListenRejectsUnusableInheritedSocket(t *testing.T) {
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer packets.Close()
	udp, err := packets.(*net.UDPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	for _, test := range []struct {
		name, passed string
		want         error
	}{
		{"no number", "three", ErrNotDescriptor},
		{"negative", "-1", ErrNotDescriptor},
		{"not open", "1000000", ErrNotSocket},
		{"a file", fmt.Sprint(file.Fd()), ErrNotSocket},
		{"no listener", fmt.Sprint(udp.Fd()), ErrNotListening},
		{"a Unix listener", fmt.Sprint(unixListenerDescriptor(t)), ErrNotTCP},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := Listen(t.Context(), "127.0.0.1:0", test.passed)
			if !errors.Is(err, test.want) || !strings.Contains(err.Error(), config.InheritedSocketVariable) {
				t.Errorf("%v, %v, want an error that names %s and matches %q",
					l, err, config.InheritedSocketVariable, test.want)
			}
		})
	}
}

// unixListenerDescriptor returns the descriptor of a listening Unix socket, which its caller owns.
func unixListenerDescriptor(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("unix", filepath.Join(t.TempDir(), "socket"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	file, err := listener.(*net.UnixListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return fd
}
