package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/discovery"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

func TestServesAndReusesConnections(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	for _, class := range []string{"read", "pay", "close", "order"} {
		body := "body of " + class
		if class == "read" {
			body = ""
		}
		if got := w.send(w.request(class, body, 3*time.Second)); got.code != http.StatusOK || got.body != "done" {
			t.Errorf("%s: got %+v", class, got)
		}
	}
	if requests, conns := e.Seen(); requests != 4 || conns != 1 {
		t.Errorf("%d requests on %d connections, want 4 on 1", requests, conns)
	}
}

// Whether a request is retried follows from its class and from what is known of the attempt before. Its client sees
// one final response.
func TestRetryLimits(t *testing.T) {
	reset := func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			if n, _ := e.Seen(); n == 1 {
				return
			}
			io.WriteString(conn, sidecartest.Served)
		}
	}
	other := func(h discovery.Entry) discovery.Entry {
		h.Cell = 2
		return h
	}
	for _, c := range []struct {
		name, class string
		first       func(*sidecartest.Endpoint, net.Conn, *bufio.Reader)
		move        func(discovery.Entry) discovery.Entry // of the second endpoint
		code        int
		attempts    int
	}{
		{"safe after a reset", "read", reset, nil, 200, 2},
		{"safe after an error", "read", sidecartest.FirstThen(sidecartest.Failing, sidecartest.Served), nil, 200, 2},
		{"keyed after a reset", "pay", reset, nil, 200, 2},
		{"keyed in its cell", "close", reset, nil, 200, 2},
		{"keyed out of its cell", "close", reset, other, 502, 1},
		{"keyed out of its cell, never ran", "close", sidecartest.FirstThen(sidecartest.Rejected, sidecartest.Served), other, 200, 2},
		{"unsafe after a reset", "order", reset, nil, 502, 1},
		{"unsafe after an error", "order", sidecartest.FirstThen(sidecartest.Failing, sidecartest.Served), nil, 502, 1},
		{"unsafe, never ran", "order", sidecartest.FirstThen(sidecartest.Rejected, sidecartest.Served), nil, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// Both names lead to one endpoint: whichever is chosen first, the first attempt ends as scripted.
			e := sidecartest.NewEndpoint(t, c.first)
			second := ready("s-2", e.Address)
			if c.move != nil {
				second = c.move(second)
			}
			w := start(t, nil, ready("s-1", e.Address), second)
			got := w.send(w.request(c.class, "x", 3*time.Second))
			if n, _ := e.Seen(); got.code != c.code || n != c.attempts || got.err != nil {
				t.Errorf(
					"response %d (%v) after %d attempts, want %d after %d",
					got.code,
					got.err,
					n,
					c.code,
					c.attempts,
				)
			}
			if got.code == http.StatusOK && got.body != "done" {
				t.Errorf("body %q", got.body)
			}
		})
	}
}

// Each attempt has one outcome. They are reported in order, and the last says that the request is answered.
func TestOutcomesAreReportedOnceAndInOrder(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.FirstThen(sidecartest.Rejected, sidecartest.Served))
	w := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address))
	w.send(w.request("order", "x", 3*time.Second))
	w.await("two outcomes", func() bool { return len(w.recorder.statuses()) >= 2 })
	w.recorder.mu.Lock()
	defer w.recorder.mu.Unlock()
	if len(w.recorder.outcomes) != 2 {
		t.Fatalf("%d outcomes, want 2", len(w.recorder.outcomes))
	}
	first, second := w.recorder.outcomes[0], w.recorder.outcomes[1]
	if first.Attempt != 0 || first.Status != balancer.Rejected || first.Answered ||
		second.Attempt != 1 || second.Status != balancer.OK || !second.Answered ||
		first.ID != second.ID || first.Endpoint == second.Endpoint {
		t.Errorf("outcomes %+v", w.recorder.outcomes)
	}
}

// The final response to a request whose endpoint stays silent comes before the client's deadline. The balancer is
// given a timeout, also where its own timer for the same instant cancels the attempt first.
func TestResponseAtTheDeadline(t *testing.T) {
	for class, code := range map[string]int{"read": 503, "pay": 503, "close": 502, "order": 502} {
		t.Run(class, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, sidecartest.Silent)
			w := start(t, nil, ready("s-1", e.Address))
			const left = 400 * time.Millisecond
			sent := w.loop.clock.now()
			got := w.send(w.request(class, "x", left))
			if got.code != code {
				t.Errorf("response %d (%v), want %d", got.code, got.err, code)
			}
			w.await("the outcome", func() bool { return len(w.recorder.statuses()) > 0 })
			if all := w.recorder.statuses(); !slices.Equal(all, []balancer.Status{balancer.Timeout}) {
				t.Errorf("outcomes %v, want one time-out", all)
			}
			w.await("the timer", func() bool {
				w.recorder.mu.Lock()
				defer w.recorder.mu.Unlock()
				return slices.Contains(w.recorder.events, "timer")
			})
			w.runInLoop(func() {
				if len(w.loop.requests.byID) != 0 {
					t.Error("the ledger still holds the request")
				}
			})
			var given int64
			given, _ = strconv.ParseInt(e.Request(0).Header.Get("X-Time-Left-Ms"), 10, 64)
			if limit := left - responseMargin; given <= 0 || given > limit.Milliseconds() {
				t.Errorf("the endpoint was given %d ms of %v, want at most %v", given, left, limit)
			}
			if took := time.Duration(w.loop.clock.now()-sent) * time.Microsecond; took < left/2 {
				t.Errorf("the request was given up after %v of %v", took, left)
			}
		})
	}
}

