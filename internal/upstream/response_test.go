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

// A response that comes in pieces is read completely, though that takes longer
// than the stall timeout.
func TestResponseInPiecesIsReadCompletely(t *testing.T) {
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			for _, b := range []byte(sidecartest.ServedResponse) {
				conn.Write([]byte{b})
				time.Sleep(2 * responseStallTimeout / time.Duration(len(sidecartest.ServedResponse)))
			}
		}
	})
	u := newTestClient(t, 4)
	for range 2 {
		r := getOnce(t.Context(), u, &Endpoint{Address: e.Address}, "/")
		if r.Status != balancer.OK || string(r.Body) != "done" {
			t.Errorf("status %v, body %q", r.Status, r.Body)
		}
	}
}

// The stall timeout applies only to a response that has begun, not to the time until it begins, also after an
// interim response.
func TestResponseMayBeginLate(t *testing.T) {
	for name, first := range map[string]string{
		"plain":                     "",
		"after an interim response": "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			for e.ReadRequest(in) != nil {
				io.WriteString(conn, first)
				time.Sleep(2 * responseStallTimeout)
				io.WriteString(conn, sidecartest.ServedResponse)
			}
		})
		u, at := newTestClient(t, 1), &Endpoint{Address: e.Address}
		for range 2 { // on a new connection and on a used one
			if r := getOnce(context.Background(), u, at, "/"); r.Status != balancer.OK {
				t.Errorf("%s: status %v, want OK", name, r.Status)
			}
		}
		if _, conns := e.Counts(); conns != 1 {
			t.Errorf("%s: %d connections, want 1", name, conns)
		}
	}
}

// A response that the memory budget does not admit is streamed.
func TestResponseBeyondMemoryBudgetIsStreamed(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	u := newTestClient(t, 4)
	u.BodyMemory.Used.Store(u.BodyMemory.Limit.Load())
	r := getOnce(t.Context(), u, &Endpoint{Address: e.Address}, "/")
	if r.Status != balancer.OK || len(r.Body) != 0 || r.Stream == nil {
		t.Fatalf("status %v, %d bytes buffered", r.Status, len(r.Body))
	}
	if got, err := io.ReadAll(r.Stream); err != nil || string(got) != "done" {
		t.Errorf("%q, %v", got, err)
	}
	r.close()
	if u.BodyMemory.Used.Load() != u.BodyMemory.Limit.Load() || u.open != 1 || len(u.idle) != 1 {
		t.Errorf("%d of %d bytes reserved, %d connections open", u.BodyMemory.Used.Load(), u.BodyMemory.Limit.Load(), u.open)
	}
}

// A connection on which more bytes came than the response is not used again, whether the
// excess comes with the response or after the connection was released: the next request
// would get a response to another one.
func TestExcessBytesAreNotReadAsNextResponse(t *testing.T) {
	t.Run("excess after the next request", func(t *testing.T) {
		var begun atomic.Bool
		e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			for r := e.ReadRequest(in); r != nil; r = e.ReadRequest(in) {
				if begun.CompareAndSwap(false, true) { // a duplicate, behind whatever request comes next
					io.WriteString(conn, strings.Replace(sidecartest.ServedResponse, "done", "one.", 1))
					e.ReadRequest(in)
					io.WriteString(conn, strings.Replace(sidecartest.ServedResponse, "done", "one.", 1))
				}
				io.WriteString(conn, strings.Replace(sidecartest.ServedResponse, "done", r.URL.Path[1:5], 1))
			}
		})
		u, at := newTestClient(t, 4), &Endpoint{Address: e.Address}
		u.ReuseDelay = time.Hour // so that the next request comes within it, however slow the machine is
		if r := getOnce(context.Background(), u, at, "/one."); r.Status != balancer.OK || string(r.Body) != "one." {
			t.Fatalf("first: status %v, body %q", r.Status, r.Body)
		}
		if r := getOnce(context.Background(), u, at, "/two."); r.Status != balancer.OK || string(r.Body) != "two." {
			t.Errorf("second: status %v, body %q", r.Status, r.Body)
		}
		u.ReuseDelay = 0 // the reuse delay is over
		if r := getOnce(context.Background(), u, at, "/thr."); r.Status != balancer.OK || string(r.Body) != "thr." {
			t.Errorf("third: status %v, body %q", r.Status, r.Body)
		}
	})
	for name, late := range map[string]bool{"excess at once": false, "excess later": true} {
		t.Run(name, func(t *testing.T) {
			sendExcess := make(chan struct{})
			e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for r := e.ReadRequest(in); r != nil; r = e.ReadRequest(in) {
					response := strings.Replace(sidecartest.ServedResponse, "done", r.URL.Path[1:5], 1)
					if !late {
						response += response
					}
					io.WriteString(conn, response)
					if late {
						<-sendExcess
						io.WriteString(conn, response)
					}
				}
			})
			u, at := newTestClient(t, 4), &Endpoint{Address: e.Address}
			if r := getOnce(context.Background(), u, at, "/one."); r.Status != balancer.OK || string(r.Body) != "one." {
				t.Fatalf("first: status %v, body %q", r.Status, r.Body)
			}
			close(sendExcess)
			if late {
				sidecartest.Await(t, "the excess to arrive", func() bool { return !u.idle[at][0].alive() })
			}
			if r := getOnce(context.Background(), u, at, "/two."); r.Status != balancer.OK || string(r.Body) != "two." {
				t.Errorf("second: status %v, body %q", r.Status, r.Body)
			}
			if _, conns := e.Counts(); conns != 2 {
				t.Errorf("%d connections, want 2", conns)
			}
		})
	}
}
