package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// Each row of the table of outcomes, on a new connection.
func TestOutcomes(t *testing.T) {
	hangUp := func(answer string) func(*sidecartest.Endpoint, net.Conn, *bufio.Reader) {
		return func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			e.Next(in)
			io.WriteString(conn, answer)
		}
	}
	for _, c := range []struct {
		name  string
		serve func(*sidecartest.Endpoint, net.Conn, *bufio.Reader)
		want  balancer.Status
	}{
		{"served", sidecartest.Always(sidecartest.Served), balancer.OK},
		{"served after an interim answer", sidecartest.Always("HTTP/1.1 103 Early Hints\r\n\r\n" + sidecartest.Served), balancer.OK},
		{"served in chunks", sidecartest.Always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.OK},
		{"served with a copy behind", sidecartest.Always(sidecartest.Served + sidecartest.Served), balancer.OK},
		{"whole only by the connection's end", hangUp("HTTP/1.1 200 OK\r\n\r\ndone"), balancer.Reset},
		{"whole in two ways", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"the same length twice", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"two lengths", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\ndone"), balancer.Reset},
		{"in two ways after interim answers", sidecartest.Always("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"interim answers without end", sidecartest.Always(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)), balancer.Reset},
		{"a length without end", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ndone"), balancer.Reset},
		{"stalled in its body", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"stalled in its head", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-"), balancer.Reset},
		{"a broken chunk", sidecartest.Always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\nzz\r\n"), balancer.Reset},
		{"a broken status line", sidecartest.Always("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"another protocol", sidecartest.Always("ICY 200 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"error", sidecartest.Always(sidecartest.Failing), balancer.EndpointError},
		{"an answer nobody expects", sidecartest.Always("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), balancer.EndpointError},
		{"full", sidecartest.Always(sidecartest.TurnedAway), balancer.Rejected},
		{"over already", sidecartest.Always("HTTP/1.1 504 Gateway Timeout\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Rejected},
		{"503 without proof", sidecartest.Always("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), balancer.EndpointError},
		{"500 with a proof that it must not claim", sidecartest.Always("HTTP/1.1 500 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.EndpointError},
		{"closed after the request", hangUp(""), balancer.Reset},
		{"cut in its body", hangUp("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"cut in a chunk", hangUp("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), balancer.Reset},
		{"cut in its head", hangUp("HTTP/1.1 200 OK\r\nContent-"), balancer.Reset},
		{"503 cut before it is whole", hangUp("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\n"), balancer.Reset},
		{"malformed", sidecartest.Always("nonsense\r\n\r\n"), balancer.Reset},
		{"malformed length", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"), balancer.Reset},
		{"served until the announced end", hangUp("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone"), balancer.OK},
		{"body too large", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 67108865\r\n\r\nx"), balancer.Reset},
		{"an error's body too large", sidecartest.Always("HTTP/1.1 500 x\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), balancer.Reset},
		{"head without end", sidecartest.Always("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10)), balancer.Reset},
		{"silent", sidecartest.Silent, balancer.Timeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, wait := sidecartest.NewEndpoint(t, c.serve), sidecartest.Patience
			if c.want == balancer.Timeout {
				wait = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			u := newTestUpstream(t, 4)
			r := u.Attempt(ctx, &Endpoint{Address: e.Address}, get("/"), &Gate{})
			if r.Status != c.want {
				t.Errorf("status %v, want %v", r.Status, c.want)
			}
			if r.Status == balancer.OK && string(r.Body) != "done" {
				t.Errorf("body %q", r.Body)
			}
		})
	}
}

func TestConnectionRefusedNeverRan(t *testing.T) {
	u := newTestUpstream(t, 1)
	for range 2 { // a failed connection gives its place back
		r := u.Attempt(context.Background(), &Endpoint{Address: sidecartest.ClosedAddress(t)}, get("/"), &Gate{})
		if r.Status != balancer.ConnectFailed {
			t.Errorf("status %v, want ConnectFailed", r.Status)
		}
	}
}

// A machine that vanished says nothing: the connection never comes up.
func TestConnectionThatNeverComesUp(t *testing.T) {
	u := newTestUpstream(t, 1)
	u.Dialer.Timeout = 20 * time.Millisecond
	u.Dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done()
		return ctx.Err()
	}
	r := u.Attempt(context.Background(), &Endpoint{Address: sidecartest.ClosedAddress(t)}, get("/"), &Gate{})
	if r.Status != balancer.ConnectFailed {
		t.Errorf("status %v, want ConnectFailed", r.Status)
	}
}

// A connection that breaks before the last byte is written proves that the
// request never ran. Small buffers on both sides leave part of it unwritten.
func TestBreakBeforeTheLastByteNeverRan(t *testing.T) {
	small := func(option int) func(string, string, syscall.RawConn) error {
		return func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 2048) })
		}
	}
	config := net.ListenConfig{Control: small(syscall.SO_RCVBUF)}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		io.ReadFull(conn, make([]byte, 64))
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}()
	u := newTestUpstream(t, 1)
	u.Dialer.Control = small(syscall.SO_SNDBUF)
	m := get("/")
	m.Method, m.Body = http.MethodPost, make([]byte, httpmsg.MaxBodyBytes)
	if r := u.Attempt(context.Background(), &Endpoint{Address: listener.Addr().String()}, m, &Gate{}); r.Status != balancer.ConnectFailed {
		t.Errorf("status %v, want ConnectFailed", r.Status)
	}
}

// A shortage of this machine's is waited out for a moment, and never held against the endpoint.
func TestShortageAtADial(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	for what, c := range map[string]struct {
		errors []error
		want   balancer.Status
	}{
		"passes":         {[]error{syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.EINTR}, balancer.OK},
		"stays":          {slices.Repeat([]error{syscall.ENOBUFS}, 1000), balancer.NotSent},
		"is no shortage": {slices.Repeat([]error{syscall.ENETUNREACH}, 1000), balancer.ConnectFailed},
	} {
		u := newTestUpstream(t, 1)
		u.Dialer.Control = func(string, string, syscall.RawConn) error {
			if len(c.errors) == 0 {
				return nil
			}
			err := c.errors[0]
			c.errors = c.errors[1:]
			return err
		}
		ctx, cancel := context.WithTimeout(t.Context(), sidecartest.Patience)
		r := u.Attempt(ctx, &Endpoint{Address: e.Address}, get("/"), &Gate{})
		cancel()
		if r.Status != c.want {
			t.Errorf("%s: %v (%v), want %v", what, r.Status, r.Err, c.want)
		}
		if open := u.Counts().Open; c.want != balancer.OK && open != 0 {
			t.Errorf("%s: %d connections are counted open", what, open)
		}
	}
}

// failingRead is a connection to an endpoint that takes a request and then breaks.
type failingRead struct {
	net.Conn
	err error
}

func (c *failingRead) Write(p []byte) (int, error) { return len(p), nil }

func (c *failingRead) Read([]byte) (int, error) { return 0, c.err }

func (c *failingRead) SetDeadline(time.Time) error { return nil }

func (c *failingRead) SetReadDeadline(time.Time) error { return nil }

func (c *failingRead) SetWriteDeadline(time.Time) error { return nil }

func (c *failingRead) Close() error { return nil }

// A connection to an endpoint that breaks after the request's last byte is a reset, by whatever name: with time left,
// ETIMEDOUT is no time-out of the request.
func TestBrokenEndpointConnectionsAreResets(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE} {
		u, at := newTestUpstream(t, 1), &Endpoint{Address: "127.0.0.1:1"}
		err := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
		u.open = 1
		ctx, cancel := context.WithTimeout(t.Context(), sidecartest.Patience)
		_, got := u.exchange(ctx, newConn(&failingRead{err: err}, at), get("/"), &Gate{})
		if status := failureStatus(ctx, got); status != balancer.Reset || !errors.Is(got, errno) || u.Counts().Open != 0 {
			t.Errorf("%v: %v (%v), %d connections open; want a reset", errno, status, got, u.Counts().Open)
		}
		cancel()
	}
}
