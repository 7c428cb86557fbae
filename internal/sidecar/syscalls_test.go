package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oakproxy/balancer"
)

// faultyListener fails accepts with these errors, one after another, and then accepts.
type faultyListener struct {
	net.Listener
	mu     sync.Mutex
	errors []error
}

func (l *faultyListener) fail(errors []error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors = errors
}

// next returns the error to fail with, or nil.
func (l *faultyListener) next() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errors) > 0 {
		err, l.errors = l.errors[0], l.errors[1:]
	}
	return err
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if err := l.next(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

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
			l := &clients{Listener: &faultyListener{Listener: inner, errors: slices.Repeat([]error{errno}, 5)}, most: 4, maxAsked: 4}
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

// A connection that waited while accepts failed may hold a request for so long: its endpoint is told no more time
// than its client has left.
func TestTimeSpentInTheBacklogCounts(t *testing.T) {
	var came time.Time
	e := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		for e.next(in) != nil {
			came = time.Now()
			io.WriteString(conn, served)
		}
	})
	listener := &faultyListener{}
	w := startBehind(t, func(inner net.Listener) net.Listener { listener.Listener = inner; return listener }, ready("s-1", e.address))
	const failures = 100 // with acceptPause after each, over 0.5 s
	listener.fail(slices.Repeat([]error{syscall.ENFILE}, failures))
	w.dial() // may still be taken by the accept that is under way
	conn := w.dial()
	fmt.Fprint(conn, readHead+"X-Correlation-Id: 1\r\n\r\n")
	written := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	var ms int
	fmt.Sscan(e.request(0).Header.Get("X-Time-Left-Ms"), &ms)
	waited := came.Sub(written)
	if told, left := time.Duration(ms)*time.Millisecond, 3*time.Second-waited; told > left+toldSlack {
		t.Errorf("the endpoint is told %v, its client has %v", told, left)
	}
	if waited < failures*acceptPause/2 {
		t.Errorf("the request waited %v only", waited)
	}
}

// toldSlack is how much more than its client has left an endpoint may be told.
const toldSlack = 150 * time.Millisecond

// A client that has written a whole long body and left is gone, though its bytes are still to be read: no attempt begins
// for it.
func TestClientThatLeavesBehindItsBody(t *testing.T) {
	e := newEndpoint(t, always(served))
	w := start(t, nil, ready("s-1", e.address))
	dial := hold(w.loop.up, e.address)
	conn := w.dial()
	go func() {
		fmt.Fprintf(conn, "%sX-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n%s", payHead, 2*maxBufferedBytes, strings.Repeat("x", 2*maxBufferedBytes))
		conn.Close()
	}()
	<-dial.begun
	await(t, "the client's end", func() bool {
		w.server.clients.mu.Lock()
		defer w.server.clients.mu.Unlock()
		for _, r := range w.server.inHand.all() {
			if r.conn.hasLeft() {
				return true
			}
		}
		return false
	})
	close(dial.go_)
	w.until("the outcome", func() bool { return len(w.spy.statuses()) == 1 })
	if n, conns := e.seen(); n != 0 {
		t.Errorf("the endpoint got %d requests on %d connections", n, conns)
	}
}