// A request that the balancer rejects is answered at once, with Retry-After.
func TestRejectedAtOnceWithRetryAfter(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Rejected))
	w := start(t, nil, ready("s-1", e.Address))
	began := time.Now()
	got := w.send(w.request("read", "", time.Minute))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.code != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 1.5 {
		t.Errorf("response %d, Retry-After %q", got.code, got.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("the answer took %v of a minute", took)
	}
}

// A client that disconnects ends its request: the attempt is cancelled by closing its connection, and its outcome is
// still reported, as answered.
func TestClientDisconnects(t *testing.T) {
	closed := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		in.ReadByte() // until the sidecar closes the connection
		close(closed)
	})
	w := start(t, nil, ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go w.send(w.request("pay", "x", time.Minute).WithContext(ctx))
	w.await("the attempt", func() bool { n, _ := e.Seen(); return n == 1 })
	cancel()
	select {
	case <-closed:
	case <-time.After(sidecartest.WaitTimeout):
		t.Fatal("the attempt's connection stays open")
	}
	w.await("the outcome", func() bool { return len(w.recorder.statuses()) == 1 })
	w.recorder.mu.Lock()
	defer w.recorder.mu.Unlock()
	if o := w.recorder.outcomes[0]; o.Status != balancer.Cancelled || !o.Answered {
		t.Errorf("outcome %+v, want cancelled and settled", o)
	}
	if w.recorder.events[0] != "gone" {
		t.Errorf("events %v, want the client's going first", w.recorder.events)
	}
}

// A client that has only closed its sending side counts as disconnected, and must not read a complete response that no
// endpoint gave.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Silent)
	w := start(t, nil, ready("s-1", e.Address))
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	w.request("pay", "x", time.Minute).Write(conn)
	w.await("the attempt", func() bool { n, _ := e.Seen(); return n == 1 })
	conn.(*net.TCPConn).CloseWrite()
	conn.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if got, err := io.ReadAll(conn); len(got) > 0 {
		t.Errorf("the client read %q (%v)", got, err)
	}
}

// The outcome of an attempt whose request has ended is reported as answered, and its response reaches nobody.
func TestLateOutcome(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		<-answer
		io.WriteString(conn, sidecartest.Served)
	})
	// Without leave to cancel, the attempt goes on after its request's end.
	w := start(t, func(s map[string]any) { s["limits"].(map[string]any)["cancel"] = false }, ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go w.send(w.request("pay", "x", time.Minute).WithContext(ctx))
	w.await("the attempt", func() bool { n, _ := e.Seen(); return n == 1 })
	cancel()
	w.await("the client's going", func() bool {
		w.recorder.mu.Lock()
		defer w.recorder.mu.Unlock()
		return slices.Contains(w.recorder.events, "gone")
	})
	close(answer)
	w.await("the outcome", func() bool { return len(w.recorder.statuses()) == 1 })
	w.recorder.mu.Lock()
	defer w.recorder.mu.Unlock()
	if o := w.recorder.outcomes[0]; o.Status != balancer.OK || !o.Answered {
		t.Errorf("outcome %+v, want served and settled", o)
	}
}

