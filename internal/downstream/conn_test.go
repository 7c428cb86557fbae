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

// brokenConn is a connection whose reads fail with err.
type brokenConn struct {
	net.Conn
	err error
}

func (c *brokenConn) Read([]byte) (int, error)        { return 0, c.err }
func (c *brokenConn) SetReadDeadline(time.Time) error { return nil }

// A connection that breaks because of a timeout, a router's error or a reset is treated as closed by its peer. An
// upload whose client's connection has broken is therefore stopped before its last bytes are sent to the endpoint:
// after the last byte, the request may have been executed.
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
				t.Error("peerClosed is false after the read failed, want true")
			}
		})
	}
}

// awaitReadable waits until bytes that the client wrote can be read from c.
func awaitReadable(t *testing.T, c *Conn) {
	t.Helper()
	sidecartest.Await(t, "the client's bytes", func() bool { return system.Readable(c.Conn) })
}

// Bytes that a client sends while its connection is being closed are not read, and do not destroy the response: the
// client reads the complete response and then the end of the connection, not a reset.
func TestCloseOverUnreadBytesKeepsResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for name, unread := range map[string]string{
		"half a line":        "GET /re",
		"a complete request": sidecartest.ReadHead + "X-Correlation-Id: 2\r\n\r\n",
		"more than a buffer": strings.Repeat("x", 100<<10),
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestListener(t, 2)
			client, c := l.connect()
			c.BeginRequest()
			io.WriteString(client, unread)
			awaitReadable(t, c)
			io.WriteString(c, response)
			counter := &readCounter{TCPConn: c.Conn.(*net.TCPConn)}
			c.Conn = counter
			c.Close()
			if got, err := io.ReadAll(client); err != nil || string(got) != response {
				t.Errorf("the client read %q with error %v, want %q and no error", got, err, response)
			}
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Error("Read after Close returned no error, want one")
			}
			client.Close()
			sidecartest.Await(t, "the release of the connection", func() bool { return l.Count() == 0 })
			if n := counter.bytes.Load(); n > 0 {
				t.Errorf("%d bytes were read after Close, want 0", n)
			}
		})
	}
}

// readCounter counts the bytes that are read from a connection.
type readCounter struct {
	*net.TCPConn
	bytes atomic.Int64
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Bytes that arrive while the expiry of an idle connection begins cancel the expiry. It stays cancelled while the
// request is served.
func TestBytesDuringExpiryCancelIt(t *testing.T) {
	l := newTestListener(t, 2)
	client, c := l.connect()
	io.WriteString(client, sidecartest.ReadHead+"\r\n")
	awaitReadable(t, c)
	c.mu.Lock()
	c.setPhase(phaseExpiring) // as ExpireIdle may do between the system call of a read and recordRead
	c.mu.Unlock()
	if n, err := c.Read(make([]byte, 1<<10)); n == 0 || err != nil {
		t.Fatalf("Read returned %d bytes and error %v, want at least 1 byte and no error", n, err)
	}
	c.BeginRequest()
	c.FinishRequestRead(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseExpiring {
		t.Error("the phase is still phaseExpiring: the read by which net/http watches the client would close the connection")
	}
}

// When a request ends, net/http sets a read deadline of its own, which may overwrite the deadline in the past that
// ExpireIdle has set. The next call of ExpireIdle still expires the connection.
func TestExpirySurvivesDeadlineSetByNetHTTP(t *testing.T) {
	l := newTestListener(t, 1)
	_, c := l.connect()
	l.ExpireIdle(0, 0)
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	l.ExpireIdle(0, 0)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Read returned error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// A disconnect is noticed even if pipelined bytes precede it and net/http has read them before NotifyDisconnect is
// called.
func TestDisconnectIsNoticedBehindPipelinedBytes(t *testing.T) {
	client, c := newTestListener(t, 1).connect()
	io.WriteString(client, sidecartest.ReadHead+"\r\nx")
	awaitReadable(t, c)
	if _, err := c.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	c.BeginRequest()
	disconnected := c.NotifyDisconnect(c.FinishRequestRead(0))
	client.Close()
	select {
	case <-disconnected:
	case <-time.After(sidecartest.WaitTimeout):
		t.Error("the channel of NotifyDisconnect is not closed after the client disconnected")
	}
	if !c.BeginResponse() {
		t.Error("BeginResponse returned false, want true for a request with a byte after it")
	}
}

// Guards against a lowered limit that closes too few connections: net/http may begin to read a connection, and set its
// own deadline, only after the connection was selected.
func TestLowerLimitExpiresConnectionThatIsNotReadYet(t *testing.T) {
	l := newTestListener(t, 1)
	_, c := l.connect()
	l.SetLimits(0, 0)
	c.SetReadDeadline(time.Time{})
	readErr := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		readErr <- err
	}()
	err := sidecartest.Receive(t, "the read to end with the connection's expiry", readErr)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Read returned %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// A request that arrives during the expiry of its idle connection is read. Without a request, the connection expires.
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
		t.Errorf("read %q with error %v, want %q and no error", got, err, "GET")
	}
	l.ExpireIdle(0, 0) // has no effect, because a part of a request was read
	io.WriteString(client, " /")
	if got, err := read(c); got != " /" || err != nil {
		t.Errorf("after a part of a request: read %q with error %v, want %q and no error", got, err, " /")
	}
	_, c = l.connect()
	l.ExpireIdle(0, time.Hour)
	if c.phase == phaseExpiring {
		t.Error("a connection without requests expires before minUnused has passed")
	}
	l.ExpireIdle(time.Hour, 0)
	if got, err := read(c); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("nothing sent: read %q with error %v, want nothing and %v", got, err, os.ErrDeadlineExceeded)
	}
	// net/http also wakes its own read by a deadline in the past, and that read must return.
	client, c = l.connect()
	io.WriteString(client, "GET")
	awaitReadable(t, c)
	l.ExpireIdle(0, 0)
	c.SetReadDeadline(time.Unix(1, 0))
	if got, err := read(c); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("woken by net/http: read %q with error %v, want nothing and %v", got, err, os.ErrDeadlineExceeded)
	}
}
