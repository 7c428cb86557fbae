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

// Each kind of response on a new connection results in the expected status.
func TestAttemptReportsOutcomeOfEachResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	always := sidecartest.AlwaysRespond
	closeAfter := func(response string) func(*sidecartest.Endpoint, net.Conn, *bufio.Reader) {
		return func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			e.ReadRequest(in)
			io.WriteString(conn, response)
		}
	}
	for _, c := range []struct {
		name  string
		serve func(*sidecartest.Endpoint, net.Conn, *bufio.Reader)
		want  balancer.Status
	}{
		{"served", always(sidecartest.ServedResponse), balancer.OK},
		{"served after an interim response",
			always("HTTP/1.1 103 Early Hints\r\n\r\n" + sidecartest.ServedResponse), balancer.OK},
		{"served in chunks", always(ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.OK},
		{"served with a duplicate", always(sidecartest.ServedResponse + sidecartest.ServedResponse), balancer.OK},
		{"length only by an unannounced close", closeAfter(ok + "\r\ndone"), balancer.Reset},
		{"length stated in two ways",
			always(ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"the same length twice", always(ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"two lengths", always(ok + "Content-Length: 4\r\nContent-Length: 9\r\n\r\ndone"), balancer.Reset},
		{"length stated in two ways after interim responses",
			always("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
				ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"served after many interim responses",
			always(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1024) + sidecartest.ServedResponse), balancer.OK},
		{"served with a long head",
			always(ok + "Content-Length: 4\r\nX: " + strings.Repeat("x", 30<<10) + "\r\n\r\ndone"), balancer.OK},
		{"served with a head of many lines", always(ok + strings.Repeat("X-Line: 1\r\n", 2500) +
			"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.OK},
		{"too many interim responses",
			always(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1025) + sidecartest.ServedResponse), balancer.Reset},
		{"length beyond the limit", always(ok + "Content-Length: 3000000000\r\n\r\ndone"), balancer.Reset},
		{"stalled in its body", always(ok + "Content-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"stalled in its head", always(ok + "Content-"), balancer.Reset},
		{"a broken chunk", always(ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\nzz\r\n"), balancer.Reset},
		{"a broken status line", always("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"another protocol", always("ICY 200 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"error", always(sidecartest.FailedResponse), balancer.EndpointError},
		{"unexpected status", always("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), balancer.EndpointError},
		{"rejected with 503", always(sidecartest.RejectedResponse), balancer.Rejected},
		{"rejected with 504",
			always("HTTP/1.1 504 Gateway Timeout\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Rejected},
		{"503 without X-Unprocessed",
			always("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), balancer.EndpointError},
		{"500 with X-Unprocessed",
			always("HTTP/1.1 500 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.EndpointError},
		{"closed after the request", closeAfter(""), balancer.Reset},
		{"truncated in its body", closeAfter(ok + "Content-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"truncated in a chunk", closeAfter(ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), balancer.Reset},
		{"truncated in its head", closeAfter(ok + "Content-"), balancer.Reset},
		{"503 truncated in its body",
			closeAfter("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\n"), balancer.Reset},
		{"malformed", always("nonsense\r\n\r\n"), balancer.Reset},
		{"malformed length", always(ok + "Content-Length: -4\r\n\r\ndone"), balancer.Reset},
		{"served until an announced close", closeAfter(ok + "Connection: close\r\n\r\ndone"), balancer.OK},
		{"body too large", always(ok + "Content-Length: 67108865\r\n\r\nx"), balancer.Reset},
		{"error body too large",
			always("HTTP/1.1 500 x\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), balancer.Reset},
		{"head too large", always(ok + "X: " + strings.Repeat("x", 200<<10)), balancer.Reset},
		{"silent", sidecartest.NeverRespond, balancer.Timeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, wait := sidecartest.NewEndpoint(t, c.serve), sidecartest.WaitTimeout
			if c.want == balancer.Timeout {
				wait = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			u := newTestClient(t, 4)
			r := getOnce(ctx, u, &Endpoint{Address: e.Address}, "/")
			if r.Status != c.want {
				t.Errorf("status %v, want %v", r.Status, c.want)
			}
			if (r.Reason == "") != (r.Err == nil) {
				t.Errorf("reason %q with error %v", r.Reason, r.Err)
			}
			if strings.HasPrefix(c.name, "stalled") && r.Reason != FailedByStall ||
				strings.HasPrefix(c.name, "truncated") && r.Reason != FailedByEnd {
				t.Errorf("reason %q, error %v", r.Reason, r.Err)
			}
			if r.Status == balancer.OK && string(r.Body) != "done" {
				t.Errorf("body %q, want %q", r.Body, "done")
			}
		})
	}
}

// A refused connection proves that the request never ran.
func TestAttemptOnRefusedConnectionIsConnectFailed(t *testing.T) {
	u := newTestClient(t, 1)
	for range 2 { // the limit is 1: a failed dial must not count as an open connection
		r := getOnce(context.Background(), u, &Endpoint{Address: sidecartest.ClosedAddress(t)}, "/")
		if r.Status != balancer.ConnectFailed {
			t.Errorf("status %v, want ConnectFailed", r.Status)
		}
	}
}

// A machine that no longer exists does not respond, so the dial times out. This proves that the request never ran.
func TestAttemptOnDialTimeoutIsConnectFailed(t *testing.T) {
	u := newTestClient(t, 1)
	u.Dialer.Timeout = 20 * time.Millisecond
	u.Dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done()
		return ctx.Err()
	}
	r := getOnce(context.Background(), u, &Endpoint{Address: sidecartest.ClosedAddress(t)}, "/")
	if r.Status != balancer.ConnectFailed {
		t.Errorf("status %v, want ConnectFailed", r.Status)
	}
}

// If a connection breaks before the request's last byte is written, the request never ran.
// Small socket buffers on both sides ensure that part of the request is unwritten.
func TestAttemptOnBreakBeforeLastByteIsConnectFailed(t *testing.T) {
	setSmallBuffer := func(option int) func(string, string, syscall.RawConn) error {
		return func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 2048) })
		}
	}
	config := net.ListenConfig{Control: setSmallBuffer(syscall.SO_RCVBUF)}
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
	u := newTestClient(t, 1)
	u.Dialer.Control = setSmallBuffer(syscall.SO_SNDBUF)
	request := newGetRequest("/")
	request.Method, request.Body = http.MethodPost, make([]byte, httpmsg.MaxBodyBytes)
	r := u.Attempt(context.Background(), &Endpoint{Address: listener.Addr().String()}, request, &Gate{}, nil)
	if r.Status != balancer.ConnectFailed {
		t.Errorf("status %v, want ConnectFailed", r.Status)
	}
}

// A dial that fails because of a resource shortage on this machine is retried for a limited time. The failure is never
// attributed to the endpoint.
func TestDialRetriesLocalResourceShortage(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	for name, c := range map[string]struct {
		errors []error
		want   balancer.Status
	}{
		"shortage that passes": {[]error{syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.EINTR}, balancer.OK},
		"shortage that stays":  {slices.Repeat([]error{syscall.ENOBUFS}, 1000), balancer.NotSent},
		"no shortage":          {slices.Repeat([]error{syscall.ENETUNREACH}, 1000), balancer.ConnectFailed},
	} {
		u := newTestClient(t, 1)
		u.Dialer.Control = func(string, string, syscall.RawConn) error {
			if len(c.errors) == 0 {
				return nil
			}
			err := c.errors[0]
			c.errors = c.errors[1:]
			return err
		}
		ctx, cancel := context.WithTimeout(t.Context(), sidecartest.WaitTimeout)
		r := getOnce(ctx, u, &Endpoint{Address: e.Address}, "/")
		cancel()
		if r.Status != c.want {
			t.Errorf("%s: status %v (error %v), want %v", name, r.Status, r.Err, c.want)
		}
		if open := u.Counts().Open; c.want != balancer.OK && open != 0 {
			t.Errorf("%s: %d connections are counted as open, want 0", name, open)
		}
	}
}

// failingConn is a connection that accepts all writes and whose reads fail with err.
type failingConn struct {
	net.Conn
	err error
}

func (c *failingConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *failingConn) Read([]byte) (int, error) { return 0, c.err }

func (c *failingConn) SetDeadline(time.Time) error { return nil }

func (c *failingConn) SetReadDeadline(time.Time) error { return nil }

func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

func (c *failingConn) Close() error { return nil }

// If a connection breaks after the request's last byte was written, the status is Reset, whatever the error. In
// particular, ETIMEDOUT before the attempt's deadline is not a timeout of the attempt.
func TestAttemptOnBrokenConnectionIsReset(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE,
	} {
		u, endpoint := newTestClient(t, 1), &Endpoint{Address: "127.0.0.1:1"}
		err := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
		u.open = 1
		ctx, cancel := context.WithTimeout(t.Context(), sidecartest.WaitTimeout)
		_, gotErr := u.exchange(ctx, newConn(&failingConn{err: err}, endpoint), newGetRequest("/"), &Gate{}, nil)
		if status := failureStatus(ctx, gotErr); status != balancer.Reset || !errors.Is(gotErr, errno) ||
			u.Counts().Open != 0 {
			t.Errorf("%v: status %v (error %v), %d connections open; want Reset, the same error and no open connection",
				errno, status, gotErr, u.Counts().Open)
		}
		cancel()
	}
}