// Malformed requests are rejected with the reason, and reach no endpoint.
func TestMalformedRequests(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, func(s map[string]any) {
		s["tenants"] = []any{map[string]any{"name": "acme", "share": 1, "allowance-per-s": 10}}
	}, ready("s-1", e.Address))
	for _, c := range []struct {
		name  string
		alter func(*http.Request)
		code  int
		says  string
	}{
		{"no id", func(r *http.Request) { r.Header.Del("X-Correlation-Id") }, 400, "X-Correlation-Id"},
		{"no class", func(r *http.Request) { r.Header.Del("X-Service-Class") }, 400, "X-Service-Class"},
		{"unknown class", func(r *http.Request) { r.Header.Set("X-Service-Class", "gift") }, 400, "gift"},
		{"no time left", func(r *http.Request) { r.Header.Del("X-Time-Left-Ms") }, 400, "X-Time-Left-Ms"},
		{"bad time left", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "1e3") }, 400, "1e3"},
		{"negative time left", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "-5") }, 400, "-5"},
		{"time left beyond all numbers", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "99999999999999999999") }, 400, "X-Time-Left-Ms"},
		{"no key", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400, "Idempotency-Key"},
		{"wrong method", func(r *http.Request) { r.Method = http.MethodPut }, 405, "POST"},
		{"GET for a class that posts", func(r *http.Request) { r.Method = http.MethodGet }, 405, "POST"},
		{"two classes", func(r *http.Request) { r.Header.Add("X-Service-Class", "read") }, 400, "X-Service-Class"},
		{"two ids", func(r *http.Request) { r.Header.Add("X-Correlation-Id", "9b1f03aa5c7e2d41") }, 400, "X-Correlation-Id"},
		{"two keys", func(r *http.Request) { r.Header.Add("Idempotency-Key", "k") }, 400, "Idempotency-Key"},
		{"an endless id", func(r *http.Request) { r.Header.Set("X-Correlation-Id", strings.Repeat("x", maxIDLength+1)) }, 400, "X-Correlation-Id"},
		{"path of another class", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/read/x", "" }, 400, "path"},
		{"path of no class", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/", "" }, 400, "path"},
		{"time left with a sign", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "+5") }, 400, "+5"},
		{"bad repeat mark", func(r *http.Request) { r.Header.Set("X-Repeat", "often") }, 400, "often"},
		{"negative hint", func(r *http.Request) { r.Header.Set("X-Weight-Hint", "-1") }, 400, "-1"},
		{"bad hint", func(r *http.Request) { r.Header.Set("X-Weight-Hint", "heavy") }, 400, "heavy"},
		{"unknown tenant", func(r *http.Request) { r.Header.Set("X-Account", "nobody") }, 400, "nobody"},
	} {
		r := w.request("pay", "x", 3*time.Second)
		r.Header.Set("X-Account", "acme")
		c.alter(r)
		if got := w.send(r); got.code != c.code || !strings.Contains(got.body, c.says) {
			t.Errorf("%s: got %+v, want %d with %q", c.name, got, c.code, c.says)
		}
	}
	if n, _ := e.Seen(); n != 0 {
		t.Errorf("%d malformed requests reached the endpoint", n)
	}
	r := w.request("pay", strings.Repeat("x", httpmsg.MaxBufferedBytes), 3*time.Second)
	r.Header.Set("X-Account", "acme")
	r.Header.Set("X-Weight-Hint", "90000")
	r.Header.Set("X-Session-Key", "7f3a9c21e0b4d655")
	if got := w.send(r); got.code != http.StatusOK {
		t.Errorf("a well-formed request with the largest body: %+v", got)
	}
}

// An endpoint that begins to drain while an attempt waits for its connection gets nothing, and the request is retried
// elsewhere.
func TestDrainDuringDialRetriesElsewhere(t *testing.T) {
	first, second := newServingEndpoint(t), newServingEndpoint(t)
	w := start(t, nil, ready("s-1", first.Address))
	dialling, proceed := make(chan struct{}), make(chan struct{})
	w.loop.upstream.Dialer.Control = func(_, address string, _ syscall.RawConn) error {
		if address == first.Address {
			close(dialling)
			<-proceed
		}
		return nil
	}
	answer := make(chan reply)
	go func() { answer <- w.send(w.request("order", "x", time.Minute)) }()
	<-dialling
	draining := ready("s-1", first.Address)
	draining.Health = "Terminating"
	w.discovery.change(func() {
		w.discovery.list = discovery.List{
			Version:  1,
			Complete: true,
			Entries:  []discovery.Entry{draining, ready("s-2", second.Address)},
		}
	})
	w.await("the change", func() bool {
		moved := false
		w.runInLoop(func() { moved = w.loop.endpoints.byID[1].target == nil && w.loop.endpoints.byID[2] != nil })
		return moved
	})
	close(proceed)
	if got := <-answer; got.code != http.StatusOK {
		t.Errorf("response %+v", got)
	}
	if n, _ := first.Seen(); n != 0 {
		t.Errorf("the draining endpoint got %d requests", n)
	}
	if all := w.recorder.statuses(); !slices.Equal(all, []balancer.Status{balancer.NotSent, balancer.OK}) {
		t.Errorf("outcomes %v, want not sent and served", all)
	}
}

// After SIGTERM, requests in flight are served, idle connections are closed, new connections are accepted for a while,
// and the sidecar ends without error.
func TestGracefulTermination(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(answer))
	w := start(t, nil, ready("s-1", e.Address))
	w.server.drainPeriod = 3 * time.Second // a busy machine may be slow to connect
	idle, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	w.request("read", "", time.Minute).Write(idle)
	in := bufio.NewReader(idle)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)

	pending := make(chan reply)
	go func() { pending <- w.send(w.request("pay", "x", time.Minute)) }()
	w.await("the request in flight", func() bool { n, _ := e.Seen(); return n == 2 })
	w.stop()
	idle.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	// New connections are still served, one request each.
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	w.request("read", "", time.Minute).Write(conn)
	conn.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if late, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || late.StatusCode != 200 || !late.Close {
		t.Errorf("a request after SIGTERM: %v, %v; want 200 and Connection: close", late, err)
	}
	w.await("the end of accepting", func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	close(answer)
	if got := <-pending; got.code != http.StatusOK || got.body != "done" {
		t.Errorf("the request in flight: %+v", got)
	}
	select {
	case err := <-w.ended:
		if err != nil {
			t.Errorf("the sidecar ended with %v", err)
		}
	case <-time.After(sidecartest.WaitTimeout):
		t.Error("the sidecar does not end")
	}
}
