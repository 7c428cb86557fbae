package handover

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"oakproxy/internal/config"
)

// A passed socket is taken as it is, and closing it here leaves it open for
// whoever else holds it.
func TestPassedSocketIsShared(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	for range 2 {
		file, err := held.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		fd, err := syscall.Dup(int(file.Fd())) // which listen owns from here on
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		passed, err := Listen(t.Context(), "127.0.0.1:1", fmt.Sprint(fd))
		if err != nil {
			t.Fatal(err)
		}
		if passed.Addr().String() != held.Addr().String() {
			t.Errorf("listens on %s, want %s", passed.Addr(), held.Addr())
		}
		client, err := net.Dial("tcp", held.Addr().String())
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

// What is passed and can't be listened on stops the start, with a line that
// names the variable.
func TestUnusablePassedSocket(t *testing.T) {
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
	for name, passed := range map[string]string{
		"no number": "three", "negative": "-1", "not open": "1000000", "a file": fmt.Sprint(file.Fd()), "no listener": fmt.Sprint(udp.Fd()),
	} {
		if l, err := Listen(t.Context(), "127.0.0.1:0", passed); err == nil || !strings.Contains(err.Error(), config.InheritedSocketVariable) {
			t.Errorf("%s: %v, %v, want an error that names %s", name, l, err, config.InheritedSocketVariable)
		}
	}
}
