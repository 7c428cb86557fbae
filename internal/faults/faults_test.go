package faults

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/config"
)

const (
	request  = "ping"                      // request that exchange sends
	response = "a response of some length" // response of an endpoint that newEndpoint started
)

// newEndpoint starts an endpoint that, on each connection, reads one request, writes one response and closes.
func newEndpoint(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := io.ReadFull(conn, make([]byte, len(request))); err == nil {
					io.WriteString(conn, response)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// exchange sends a request to an address and reads until the connection ends or the timeout passes. It joins the errors
// of the write and the read, because a reset may arrive during either of them.
func exchange(address string, timeout time.Duration) (got string, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	_, writeErr := io.WriteString(conn, request)
	text, readErr := io.ReadAll(conn)
	return string(text), errors.Join(writeErr, readErr)
}

// Guards against a fault proxy that does not inject the chosen fault. Tests of the sidecar would then pass without the
// fault that they are meant to run under.
func TestProxyInjectsConnectionFaults(t *testing.T) {
	const long, short = 20 * time.Second, 300 * time.Millisecond
	for name, c := range map[string]struct {
		fault   ConnFault
		timeout time.Duration
		want    string
		err     error
	}{
		"none":              {ConnFault{}, long, response, nil},
		"delayed":           {ConnFault{Delay: 100 * time.Millisecond}, long, response, nil},
		"in chunks":         {ConnFault{ChunkBytes: 3}, long, response, nil},
		"truncated cleanly": {ConnFault{TruncateAfter: 5, CleanEnd: true}, long, response[:5], nil},
		"reset on accept":   {ConnFault{ResetOnAccept: true}, long, "", syscall.ECONNRESET},
		"black hole":        {ConnFault{Blackhole: true}, short, "", os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, err := NewProxy(newEndpoint(t), func(int) ConnFault { return c.fault })
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			start := time.Now()
			got, err := exchange(proxy.Address(), c.timeout)
			if got != c.want || !errors.Is(err, c.err) {
				t.Errorf("got response %q and error %v, want %q and %v", got, err, c.want, c.err)
			}
			if took := time.Since(start); took < c.fault.Delay {
				t.Errorf("got the response after %v, want at least the delay %v", took, c.fault.Delay)
			}
		})
	}
}

// Guards against a truncated connection that ends with a FIN although the fault asks for a reset. Tests of the
// sidecar would then not cover a reset in the middle of a response.
func TestProxyResetsTruncatedConnections(t *testing.T) {
	proxy, err := NewProxy(newEndpoint(t), func(int) ConnFault { return ConnFault{TruncateAfter: 5} })
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	got, err := exchange(proxy.Address(), 20*time.Second) // the reset may discard bytes sent before it
	if !errors.Is(err, syscall.ECONNRESET) || len(got) > 5 {
		t.Errorf("got response %q and error %v, want at most 5 bytes and ECONNRESET", got, err)
	}
}

// Guards against an injection that the process does not notice, that fails another operation than the chosen one, or
// that stays after the next injection has replaced it.
func TestInjectedFaultsHoldUntilTheNextInjection(t *testing.T) {
	dir := t.TempDir()
	path, target := filepath.Join(dir, "injection"), filepath.Join(dir, "file")
	var host config.Host
	Inject(&host, path)
	replace := func() error { return host.Files.ReplaceFile(target, target+".new", []byte("text"), true) }
	if err := replace(); err != nil {
		t.Errorf("replace a file without an injection: got %v, want no error", err)
	}
	for _, operation := range []FileOperation{Write, Sync, Rename} {
		if err := (Injection{FailOperation: operation, Errno: syscall.EIO}).Store(path); err != nil {
			t.Fatal(err)
		}
		var pathError *os.PathError
		if err := replace(); !errors.Is(err, syscall.EIO) || !errors.As(err, &pathError) ||
			pathError.Op != string(operation) {
			t.Errorf("replace a file while %s fails: got %v, want EIO of that operation", operation, err)
		}
	}
	if err := (Injection{FailOperation: Read, Errno: syscall.EIO}).Store(path); err != nil {
		t.Fatal(err)
	}
	if _, _, err := host.Files.ReadFile(target, 100); !errors.Is(err, syscall.EIO) {
		t.Errorf("read a file while read fails: got %v, want EIO", err)
	}
	if err := (Injection{WallClockStep: time.Hour}).Store(path); err != nil {
		t.Fatal(err)
	}
	if step := time.Until(host.Time.Wall()); step < 59*time.Minute || step > time.Hour {
		t.Errorf("got a wall clock step of %v, want 1 h", step)
	}
	if err := replace(); err != nil {
		t.Errorf("replace a file after the fault: got %v, want no error", err)
	}
}
