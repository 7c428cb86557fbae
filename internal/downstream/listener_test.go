package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/sidecartest"
	"oakproxy/internal/system"
)

// The errors that accept(2) documents for a moment's trouble end neither the listener of clients nor that of
// operators: the next connection is accepted.
func TestAcceptOutlivesItsErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.ENFILE, syscall.EMFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT,
		syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &Listener{Listener: &sidecartest.FaultyListener{Listener: inner, Errors: slices.Repeat([]error{errno}, 5)}, MaxConnections: 4, MaxUsed: 4}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {})}
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(l) }()
			response, err := http.Get("http://" + inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			server.Close()
			if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
				t.Errorf("the server ended with %v", err)
			}
		})
	}
}

// brokenConn is a connection whose reads fail.
type brokenConn struct {
	net.Conn
	err error
}

func (c *brokenConn) Read([]byte) (int, error)        { return 0, c.err }
func (c *brokenConn) SetReadDeadline(time.Time) error { return nil }

// A connection that breaks as routers and time-outs break it is a reset: after the last byte the request may have run.
func TestBrokenConnectionsAreResets(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			err := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
			conn := &brokenConn{err: err}
			var c Conn
			c.Conn, c.listener = conn, &Listener{}
			if _, got := c.Read(make([]byte, 1)); !errors.Is(got, errno) {
				t.Errorf("the read ended with %v", got)
			}
			if !c.peerClosed {
				t.Error("the client is not known to have left")
			}
		})
	}
}

// door is a listener of clients, and the two sides of what is accepted.
type door struct {
	t *testing.T
	*Listener
}

func newDoor(t *testing.T, most int) *door {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &door{t, &Listener{Listener: listener, MaxConnections: most}}
	t.Cleanup(func() { d.Close() })
	return d
}

// pair opens a connection that is accepted.
func (d *door) pair() (client *net.TCPConn, c *Conn) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(sidecartest.Patience))
	got, err := d.Accept()
	if err != nil {
		d.t.Fatal(err)
	}
	return conn.(*net.TCPConn), got.(*Conn)
}

// comes waits until something written by the client can be read.
func comes(t *testing.T, c *Conn) {
	t.Helper()
	sidecartest.Await(t, "the client's bytes", func() bool { return system.Readable(c.Conn) })
}

