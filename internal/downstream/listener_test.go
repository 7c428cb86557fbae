package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// After the errors that accept(2) documents for a transient fault or a fault of one connection, Accept returns the next
// connection. The listeners of clients and of operators share this code.
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

// testListener is a Listener on the loopback interface that can open connections to itself.
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
	l := &testListener{t, &Listener{Listener: listener, Memory: httpmsg.NewMemoryBudgets(32 << 20),
		MaxConnections: maxConnections}}
	t.Cleanup(func() { l.Close() })
	return l
}

// released reports whether a connection no longer counts as open.
func (l *testListener) released(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.state == stateReleased
}

// connect opens a connection and accepts it. It returns the client's side and the accepted side.
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

// A half-closed connection is evicted before any other.
func TestHalfClosedConnectionIsEvictedFirst(t *testing.T) {
	l := newTestListener(t, 2)
	_, idleConn := l.connect()
	_, halfClosedConn := l.connect()
	halfClosedConn.Close()
	l.connect()
	if l.released(idleConn) || !l.released(halfClosedConn) {
		t.Errorf("released: idle %v, half-closed %v, want false, true", l.released(idleConn), l.released(halfClosedConn))
	}
}

// A connection that carries a request, or a part of one that has not been read yet, is not evicted for a new one. If
// all connections carry requests, the new one is rejected.
func TestConnectionWithRequestIsNotEvicted(t *testing.T) {
	l := newTestListener(t, 3)
	client, unreadConn := l.connect()
	io.WriteString(client, sidecartest.ReadHead+"\r\n")
	awaitReadable(t, unreadConn)
	_, idleConn := l.connect()
	client, readConn := l.connect()
	io.WriteString(client, sidecartest.ReadHead+"\r\n")
	awaitReadable(t, readConn)
	if _, err := readConn.Read(make([]byte, 1<<10)); err != nil { // the complete request; its handler has yet to begin
		t.Fatal(err)
	}
	_, latestConn := l.connect()
	if l.released(unreadConn) || !l.released(idleConn) || l.released(readConn) {
		t.Fatalf("released: unread request %v, idle %v, read request %v, want false, true, false",
			l.released(unreadConn), l.released(idleConn), l.released(readConn))
	}
	if !readConn.BeginRequest() {
		t.Error("BeginRequest returned false for a completely read request, want true")
	}
	latestConn.BeginRequest()
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
		t.Errorf("the client of the connection beyond the limit read %q, want %q", got, rejectionResponse)
	}
	if n := l.Count(); n > l.MaxConnections+MaxRejected {
		t.Errorf("%d connections are open, want at most %d", n, l.MaxConnections+MaxRejected)
	}
}

// If every connection has an open request, a new one gets a 503 and is closed.
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
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- conn.(*Conn)
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
	first := <-conns
	if !first.BeginRequest() {
		t.Fatal("BeginRequest of the first connection returned false, want true")
	}
	second := dial()
	defer second.Close()
	if got, err := io.ReadAll(second); err != nil || string(got) != rejectionResponse {
		t.Errorf("the second client read %q with error %v, want %q and no error", got, err, rejectionResponse)
	}
	first.EndRequest()
	defer dial().Close()
	<-conns
	if first.BeginRequest() {
		t.Error("BeginRequest of the evicted first connection returned true, want false")
	}
	first.Close()
	if n := l.Count(); n != 1 {
		t.Errorf("%d connections count as open, want 1", n)
	}
}

// At the limit, the connection that has been silent for longest is evicted. The connection of a client that writes
// slowly stays open, although it was accepted before the others.
func TestSilentConnectionsAreEvictedBeforeSlowOnes(t *testing.T) {
	l := newTestListener(t, 3)
	write := func(client, c net.Conn) error {
		io.WriteString(client, "GET")
		_, err := c.Read(make([]byte, 3))
		return err
	}
	slowClient, slowConn := l.connect()
	partialClient, partialConn := l.connect()
	silentClient, _ := l.connect()
	if err := write(partialClient, partialConn); err != nil {
		t.Fatal(err)
	}
	for i, evictedClient := range []net.Conn{silentClient, partialClient} {
		if err := write(slowClient, slowConn); err != nil {
			t.Fatalf("reading part %d of the slow client: %v", i, err)
		}
		l.connect()
		if _, err := evictedClient.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection %d is not evicted: its client read with error %v, want the end of the connection", i, err)
		}
	}
}

// acceptCounter counts the calls of Accept that are in progress.
type acceptCounter struct {
	*net.TCPListener
	inProgress atomic.Int32
}

func (l *acceptCounter) Accept() (net.Conn, error) {
	l.inProgress.Add(1)
	defer l.inProgress.Add(-1)
	return l.TCPListener.Accept()
}

// Guards against a connection that is lost or accepted while accepting is paused, and against an Accept that does not
// return when the listener is closed.
func TestPausedListenerAcceptsNothing(t *testing.T) {
	l := newTestListener(t, 4)
	counted := &acceptCounter{TCPListener: l.Listener.Listener.(*net.TCPListener)}
	l.Listener.Listener = counted
	accepted, ended := make(chan net.Conn, 1), make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for _, when := range []string{"first", "second"} {
		l.SetPaused(true)
		l.SetPaused(true) // changes nothing
		// A call of accept(2) that has begun before may still accept one connection.
		sidecartest.Await(t, "Accept to be woken", func() bool { return counted.inProgress.Load() == 0 })
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		if n := l.Count(); n != 0 {
			t.Errorf("%s pause: %d connections are open, want none", when, n)
		}
		l.SetPaused(false)
		c := sidecartest.Receive(t, "the connection to be accepted after the "+when+" pause", accepted)
		c.Close()
		client.Close()
		sidecartest.Await(t, "the connection to be released", func() bool { return l.Count() == 0 })
	}
	l.SetPaused(true)
	sidecartest.Await(t, "Accept to be woken", func() bool { return counted.inProgress.Load() == 0 })
	l.Close()
	err := sidecartest.Receive(t, "Accept of a listener that is closed in a pause to return", ended)
	if !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept of a listener that is closed in a pause returned %v, want %v", err, net.ErrClosed)
	}
}
