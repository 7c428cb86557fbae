package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"weak"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

func newTestUpstream(t *testing.T, most int) *Client {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",` +
		`"limits":{"memory_mb":192,"sockets":256},"settings":` + sidecartest.SettingsText + `}`))
	if err != nil {
		t.Fatal(err)
	}
	u := NewClient(cfg, most, httpmsg.NewMemoryBudget(24<<20))
	u.ReuseDelay = 0 // most tests use a connection again at once
	return u
}

func get(path string) *Request {
	return &Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: "api", Header: http.Header{
		"X-Correlation-Id": {"1"}, "Idempotency-Key": {"k"}}}
}

// Each row of the table of outcomes, on a new connection.
func TestOutcomes(t *testing.T) {
	hangUp := func(answer string) func(*sidecartest.Endpoint, net.Conn, *bufio.Reader) {
		return func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			e.Next(in)
			io.WriteString(conn, answer)
		}
	}
	for _, c := range []struct {
		name  string
		serve func(*sidecartest.Endpoint, net.Conn, *bufio.Reader)
		want  balancer.Status
	}{
		{"served", sidecartest.Always(sidecartest.Served), balancer.OK},
		{"served after an interim answer", sidecartest.Always("HTTP/1.1 103 Early Hints\r\n\r\n" + sidecartest.Served), balancer.OK},
		{"served in chunks", sidecartest.Always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.OK},
		{"served with a copy behind", sidecartest.Always(sidecartest.Served + sidecartest.Served), balancer.OK},
		{"whole only by the connection's end", hangUp("HTTP/1.1 200 OK\r\n\r\ndone"), balancer.Reset},
		{"whole in two ways", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"the same length twice", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"two lengths", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\ndone"), balancer.Reset},
		{"in two ways after interim answers", sidecartest.Always("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), balancer.Reset},
		{"interim answers without end", sidecartest.Always(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)), balancer.Reset},
		{"a length without end", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ndone"), balancer.Reset},
		{"stalled in its body", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"stalled in its head", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-"), balancer.Reset},
		{"a broken chunk", sidecartest.Always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\nzz\r\n"), balancer.Reset},
		{"a broken status line", sidecartest.Always("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"another protocol", sidecartest.Always("ICY 200 OK\r\nContent-Length: 4\r\n\r\ndone"), balancer.Reset},
		{"error", sidecartest.Always(sidecartest.Failing), balancer.EndpointError},
		{"an answer nobody expects", sidecartest.Always("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"), balancer.EndpointError},
		{"full", sidecartest.Always(sidecartest.TurnedAway), balancer.Rejected},
		{"over already", sidecartest.Always("HTTP/1.1 504 Gateway Timeout\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Rejected},
		{"503 without proof", sidecartest.Always("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), balancer.EndpointError},
		{"500 with a proof that it must not claim", sidecartest.Always("HTTP/1.1 500 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.EndpointError},
		{"closed after the request", hangUp(""), balancer.Reset},
		{"cut in its body", hangUp("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone"), balancer.Reset},
		{"cut in a chunk", hangUp("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), balancer.Reset},
		{"cut in its head", hangUp("HTTP/1.1 200 OK\r\nContent-"), balancer.Reset},
		{"503 cut before it is whole", hangUp("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\n"), balancer.Reset},
		{"malformed", sidecartest.Always("nonsense\r\n\r\n"), balancer.Reset},
		{"malformed length", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone"), balancer.Reset},
		{"served until the announced end", hangUp("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone"), balancer.OK},
		{"body too large", sidecartest.Always("HTTP/1.1 200 OK\r\nContent-Length: 67108865\r\n\r\nx"), balancer.Reset},
		{"an error's body too large", sidecartest.Always("HTTP/1.1 500 x\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), balancer.Reset},
		{"head without end", sidecartest.Always("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10)), balancer.Reset},
		{"silent", sidecartest.Silent, balancer.Timeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, wait := sidecartest.NewEndpoint(t, c.serve), sidecartest.Patience
			if c.want == balancer.Timeout {
				wait = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			u := newTestUpstream(t, 4)
			r := u.Attempt(ctx, &Endpoint{Address: e.Address}, get("/"), &Gate{})
			if r.Status != c.want {
				t.Errorf("status %v, want %v", r.Status, c.want)
			}
			if r.Status == balancer.OK && string(r.Body) != "done" {
				t.Errorf("body %q", r.Body)
			}
		})
	}
}

func TestConnectionRefusedNeverRan(t *testing.T) {
	u := newTestUpstream(t, 1)
	for range 2 { // a failed connection gives its place back
		r := u.Attempt(context.Background(), &Endpoint{Address: sidecartest.ClosedAddress(t)}, get("/"), &Gate{})
		if r.Status != balancer.ConnectFailed {
			t.Errorf("status %v, want ConnectFailed", r.Status)
		}
	}
}

// A machine that vanished says nothing: the connection never comes up.
func TestConnectionThatNeverComesUp(t *testing.T) {
	u := newTestUpstream(t, 1)
	u.Dialer.Timeout = 20 * time.Millisecond
	u.Dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		<-ctx.Done()
		return ctx.Err()
	}
	r := u.Attempt(context.Background(), &Endpoint{Address: sidecartest.ClosedAddress(t)}, get("/"), &Gate{})
	if r.Status != balancer.ConnectFailed {
		t.Errorf("status %v, want ConnectFailed", r.Status)
	}
}

// A connection that breaks before the last byte is written proves that the
// request never ran. Small buffers on both sides leave part of it unwritten.
func TestBreakBeforeTheLastByteNeverRan(t *testing.T) {
	small := func(option int) func(string, string, syscall.RawConn) error {
		return func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 2048) })
		}
	}
	config := net.ListenConfig{Control: small(syscall.SO_RCVBUF)}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		io.ReadFull(conn, make([]byte, 64))
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}()
	u := newTestUpstream(t, 1)
	u.Dialer.Control = small(syscall.SO_SNDBUF)
	m := get("/")
	m.Method, m.Body = http.MethodPost, make([]byte, httpmsg.MaxBodyBytes)
	if r := u.Attempt(context.Background(), &Endpoint{Address: listener.Addr().String()}, m, &Gate{}); r.Status != balancer.ConnectFailed {
		t.Errorf("status %v, want ConnectFailed", r.Status)
	}
}

// What goes to an endpoint is the client's request, with the time that is left.
func TestRequestGoesOnUnchanged(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	at, _ := url.Parse("/pay/x%2Fy?q=1&r=%20")
	m := &Request{Method: http.MethodPost, URL: at, Host: "api.internal", Body: []byte("body"),
		Header: http.Header{"X-Correlation-Id": {"9b"}, "Idempotency-Key": {"5c"}, "X-Time-Left-Ms": {"99999"},
			"Connection": {"close"}, "Expect": {"100-continue"}, "Content-Length": {"7"}}}
	ctx, cancel := context.WithTimeout(context.Background(), sidecartest.Patience)
	defer cancel()
	if r := newTestUpstream(t, 1).Attempt(ctx, &Endpoint{Address: e.Address}, m, &Gate{}); r.Status != balancer.OK {
		t.Fatalf("status %v", r.Status)
	}
	got := e.Request(0)
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/pay/x%2Fy?q=1&r=%20" || got.Host != "api.internal" ||
		string(body) != "body" || got.Header.Get("X-Correlation-Id") != "9b" || got.Header.Get("Idempotency-Key") != "5c" {
		t.Errorf("the endpoint got %s %s, host %s, %v, body %q", got.Method, got.RequestURI, got.Host, got.Header, body)
	}
	if got.Close || got.Header.Get("Expect") != "" {
		t.Errorf("headers of the client's connection went on: %v", got.Header)
	}
	var left int64
	fmt.Sscan(got.Header.Get("X-Time-Left-Ms"), &left)
	if left <= 0 || left > sidecartest.Patience.Milliseconds() {
		t.Errorf("X-Time-Left-Ms %q", got.Header.Get("X-Time-Left-Ms"))
	}
}

// A connection is used again, and one that broke while a request was out is no
// reason to send that request again: http.Transport would, for a GET or with an
// Idempotency-Key, on a connection that had been idle.
func TestNoHiddenResend(t *testing.T) {
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		if e.Next(in) != nil {
			io.WriteString(conn, sidecartest.Served)
			e.Next(in) // and end without an answer
		}
	})
	u, at := newTestUpstream(t, 4), &Endpoint{Address: e.Address}
	if r := u.Attempt(context.Background(), at, get("/1"), &Gate{}); r.Status != balancer.OK {
		t.Fatalf("first: status %v", r.Status)
	}
	if r := u.Attempt(context.Background(), at, get("/2"), &Gate{}); r.Status != balancer.Reset {
		t.Errorf("second: status %v, want Reset", r.Status)
	}
	if requests, conns := e.Seen(); requests != 2 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", requests, conns)
	}
}

// An idle connection that its endpoint has closed must not be written to: the
// request would end as a reset that may have run.
func TestStaleIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		io.WriteString(conn, sidecartest.Served)
		conn.Close()
		closed <- struct{}{}
	})
	u, at := newTestUpstream(t, 1), &Endpoint{Address: e.Address}
	for i := range 2 {
		if r := u.Attempt(context.Background(), at, get("/"), &Gate{}); r.Status != balancer.OK {
			t.Fatalf("attempt %d: status %v, want OK", i, r.Status)
		}
		<-closed
		sidecartest.Await(t, "the end of the connection to arrive", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return len(u.idle[at]) == 0 || !u.idle[at][0].alive()
		})
	}
}

// Idle connections are retired before the endpoint's own limit, both when one is
// asked for and by the regular sweep.
func TestIdleConnectionsAreRetiredEarly(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	u, at := newTestUpstream(t, 4), &Endpoint{Address: e.Address}
	if limit := 5 * time.Second; u.maxIdle > limit*4/5 {
		t.Errorf("idle connections are used for %v of %v", u.maxIdle, limit)
	}
	attempt := func() {
		t.Helper()
		if r := u.Attempt(context.Background(), at, get("/"), &Gate{}); r.Status != balancer.OK {
			t.Fatalf("status %v", r.Status)
		}
	}
	attempt()
	u.idle[at][0].idleSince = time.Now().Add(-u.maxIdle)
	attempt()
	if _, conns := e.Seen(); conns != 2 {
		t.Errorf("%d connections, want a second one after the idle time", conns)
	}
	u.Prune()
	if u.open != 1 {
		t.Errorf("the sweep left %d connections open, want the one in use lately", u.open)
	}
	u.idle[at][0].idleSince = time.Now().Add(-u.maxIdle)
	u.Prune()
	if u.open != 0 || len(u.idle[at]) != 0 {
		t.Errorf("the sweep left %d open connections", u.open)
	}
	attempt()
	if u.Retire(at); u.open != 0 {
		t.Errorf("an endpoint that is gone keeps %d connections", u.open)
	}
}

// The descriptors are bounded: an idle connection makes room, a busy one does not.
func TestConnectionsAreBounded(t *testing.T) {
	quick, slow := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served)), sidecartest.NewEndpoint(t, sidecartest.Silent)
	u := newTestUpstream(t, 1)
	if r := u.Attempt(context.Background(), &Endpoint{Address: quick.Address}, get("/"), &Gate{}); r.Status != balancer.OK {
		t.Fatalf("status %v", r.Status)
	}
	ctx, cancel := context.WithCancel(context.Background())
	busy := make(chan Result)
	go func() { busy <- u.Attempt(ctx, &Endpoint{Address: slow.Address}, get("/"), &Gate{}) }()
	sidecartest.Await(t, "the slow endpoint's request", func() bool { n, _ := slow.Seen(); return n == 1 })
	if r := u.Attempt(context.Background(), &Endpoint{Address: quick.Address}, get("/"), &Gate{}); r.Status != balancer.NotSent {
		t.Errorf("beyond the limit: status %v, want Moot", r.Status)
	}
	cancel()
	if r := <-busy; r.Status != balancer.Cancelled {
		t.Errorf("called off: status %v, want Cancelled", r.Status)
	}
	if r := u.Attempt(context.Background(), &Endpoint{Address: quick.Address}, get("/"), &Gate{}); r.Status != balancer.OK {
		t.Errorf("with room again: status %v, want OK", r.Status)
	}
}

// Where lists are long, probes alone could hold every connection that may be open:
// some are left to requests.
func TestProbesLeaveConnectionsToRequests(t *testing.T) {
	u, at := newTestUpstream(t, 8), &Endpoint{Address: sidecartest.ClosedAddress(t)}
	for i, c := range []struct {
		probe bool
		most  int
	}{{true, 6}, {false, 8}} {
		for u.open < c.most {
			if _, err := u.reserve(at, c.probe); err != nil {
				t.Fatalf("%d connections are open, no other one can be: %v", u.open, err)
			}
		}
		if _, err := u.reserve(at, c.probe); !errors.Is(err, errConnectionLimit) {
			t.Errorf("case %d: %d of 8 connections are open, and one more: %v", i, u.open, err)
		}
		if r := u.Probe(t.Context(), at); r.Status != balancer.NotSent {
			t.Errorf("case %d: a probe without a connection: %v", i, r.Status)
		}
	}
}

// A closed connection gives its memory back: where endpoints are many, most of them had one.
func TestClosedConnectionsAreNotKept(t *testing.T) {
	const endpoints, maxOpen = 20, 4
	for _, c := range []struct {
		name string
		drop func(u *Client)
		kept int
	}{
		{"to make room", func(*Client) {}, maxOpen},
		{"beyond a lower limit", func(u *Client) { u.SetMaxConnections(1) }, 1},
		{"idle for too long", func(u *Client) { u.maxIdle = 0; u.Prune() }, 0},
	} {
		u := newTestUpstream(t, maxOpen)
		var all []weak.Pointer[conn]
		for range endpoints {
			e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
			to := &Endpoint{Address: e.Address}
			if r := u.Attempt(t.Context(), to, get("/"), &Gate{}); r.Status != balancer.OK {
				t.Fatalf("%s: status %v", c.name, r.Status)
			}
			all = append(all, weak.Make(u.idle[to][0]))
		}
		c.drop(u)
		// Their contexts and pollers let go of them a moment later.
		sidecartest.Await(t, "closed connections to be collected, "+c.name, func() bool {
			runtime.GC()
			kept := 0
			for _, p := range all {
				if p.Value() != nil {
					kept++
				}
			}
			return kept <= c.kept
		})
		if len(u.idle) != c.kept {
			t.Errorf("%s: %d endpoints have idle connections, want %d", c.name, len(u.idle), c.kept)
		}
		runtime.KeepAlive(u)
	}
}

// A send that waited for its connection must not start once its endpoint drains.
func TestDrainDuringDial(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	u, at := newTestUpstream(t, 1), &Endpoint{Address: e.Address}
	dialling, unblock := make(chan struct{}), make(chan struct{})
	u.Dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		close(dialling)
		<-unblock
		return nil
	}
	done := make(chan Result)
	go func() { done <- u.Attempt(context.Background(), at, get("/"), &Gate{}) }()
	<-dialling
	u.Retire(at)
	close(unblock)
	if r := <-done; r.Status != balancer.NotSent {
		t.Errorf("status %v, want Moot", r.Status)
	}
	if n, _ := e.Seen(); n != 0 {
		t.Errorf("the draining endpoint got %d requests", n)
	}
	if r := u.Attempt(context.Background(), at, get("/"), &Gate{}); r.Status != balancer.NotSent || u.open != 0 {
		t.Errorf("later: status %v, want Moot; %d connections open", r.Status, u.open)
	}
}

func TestProbe(t *testing.T) {
	report := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for _, c := range []struct {
		name, answer string
		status       balancer.Status
		load         []float32 // -1: not a number
	}{
		{"both figures, in any order", report("pending=7,failed_ps=0.5\n"), balancer.OK, []float32{0.5, 7}},
		{"one figure and others", report("util=0.3,pending=2"), balancer.OK, []float32{-1, 2}},
		{"a malformed figure", report("pending=many,failed_ps=1,,=,x"), balancer.OK, []float32{1, -1}},
		{"a repeated figure", report("pending=1,failed_ps=2,pending=3"), balancer.OK, []float32{2, -1}},
		{"figures beyond sense", report("pending=1e30,failed_ps=-1"), balancer.OK, []float32{-1, -1}},
		{"figures that are none", report("pending=NaN,failed_ps=+Inf"), balancer.OK, []float32{-1, -1}},
		{"no report yet", report(""), balancer.OK, nil},
		{"turned away", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", balancer.EndpointError, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, sidecartest.Always(c.answer))
			r := newTestUpstream(t, 1).Probe(context.Background(), &Endpoint{Address: e.Address})
			for i, v := range r.Load {
				if v != v {
					r.Load[i] = -1
				}
			}
			if r.Status != c.status || !slices.Equal(r.Load, c.load) {
				t.Errorf("status %v, load %v; want %v, %v", r.Status, r.Load, c.status, c.load)
			}
			if path := e.Request(0).RequestURI; path != "/stats" {
				t.Errorf("asked %s", path)
			}
		})
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
