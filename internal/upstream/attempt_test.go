package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"oakproxy/balancer"
	"oakproxy/internal/sidecartest"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"
)

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

// What an attempt waits for its connection may undo its decision: then it never begins,
// and proves that it never ran.
func TestGateShutsWhileDialling(t *testing.T) {
	for why, shut := range map[string]func(u *Client, at *Endpoint, g *Gate, cancel func()){
		"the endpoint drains":      func(u *Client, at *Endpoint, _ *Gate, _ func()) { u.Retire(at) },
		"the client leaves":        func(_ *Client, _ *Endpoint, g *Gate, _ func()) { g.ClientGone = func() bool { return true } },
		"a repeat comes too late":  func(_ *Client, _ *Endpoint, g *Gate, _ func()) { g.NotAfter = time.Now() },
		"the request is over":      func(_ *Client, _ *Endpoint, g *Gate, _ func()) { g.Close() },
		"the attempt is cancelled": func(_ *Client, _ *Endpoint, _ *Gate, cancel func()) { cancel() },
	} {
		t.Run(why, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
			u, at, g := newTestUpstream(t, 1), &Endpoint{Address: e.Address}, &Gate{}
			dial := sidecartest.BlockDials(&u.Dialer, e.Address)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan Result)
			go func() { done <- u.Attempt(ctx, at, get("/"), g) }()
			<-dial.Begun
			shut(u, at, g, cancel)
			close(dial.Unblock)
			if r := <-done; r.Status != balancer.NotSent {
				t.Errorf("status %v, want Moot", r.Status)
			}
			if n, _ := e.Seen(); n != 0 {
				t.Errorf("the endpoint got %d requests", n)
			}
		})
	}
}

// A request that its endpoint takes slowly is not finished: what it was told that the client has left would be wrong.
func TestRequestThatIsTakenSlowlyNeverRuns(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &conn{Conn: ours}
	got := make(chan []byte)
	go func() {
		in := make([]byte, 2*maxBufferedWrite)
		n, _ := theirs.Read(in[:maxBufferedWrite])
		time.Sleep(2 * maxWriteLag)
		rest, _ := io.ReadAll(theirs)
		got <- append(in[:n], rest...)
	}()
	data := bytes.Repeat([]byte("x"), 2*maxBufferedWrite)
	if err := c.writeRequest(data); !errors.Is(err, errTooLate) {
		t.Errorf("the write ended with %v", err)
	}
	ours.Close()
	if n := len(<-got); n >= len(data) {
		t.Errorf("all %d bytes came", n)
	}
}

// An endpoint that writes in pieces is heard to the end, though that takes longer
// than one may be silent.
func TestAnswerInPiecesIsAwaited(t *testing.T) {
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			for _, b := range []byte(sidecartest.Served) {
				conn.Write([]byte{b})
				time.Sleep(2 * responseStallTimeout / time.Duration(len(sidecartest.Served)))
			}
		}
	})
	u := newTestUpstream(t, 4)
	for range 2 {
		if r := u.Attempt(t.Context(), &Endpoint{Address: e.Address}, get("/"), &Gate{}); r.Status != balancer.OK || string(r.Body) != "done" {
			t.Errorf("status %v, body %q", r.Status, r.Body)
		}
	}
}

// Where there is no room to hold an answer, it is passed on as it comes.
func TestAnswerWithoutRoomPasses(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	u := newTestUpstream(t, 4)
	u.Bodies.Used.Store(u.Bodies.Limit.Load())
	r := u.Attempt(t.Context(), &Endpoint{Address: e.Address}, get("/"), &Gate{})
	if r.Status != balancer.OK || len(r.Body) != 0 || r.Rest == nil {
		t.Fatalf("status %v, %d bytes held", r.Status, len(r.Body))
	}
	if got, err := io.ReadAll(r.Rest); err != nil || string(got) != "done" {
		t.Errorf("%q, %v", got, err)
	}
	r.close()
	if u.Bodies.Used.Load() != u.Bodies.Limit.Load() || u.open != 1 || len(u.idle) != 1 {
		t.Errorf("%d of %d held, %d connections open", u.Bodies.Used.Load(), u.Bodies.Limit.Load(), u.open)
	}
}
