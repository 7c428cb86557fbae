package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/sidecartest"
)

// Accept goes on after the errors that accept(2) documents for a fault of the moment or of one connection, for clients
// and operators alike: the next connection is accepted.
func TestAcceptContinuesAfterTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.ENFILE, syscall.EMFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT,
		syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			faulty := &sidecartest.FaultyListener{Listener: inner, Errors: slices.Repeat([]error{errno}, 5)}
			l := &Listener{Listener: faulty, MaxConnections: 4, MaxUsed: 4}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {})}
			served := make(chan error, 1)
			go func() { served <- server.Serve(l) }()
			response, err := http.Get("http://" + inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			server.Close()
			if err := <-served; !errors.Is(err, http.ErrServerClosed) {
				t.Errorf("Serve returned %v, want %v", err, http.ErrServerClosed)
			}
		})
	}
}

// testListener is a Listener on loopback, and opens connections to it.
type testListener struct {
	t *testing.T
	*Listener
}

func newTestListener(t *testing.T, maxConnections int) *testListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &testListener{t, &Listener{Listener: listener, MaxConnections: maxConnections}}
	t.Cleanup(func() { l.Close() })
	return l
}

// released reports whether a connection is not counted any more.
func (l *testListener) released(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.state == stateReleased
}

// connect opens a connection and accepts it. It returns both sides.
func (l *testListener) connect() (client *net.TCPConn, c *Conn) {
	l.t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	server, err := l.Accept()
	if err != nil {
		l.t.Fatal(err)
	}
	return conn.(*net.TCPConn), server.(*Conn)
}

// A half-closed connection is evicted before all others.
func TestHalfClosedConnectionIsEvictedFirst(t *testing.T) {
	l := newTestListener(t, 2)
	_, idle := l.connect()
	_, halfClosed := l.connect()
	halfClosed.Close()
	l.connect()
	if l.released(idle) || !l.released(halfClosed) {
		t.Errorf("released: the idle one %v, the half-closed one %v", l.released(idle), l.released(halfClosed))
	}
}

// A connection that carries a request, or a part of one that has not been read yet, is not evicted for a new one; where
// all do, the new one is rejected.
func TestConnectionWithRequestIsNotEvicted(t *testing.T) {
	l := newTestListener(t, 3)
	client, first := l.connect()
	io.WriteString(client, sidecartest.ReadHead+"\r\n")
	awaitReadable(t, first)
	_, idle := l.connect()
	client, read := l.connect()
	io.WriteString(client, sidecartest.ReadHead+"\r\n")
	awaitReadable(t, read)
	if _, err := read.Read(make([]byte, 1<<10)); err != nil { // complete, and its handler is about to start
		t.Fatal(err)
	}
	_, another := l.connect()
	if l.released(first) || !l.released(idle) || l.released(read) {
		t.Fatalf("released: the unread %v, the idle %v, the read %v",
			l.released(first), l.released(idle), l.released(read))
	}
	if !read.BeginRequest() {
		t.Error("a request that was read completely is not served")
	}
	another.BeginRequest()
	received := make(chan string)
	go func() {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			received <- err.Error()
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
		got, _ := io.ReadAll(conn)
		received <- string(got)
	}()
	go l.Accept()
	if got := <-received; got != rejectionResponse {
		t.Errorf("the client beyond the limit read %q, want %q", got, rejectionResponse)
	}
	if n := l.Count(); n > l.MaxConnections+MaxRejected {
		t.Errorf("%d connections, limit %d", n, l.MaxConnections)
	}
}

// Where every connection has a request open, a new one gets a 503 and is closed.
func TestConnectionBeyondLimitIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{Listener: listener, MaxConnections: 1}
	defer l.Close()
	conns := make(chan *Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c.(*Conn)
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
		return conn
	}
	defer dial().Close()
	c := <-conns
	if !c.BeginRequest() {
		t.Fatal("the first connection is released")
	}
	second := dial()
	defer second.Close()
	if got, err := io.ReadAll(second); err != nil || string(got) != rejectionResponse {
		t.Errorf("the second connection: %q, %v; want 503 and its end", got, err)
	}
	c.EndRequest()
	defer dial().Close()
	<-conns
	if c.BeginRequest() {
		t.Error("the first connection serves requests after its eviction")
	}
	c.Close()
	if n := l.Count(); n != 1 {
		t.Errorf("%d connections are counted, want 1", n)
	}
}

// Beyond the limit the connection that has been silent for longest is evicted: that of a client that writes slowly goes
// on, though it was accepted before the others.
func TestSilentConnectionsAreEvictedBeforeSlowOnes(t *testing.T) {
	l := newTestListener(t, 3)
	write := func(client, c net.Conn) error {
		io.WriteString(client, "GET")
		_, err := c.Read(make([]byte, 3))
		return err
	}
	slow, c := l.connect()
	half, h := l.connect()
	silent, _ := l.connect()
	if err := write(half, h); err != nil {
		t.Fatal(err)
	}
	for i, evicted := range []net.Conn{silent, half} {
		if err := write(slow, c); err != nil {
			t.Fatalf("the slow client, piece %d: %v", i, err)
		}
		l.connect()
		if _, err := evicted.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection %d, which should be evicted: its client read %v", i, err)
		}
	}
}
