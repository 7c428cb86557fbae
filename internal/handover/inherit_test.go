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

// Guards against closing the listening socket of all processes when one of them stops. This would happen if closing the
// inherited listener shut down the socket instead of closing only this process's descriptor.
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
		fd, err := syscall.Dup(int(file.Fd())) // Listen takes ownership of fd
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		inherited, err := Listen(t.Context(), "127.0.0.1:1", fmt.Sprint(fd))
		if err != nil {
			t.Fatal(err)
		}
		if inherited.Addr().String() != original.Addr().String() {
			t.Errorf("got a listener on %s, want %s", inherited.Addr(), original.Addr())
		}
		client, err := net.Dial("tcp", original.Addr().String())
		if err != nil {
			t.Fatalf("connect to the socket: got %v, want no error", err)
		}
		defer client.Close()
		conn, err := inherited.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		inherited.Close()
	}
}

// Guards against starting on an inherited descriptor that is not a listening TCP socket, which happens if the
// environment variable is set wrongly. Listen must return an error that names the variable and the reason.
func TestListenRejectsUnusableInheritedSocket(t *testing.T) {
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	udpConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udpConn.Close()
	udpFile, err := udpConn.(*net.UDPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer udpFile.Close()
	for _, test := range []struct {
		name, passed string
		want         error
	}{
		{"no number", "three", ErrNotDescriptor},
		{"negative", "-1", ErrNotDescriptor},
		{"not open", "1000000", ErrNotSocket},
		{"a file", fmt.Sprint(file.Fd()), ErrNotSocket},
		{"no listener", fmt.Sprint(udpFile.Fd()), ErrNotListening},
		{"a Unix listener", fmt.Sprint(unixListenerDescriptor(t)), ErrNotTCP},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := Listen(t.Context(), "127.0.0.1:0", test.passed)
			if !errors.Is(err, test.want) || !strings.Contains(err.Error(), config.InheritedSocketVariable) {
				t.Errorf("got listener %v and error %v, want an error that names %s and matches %q",
					l, err, config.InheritedSocketVariable, test.want)
			}
		})
	}
}

// unixListenerDescriptor returns the descriptor of a listening Unix socket. The caller owns the descriptor.
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
