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

// A response that arrives in pieces is read completely, even if that takes longer
// than the silence that ends an attempt without a StallFunc.
func TestResponseInPiecesIsReadCompletely(t *testing.T) {
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			for _, b := range []byte(sidecartest.ServedResponse) {
				conn.Write([]byte{b})
				time.Sleep(2 * stallCheckInterval / time.Duration(len(sidecartest.ServedResponse)))
			}
		}
	})
	u := newTestClient(t, 4)
	for range 2 {
		r := getOnce(t.Context(), u, &Endpoint{Address: e.Address}, "/")
		if r.Status != balancer.OK || string(r.Body) != "done" {
			t.Errorf("status %v, body %q; want OK, %q", r.Status, r.Body, "done")
		}
	}
}

// The limit on silence applies only to a response that has begun. It does not limit the time until a response begins, not
// even after an interim response.
func TestResponseMayBeginLate(t *testing.T) {
	for name, first := range map[string]string{
		"plain":                     "",
		"after an interim response": "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			for e.ReadRequest(in) != nil {
				io.WriteString(conn, first)
				time.Sleep(2 * stallCheckInterval)
				io.WriteString(conn, sidecartest.ServedResponse)
			}
		})
		u, endpoint := newTestClient(t, 1), &Endpoint{Address: e.Address}
		for range 2 { // on a new connection and on a used one
			if r := getOnce(context.Background(), u, endpoint, "/"); r.Status != balancer.OK {
				t.Errorf("%s: status %v, want OK", name, r.Status)
			}
		}
		if _, conns := e.Counts(); conns != 1 {
			t.Errorf("%s: the endpoint received %d connections, want 1", name, conns)
		}
	}
}

// A response whose body exceeds what is left of the memory budget is streamed.
func TestResponseBeyondMemoryBudgetIsStreamed(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	u := newTestClient(t, 4)
	u.Memory.Bodies.Used.Store(u.Memory.Bodies.Limit.Load())
	r := getOnce(t.Context(), u, &Endpoint{Address: e.Address}, "/")
	if r.Status != balancer.OK || len(r.Body) != 0 || r.Stream == nil {
		t.Fatalf("status %v, %d bytes buffered, has a stream: %v; want OK, 0 bytes, true", r.Status, len(r.Body),
			r.Stream != nil)
	}
	if got, err := io.ReadAll(r.Stream); err != nil || string(got) != "done" {
		t.Errorf("the stream returned %q, error %v; want %q, no error", got, err, "done")
	}
	r.close()
	if u.Memory.Bodies.Used.Load() != u.Memory.Bodies.Limit.Load() || u.open != 1 || len(u.idle) != 1 {
		t.Errorf("%d of %d bytes reserved, want all; %d connections open, want 1; %d endpoints with idle connections, want 1",
			u.Memory.Bodies.Used.Load(), u.Memory.Bodies.Limit.Load(), u.open, len(u.idle))
	}
}

// A connection on which bytes follow the response is not used again, whether these excess
// bytes arrive with the response or after the connection was released. Otherwise the next
// request would receive the response to another request.
func TestExcessBytesAreNotReadAsNextResponse(t *testing.T) {
	t.Run("excess after the next request", func(t *testing.T) {
		var duplicateSent atomic.Bool
		e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			for r := e.ReadRequest(in); r != nil; r = e.ReadRequest(in) {
				if duplicateSent.CompareAndSwap(false, true) { // send a duplicate of the response after the next request
					io.WriteString(conn, strings.Replace(sidecartest.ServedResponse, "done", "one.", 1))
					e.ReadRequest(in)
					io.WriteString(conn, strings.Replace(sidecartest.ServedResponse, "done", "one.", 1))
				}
				io.WriteString(conn, strings.Replace(sidecartest.ServedResponse, "done", r.URL.Path[1:5], 1))
			}
		})
		u, endpoint := newTestClient(t, 4), &Endpoint{Address: e.Address}
		u.ReuseDelay = time.Hour // the next request comes within the delay, however slow the machine is
		if r := getOnce(context.Background(), u, endpoint, "/one."); r.Status != balancer.OK || string(r.Body) != "one." {
			t.Fatalf("first request: status %v, body %q; want OK, %q", r.Status, r.Body, "one.")
		}
		if r := getOnce(context.Background(), u, endpoint, "/two."); r.Status != balancer.OK || string(r.Body) != "two." {
			t.Errorf("second request: status %v, body %q; want OK, %q", r.Status, r.Body, "two.")
		}
		u.ReuseDelay = 0 // from now on, the reuse delay of the connection has passed
		if r := getOnce(context.Background(), u, endpoint, "/thr."); r.Status != balancer.OK || string(r.Body) != "thr." {
			t.Errorf("third request: status %v, body %q; want OK, %q", r.Status, r.Body, "thr.")
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
			u, endpoint := newTestClient(t, 4), &Endpoint{Address: e.Address}
			if r := getOnce(context.Background(), u, endpoint, "/one."); r.Status != balancer.OK || string(r.Body) != "one." {
				t.Fatalf("first request: status %v, body %q; want OK, %q", r.Status, r.Body, "one.")
			}
			close(sendExcess)
			if late {
				sidecartest.Await(t, "the excess to arrive", func() bool { return !u.idle[endpoint][0].alive() })
			}
			if r := getOnce(context.Background(), u, endpoint, "/two."); r.Status != balancer.OK || string(r.Body) != "two." {
				t.Errorf("second request: status %v, body %q; want OK, %q", r.Status, r.Body, "two.")
			}
			if _, conns := e.Counts(); conns != 2 {
				t.Errorf("the endpoint received %d connections, want 2", conns)
			}
		})
	}
}
