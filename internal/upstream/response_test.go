package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/sidecartest"
)

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

// Only an answer that has begun must come to its end soon: one may take its time
// to begin, also after an interim answer.
func TestSlowAnswersAreAwaited(t *testing.T) {
	for name, first := range map[string]string{"plain": "", "after an interim answer": "HTTP/1.1 102 Processing\r\n\r\n"} {
		e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			for e.Next(in) != nil {
				io.WriteString(conn, first)
				time.Sleep(2 * responseStallTimeout)
				io.WriteString(conn, sidecartest.Served)
			}
		})
		u, at := newTestUpstream(t, 1), &Endpoint{Address: e.Address}
		for range 2 { // on a new connection and on a used one
			if r := u.Attempt(context.Background(), at, get("/"), &Gate{}); r.Status != balancer.OK {
				t.Errorf("%s: status %v, want OK", name, r.Status)
			}
		}
		if _, conns := e.Seen(); conns != 1 {
			t.Errorf("%s: %d connections, want 1", name, conns)
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

// A connection on which more came than the answer is not used again, whether the
// rest comes with the answer or after the connection was given back: the next
// request would be answered with what was made for another.
func TestNothingBeyondAnAnswerIsTakenForTheNext(t *testing.T) {
	t.Run("after the next request", func(t *testing.T) {
		var begun atomic.Bool
		e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			for r := e.Next(in); r != nil; r = e.Next(in) {
				if begun.CompareAndSwap(false, true) { // a second answer, behind whatever request comes next
					io.WriteString(conn, strings.Replace(sidecartest.Served, "done", "one.", 1))
					e.Next(in)
					io.WriteString(conn, strings.Replace(sidecartest.Served, "done", "one.", 1))
				}
				io.WriteString(conn, strings.Replace(sidecartest.Served, "done", r.URL.Path[1:5], 1))
			}
		})
		u, at := newTestUpstream(t, 4), &Endpoint{Address: e.Address}
		u.ReuseDelay = time.Hour // so that the next request comes in that time, however slow the machine is
		if r := u.Attempt(context.Background(), at, get("/one."), &Gate{}); r.Status != balancer.OK || string(r.Body) != "one." {
			t.Fatalf("first: status %v, body %q", r.Status, r.Body)
		}
		if r := u.Attempt(context.Background(), at, get("/two."), &Gate{}); r.Status != balancer.OK || string(r.Body) != "two." {
			t.Errorf("second: status %v, body %q", r.Status, r.Body)
		}
		u.ReuseDelay = 0 // it has rested
		if r := u.Attempt(context.Background(), at, get("/thr."), &Gate{}); r.Status != balancer.OK || string(r.Body) != "thr." {
			t.Errorf("third: status %v, body %q", r.Status, r.Body)
		}
	})
	for name, late := range map[string]bool{"at once": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			rest := make(chan struct{})
			e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for r := e.Next(in); r != nil; r = e.Next(in) {
					own := strings.Replace(sidecartest.Served, "done", r.URL.Path[1:5], 1)
					if !late {
						own += own
					}
					io.WriteString(conn, own)
					if late {
						<-rest
						io.WriteString(conn, own)
					}
				}
			})
			u, at := newTestUpstream(t, 4), &Endpoint{Address: e.Address}
			if r := u.Attempt(context.Background(), at, get("/one."), &Gate{}); r.Status != balancer.OK || string(r.Body) != "one." {
				t.Fatalf("first: status %v, body %q", r.Status, r.Body)
			}
			close(rest)
			if late {
				sidecartest.Await(t, "the rest to arrive", func() bool { return !u.idle[at][0].alive() })
			}
			if r := u.Attempt(context.Background(), at, get("/two."), &Gate{}); r.Status != balancer.OK || string(r.Body) != "two." {
				t.Errorf("second: status %v, body %q", r.Status, r.Body)
			}
			if _, conns := e.Seen(); conns != 2 {
				t.Errorf("%d connections, want 2", conns)
			}
		})
	}
}