// A connection that breaks as routers and time-outs break it is a reset: after the last byte the request may have run.
func TestBrokenConnectionsAreResets(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			err := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
			conn := &brokenConn{err: err}
			var c clientConn
			c.Conn, c.owner = conn, &clients{}
			if _, got := c.Read(make([]byte, 1)); !errors.Is(got, errno) {
				t.Errorf("the read ended with %v", got)
			}
			if !c.ended {
				t.Error("the client is not known to have left")
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

// A signal in the middle of a look at a connection says nothing of it.
func TestLookOutlivesSignals(t *testing.T) {
	calls := 0
	found := lookWith(func([]byte) (int, error) {
		if calls++; calls < 4 {
			return -1, syscall.EINTR
		}
		return -1, syscall.EAGAIN
	})
	if found != nothing || calls != 4 {
		t.Errorf("look %d after %d calls, want nothing after 4", found, calls)
	}
	for errno, want := range map[syscall.Errno]look{syscall.ENOMEM: nothing, syscall.ENOBUFS: nothing, syscall.ECONNRESET: ended, syscall.ETIMEDOUT: ended} {
		if got := lookWith(func([]byte) (int, error) { return -1, errno }); got != want {
			t.Errorf("%v: %d, want %d", errno, got, want)
		}
	}
	if got := lookWith(func([]byte) (int, error) { return 0, nil }); got != ended {
		t.Errorf("an end: %d", got)
	}
	if got := lookWith(func([]byte) (int, error) { return 1, nil }); got != unread {
		t.Errorf("a byte: %d", got)
	}
}

// An address that is not free at once is waited for; one that can't be had is an error.
func TestStartWaitsForItsAddress(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := held.Addr().String()
	got := make(chan error, 1)
	go func() {
		listener, err := listenAt(t.Context(), address)
		if err == nil {
			listener.Close()
		}
		got <- err
	}()
	time.AfterFunc(3*startPause, func() { held.Close() })
	if err := <-got; err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	again, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if _, err := listenAt(ctx, address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("with SIGTERM during the start: %v", err)
	}
}

// A shortage of this machine's is waited out for a moment, and never held against the endpoint.
func TestShortageAtADial(t *testing.T) {
	e := newEndpoint(t, always(served))
	for what, c := range map[string]struct {
		errors []error
		want   balancer.Status
	}{
		"passes":         {[]error{syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.EINTR}, balancer.OK},
		"stays":          {slices.Repeat([]error{syscall.ENOBUFS}, 1000), balancer.NotSent},
		"is no shortage": {slices.Repeat([]error{syscall.ENETUNREACH}, 1000), balancer.ConnectFailed},
	} {
		u := newTestUpstream(t, 1)
		u.dialer.Control = func(string, string, syscall.RawConn) error {
			if len(c.errors) == 0 {
				return nil
			}
			err := c.errors[0]
			c.errors = c.errors[1:]
			return err
		}
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		r := u.attempt(ctx, &target{address: e.address}, get("/"), &gate{})
		cancel()
		if r.status != c.want {
			t.Errorf("%s: %v (%v), want %v", what, r.status, r.err, c.want)
		}
		if open := u.counts().open; c.want != balancer.OK && open != 0 {
			t.Errorf("%s: %d connections are counted open", what, open)
		}
	}
}

// failingRead is a connection to an endpoint that takes a request and then breaks.
type failingRead struct {
	net.Conn
	err error
}

func (c *failingRead) Write(p []byte) (int, error)      { return len(p), nil }
func (c *failingRead) Read([]byte) (int, error)         { return 0, c.err }
func (c *failingRead) SetDeadline(time.Time) error      { return nil }
func (c *failingRead) SetReadDeadline(time.Time) error  { return nil }
func (c *failingRead) SetWriteDeadline(time.Time) error { return nil }
func (c *failingRead) Close() error                     { return nil }

// A connection to an endpoint that breaks after the request's last byte is a reset, by whatever name: with time left,
// ETIMEDOUT is no time-out of the request.
func TestBrokenEndpointConnectionsAreResets(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE} {
		u, at := newTestUpstream(t, 1), &target{address: "127.0.0.1:1"}
		err := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
		u.open = 1
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		_, got := u.exchange(ctx, newConn(&failingRead{err: err}, at), get("/"), &gate{})
		if status := failure(ctx, got); status != balancer.Reset || !errors.Is(got, errno) || u.counts().open != 0 {
			t.Errorf("%v: %v (%v), %d connections open; want a reset", errno, status, got, u.counts().open)
		}
		cancel()
	}
}
