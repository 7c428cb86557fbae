package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/sidecartest"
	"oakproxy/internal/system"
)

// brokenConn is a connection whose reads fail.
type brokenConn struct {
	net.Conn
	err error
}

func (c *brokenConn) Read([]byte) (int, error)        { return 0, c.err }
func (c *brokenConn) SetReadDeadline(time.Time) error { return nil }

// A connection that breaks in the ways of routers and timeouts counts as closed by its peer: after the last byte the
// request may have been executed.
func TestBrokenConnectionCountsAsClosedByPeer(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.ECONNRESET, syscall.EPIPE} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			err := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
			conn := &brokenConn{err: err}
			var c Conn
			c.Conn, c.listener = conn, &Listener{}
			if _, got := c.Read(make([]byte, 1)); !errors.Is(got, errno) {
				t.Errorf("Read returned %v, want %v", got, errno)
			}
			if !c.peerClosed {
				t.Error("the connection does not count as closed by its peer")
			}
		})
	}
}

// awaitReadable waits until something that the client wrote can be read of c.
func awaitReadable(t *testing.T, c *Conn) {
	t.Helper()
	sidecartest.Await(t, "the client's bytes", func() bool { return system.Readable(c.Conn) })
}

// What a client sends while its connection is being closed is not read as a request and does not destroy the response:
// the client reads the complete response and the end of the connection, and no reset.
func TestCloseOverUnreadBytesKeepsResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for name, sent := range map[string]string{
		"half a line":        "GET /re",
		"a complete request": sidecartest.ReadHead + "X-Correlation-Id: 2\r\n\r\n",
		"more than a buffer": strings.Repeat("x", 100<<10),
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestListener(t, 2)
			client, c := l.connect()
			c.BeginRequest()
			io.WriteString(client, sent)
			awaitReadable(t, c)
			io.WriteString(c, response)
			counter := &readCounter{TCPConn: c.Conn.(*net.TCPConn)}
			c.Conn = counter
			c.Close()
			if got, err := io.ReadAll(client); err != nil || string(got) != response {
				t.Errorf("the client read %q, %v", got, err)
			}
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Error("something was read after the close")
			}
			client.Close()
			sidecartest.Await(t, "the release of the connection", func() bool { return l.Count() == 0 })
			if n := counter.bytes.Load(); n > 0 {
				t.Errorf("%d bytes that crossed the close were read", n)
			}
		})
	}
}

// readCounter counts the bytes that are read of a connection.
type readCounter struct {
	*net.TCPConn
	bytes atomic.Int64
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// The expiry of an idle connection is cancelled by bytes that come while it is being set, and stays cancelled while the
// request is served.
func TestBytesDuringExpiryCancelIt(t *testing.T) {
	l := newTestListener(t, 2)
	client, c := l.connect()
	io.WriteString(client, sidecartest.ReadHead+"\r\n")
	awaitReadable(t, c)
	c.mu.Lock()
	c.setPhase(phaseExpiring) // as ExpireIdle does, between the system call of a read and its record
	c.mu.Unlock()
	if n, err := c.Read(make([]byte, 1<<10)); n == 0 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	c.BeginRequest()
	c.RequestRead(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseExpiring {
		t.Error("the connection is still expiring: the read with which net/http watches the client would end it")
	}
}

// net/http sets a deadline of its own when a request ends, which may overwrite that of an expiry: the next call of
// ExpireIdle expires the connection all the same.
func TestExpiryOutlivesADeadlineOfNetHTTP(t *testing.T) {
	l := newTestListener(t, 1)
	_, c := l.connect()
	l.ExpireIdle(0, 0)
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	l.ExpireIdle(0, 0)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the read ended with %v", err)
	}
}

// The client's end is noticed behind pipelined bytes that net/http has read before the handler awaits the response.
func TestDisconnectIsNoticedBehindPipelinedBytes(t *testing.T) {
	client, c := newTestListener(t, 1).connect()
	io.WriteString(client, sidecartest.ReadHead+"\r\nx")
	awaitReadable(t, c)
	if _, err := c.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	c.BeginRequest()
	disconnected := c.AwaitResponse(c.RequestRead(0))
	client.Close()
	select {
	case <-disconnected:
	case <-time.After(sidecartest.WaitTimeout):
		t.Error("the end of the client is not noticed")
	}
	if !c.BeginResponse() {
		t.Error("BeginResponse does not report what came behind the request")
	}
}

// A request that crosses the expiry of its idle connection is read; the connection ends where nothing has come.
func TestRequestThatCrossesExpiryIsRead(t *testing.T) {
	l := newTestListener(t, 4)
	read := func(c *Conn) (string, error) {
		p := make([]byte, 100)
		n, err := c.Read(p)
		return string(p[:n]), err
	}
	client, c := l.connect()
	io.WriteString(client, "GET")
	awaitReadable(t, c)
	l.ExpireIdle(0, 0)
	if got, err := read(c); got != "GET" || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
	l.ExpireIdle(0, 0) // half a request has come
	io.WriteString(client, " /")
	if got, err := read(c); got != " /" || err != nil {
		t.Errorf("the remainder: read %q, %v", got, err)
	}
	_, c = l.connect()
	l.ExpireIdle(0, time.Hour)
	if c.phase == phaseExpiring {
		t.Error("an unused connection expires before its time")
	}
	l.ExpireIdle(time.Hour, 0)
	if got, err := read(c); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: read %q, %v", got, err)
	}
	// net/http wakes its own read in the same way, and must have it back.
	client, c = l.connect()
	io.WriteString(client, "GET")
	awaitReadable(t, c)
	l.ExpireIdle(0, 0)
	c.SetReadDeadline(time.Unix(1, 0))
	if got, err := read(c); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("woken by net/http: read %q, %v", got, err)
	}
}