// What a client sends in the instant of a close is not read as a request and takes no
// answer along: the client reads all of it and an end, and no reset.
func TestCloseOverUnreadBytes(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for what, sent := range map[string]string{
		"half a line":        "GET /re",
		"a whole request":    sidecartest.ReadHead + "X-Correlation-Id: 2\r\n\r\n",
		"more than a buffer": strings.Repeat("x", 100<<10),
	} {
		t.Run(what, func(t *testing.T) {
			d := newDoor(t, 2)
			client, c := d.pair()
			c.BeginRequest()
			io.WriteString(client, sent)
			comes(t, c)
			io.WriteString(c, answer)
			reads := &readCounter{TCPConn: c.Conn.(*net.TCPConn)}
			c.Conn = reads
			c.Close()
			if got, err := io.ReadAll(client); err != nil || string(got) != answer {
				t.Errorf("the client read %q, %v", got, err)
			}
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Error("something was read after the close")
			}
			client.Close()
			sidecartest.Await(t, "the end of the connection", func() bool { return d.Count() == 0 })
			if n := reads.bytes.Load(); n > 0 {
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

// A connection that is half-closed makes room ahead of all others.
func TestHalfClosedMakesRoom(t *testing.T) {
	d := newDoor(t, 2)
	_, idle := d.pair()
	_, old := d.pair()
	old.Close()
	d.pair()
	if idle.released || !old.released {
		t.Errorf("the idle one gone: %v, the half-closed one: %v", idle.released, old.released)
	}
}

// What holds a request, or a part of one that nobody has looked at yet, does not make room
// for a new connection; where nothing does, the new one is told so.
func TestRequestsDoNotMakeRoom(t *testing.T) {
	d := newDoor(t, 3)
	client, first := d.pair()
	io.WriteString(client, sidecartest.ReadHead+"\r\n")
	comes(t, first)
	_, idle := d.pair()
	client, read := d.pair()
	io.WriteString(client, sidecartest.ReadHead+"\r\n")
	comes(t, read)
	if _, err := read.Read(make([]byte, 1<<10)); err != nil { // whole, and its handler is on the way
		t.Fatal(err)
	}
	_, another := d.pair()
	if first.released || !idle.released || read.released {
		t.Fatalf("gone: the unread %v, the idle %v, the read %v", first.released, idle.released, read.released)
	}
	if !read.BeginRequest() {
		t.Error("a request that was read whole is not taken")
	}
	another.BeginRequest()
	ended := make(chan string)
	go func() {
		conn, err := net.Dial("tcp", d.Addr().String())
		if err != nil {
			ended <- err.Error()
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(sidecartest.Patience))
		got, _ := io.ReadAll(conn)
		ended <- string(got)
	}()
	go d.Accept()
	if got := <-ended; got != rejectionResponse {
		t.Errorf("one more read %q", got)
	}
	if n := d.Count(); n > d.MaxConnections+MaxRejected {
		t.Errorf("%d connections, limit %d", n, d.MaxConnections)
	}
}

// A connection that is to end for its silence is spared by what comes in that instant, and
// so is the request that is taken from it.
func TestBytesInTheInstantOfAnExpiry(t *testing.T) {
	d := newDoor(t, 2)
	client, c := d.pair()
	io.WriteString(client, sidecartest.ReadHead+"\r\n")
	comes(t, c)
	c.mu.Lock()
	c.expiring = true // as by a sweep between the system's read and the look at what it read
	c.mu.Unlock()
	if n, err := c.Read(make([]byte, 1<<10)); n == 0 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	c.BeginRequest()
	c.RequestRead(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiring {
		t.Error("net/http's look for the client's end would find the connection expired")
	}
}

// Where net/http has read the last that it looks at before the request is taken, the
// client's end is found behind that all the same.
func TestTakeLooksBehindWhatWasRead(t *testing.T) {
	client, c := newDoor(t, 1).pair()
	io.WriteString(client, sidecartest.ReadHead+"\r\nx")
	comes(t, c)
	if _, err := c.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	c.BeginRequest()
	left := c.AwaitResponse(c.RequestRead(0))
	client.Close()
	select {
	case <-left:
	case <-time.After(sidecartest.Patience):
		t.Error("that the client has left is not noticed")
	}
	if !c.BeginResponse() {
		t.Error("the connection would serve on")
	}
}

// Where every connection has a request open, one more is told so and closed.
func TestNoRoomForAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{Listener: listener, MaxConnections: 1}
	defer l.Close()
	accepted := make(chan *Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*Conn)
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(sidecartest.Patience))
		return conn
	}
	defer dial().Close()
	c := <-accepted
	if !c.BeginRequest() {
		t.Fatal("the first connection is gone")
	}
	second := dial()
	defer second.Close()
	if got, err := io.ReadAll(second); err != nil || string(got) != rejectionResponse {
		t.Errorf("the second connection: %q, %v; want 503 and its end", got, err)
	}
	c.EndRequest()
	defer dial().Close()
	<-accepted
	if c.BeginRequest() {
		t.Error("the first connection takes requests after making room")
	}
	c.Close()
	if n := l.Count(); n != 1 {
		t.Errorf("%d connections are counted, want 1", n)
	}
}

// A request that crosses the end of its idle connection is read; the connection
// ends where nothing has come.
func TestRequestThatCrossesTheEndIsTaken(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{Listener: listener, MaxConnections: 4}
	defer l.Close()
	pair := func() (net.Conn, *Conn) {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, c.(*Conn)
	}
	read := func(c *Conn) (string, error) {
		p := make([]byte, 100)
		n, err := c.Read(p)
		return string(p[:n]), err
	}
	client, c := pair()
	io.WriteString(client, "GET")
	sidecartest.Await(t, "the bytes", func() bool { return system.Readable(c.Conn) })
	l.CloseIdle(0, 0)
	if got, err := read(c); got != "GET" || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
	l.CloseIdle(0, 0) // half a request has come
	io.WriteString(client, " /")
	if got, err := read(c); got != " /" || err != nil {
		t.Errorf("the rest: read %q, %v", got, err)
	}
	_, c = pair()
	l.CloseIdle(0, time.Hour)
	if c.expiring {
		t.Error("a new connection ends before its time")
	}
	l.CloseIdle(time.Hour, 0)
	if got, err := read(c); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: read %q, %v", got, err)
	}
	// net/http wakes its own read in the same way, and must have it back.
	client, c = pair()
	io.WriteString(client, "GET")
	sidecartest.Await(t, "the bytes", func() bool { return system.Readable(c.Conn) })
	l.CloseIdle(0, 0)
	c.SetReadDeadline(time.Unix(1, 0))
	if got, err := read(c); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("woken by net/http: read %q, %v", got, err)
	}
}

// Beyond the limit it is silence that makes room: a client that writes slowly goes
// on, though it came before the others.
func TestSlowClientOutlastsSilentOnes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{Listener: listener, MaxConnections: 3}
	defer l.Close()
	pair := func() (net.Conn, net.Conn) {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		client.SetDeadline(time.Now().Add(sidecartest.Patience))
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, c
	}
	write := func(client, c net.Conn) error {
		io.WriteString(client, "GET")
		_, err := c.Read(make([]byte, 3))
		return err
	}
	slow, c := pair()
	half, h := pair()
	silent, _ := pair()
	if err := write(half, h); err != nil {
		t.Fatal(err)
	}
	for i, goes := range []net.Conn{silent, half} {
		if err := write(slow, c); err != nil {
			t.Fatalf("the slow client, piece %d: %v", i, err)
		}
		pair()
		if _, err := goes.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection %d that should make room: %v", i, err)
		}
	}
}

// A body may not be larger than the limit.
func TestBodyOverTheLimitIsAnError(t *testing.T) {
	p := &Body{conn: &Conn{Conn: quiet{}}, body: strings.NewReader("123456"), allowance: time.Hour, remainingBytes: 5}
	var b *RequestError
	if _, err := io.ReadAll(p); !errors.As(err, &b) || b.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a body beyond the limit: %v", err)
	}
}

// quiet is a connection that has no deadlines.
type quiet struct{ net.Conn }

func (quiet) SetReadDeadline(time.Time) error { return nil }
