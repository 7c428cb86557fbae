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
			t.Errorf("%s: got %+v, want 200", class, got)
		}
	}
	if requests, conns := e.Counts(); requests != 4 || conns != 1 {
		t.Errorf("got %d requests on %d connections, want 4 on 1", requests, conns)
	}
}

// The class of a request and the result of its previous attempt decide whether it is retried. Its client gets one final
// response.
func TestRetryLimits(t *testing.T) {
	reset := func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			if n, _ := e.Counts(); n == 1 {
				return
			}
			io.WriteString(conn, sidecartest.ServedResponse)
		}
	}
	failed := sidecartest.RespondFirstThen(sidecartest.FailedResponse, sidecartest.ServedResponse)
	rejected := sidecartest.RespondFirstThen(sidecartest.RejectedResponse, sidecartest.ServedResponse)
	otherCell := func(entry discovery.Entry) discovery.Entry {
		entry.Cell = 2
		return entry
	}
	for _, c := range []struct {
		name, class string
		serve       sidecartest.Handler
		alterSecond func(discovery.Entry) discovery.Entry // may be nil
		code        int
		attempts    int
	}{
		{"idempotent, reset", "read", reset, nil, 200, 2},
		{"idempotent, failed", "read", failed, nil, 200, 2},
		{"idempotency key, reset", "pay", reset, nil, 200, 2},
		{"idempotency key, reset, same cell", "close", reset, nil, 200, 2},
		{"idempotency key, reset, other cell", "close", reset, otherCell, 502, 1},
		{"idempotency key, rejected, other cell", "close", rejected, otherCell, 200, 2},
		{"not idempotent, reset", "order", reset, nil, 502, 1},
		{"not idempotent, failed", "order", failed, nil, 502, 1},
		{"not idempotent, rejected", "order", rejected, nil, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// Both names have the same address: the first attempt ends as scripted, whichever name is picked.
			e := sidecartest.NewEndpoint(t, c.serve)
			second := ready("s-2", e.Address)
			if c.alterSecond != nil {
				second = c.alterSecond(second)
			}
			w := start(t, nil, ready("s-1", e.Address), second)
			got := w.send(w.request(c.class, "x", 3*time.Second))
			if n, _ := e.Counts(); got.code != c.code || n != c.attempts || got.err != nil {
				t.Errorf("got %d (%v) after %d attempts, want %d after %d", got.code, got.err, n, c.code, c.attempts)
			}
			if got.code == http.StatusOK && got.body != "done" {
				t.Errorf("got body %q, want %q", got.body, "done")
			}
		})
	}
}

// Each attempt has one outcome. The outcomes are reported in order, and the last is marked as answered.
func TestOutcomesAreReportedOnceAndInOrder(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.RespondFirstThen(sidecartest.RejectedResponse, sidecartest.ServedResponse))
	w := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address))
	w.send(w.request("order", "x", 3*time.Second))
	w.await("two outcomes", func() bool { return len(w.recorder.statuses()) >= 2 })
	w.recorder.mu.Lock()
	defer w.recorder.mu.Unlock()
	if len(w.recorder.outcomes) != 2 {
		t.Fatalf("got %d outcomes, want 2", len(w.recorder.outcomes))
	}
	first, second := w.recorder.outcomes[0], w.recorder.outcomes[1]
	if first.Attempt != 0 || first.Status != balancer.Rejected || first.Answered ||
		second.Attempt != 1 || second.Status != balancer.OK || !second.Answered ||
		first.ID != second.ID || first.Endpoint == second.Endpoint {
		t.Errorf("got outcomes %+v, want a rejected attempt and a served one elsewhere", w.recorder.outcomes)
	}
}

// The final response to a request whose endpoint stays silent comes before the client's deadline. The timeout is
// reported to the balancer, even if the balancer's own timer for the same instant cancels the attempt first.
func TestResponseBeforeTheClientDeadline(t *testing.T) {
	for class, code := range map[string]int{"read": 503, "pay": 503, "close": 502, "order": 502} {
		t.Run(class, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, sidecartest.NeverRespond)
			w := start(t, nil, ready("s-1", e.Address))
			const timeLeft = 400 * time.Millisecond
			sent := w.loop.clock.now()
			got := w.send(w.request(class, "x", timeLeft))
			if got.code != code {
				t.Errorf("got %d (%v), want %d", got.code, got.err, code)
			}
			w.await("the outcome", func() bool { return len(w.recorder.statuses()) > 0 })
			if all := w.recorder.statuses(); !slices.Equal(all, []balancer.Status{balancer.Timeout}) {
				t.Errorf("got outcomes %v, want one timeout", all)
			}
			w.await("the timer", func() bool {
				w.recorder.mu.Lock()
				defer w.recorder.mu.Unlock()
				return slices.Contains(w.recorder.events, "timer")
			})
			w.runInLoop(func() {
				if len(w.loop.requests.byID) != 0 {
					t.Error("got a request in flight, want none")
				}
			})
			forwarded, _ := strconv.ParseInt(e.Request(0).Header.Get("X-Time-Left-Ms"), 10, 64)
			if limit := timeLeft - responseMargin; forwarded <= 0 || forwarded > limit.Milliseconds() {
				t.Errorf("got %d ms of %v forwarded to the endpoint, want at most %v", forwarded, timeLeft, limit)
			}
			if took := time.Duration(w.loop.clock.now()-sent) * time.Microsecond; took < timeLeft/2 {
				t.Errorf("got the response after %v of %v, want it after half of that at the earliest", took, timeLeft)
			}
		})
	}
}

// A request that the balancer rejects is answered at once, with Retry-After.
func TestRejectedAtOnceWithRetryAfter(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.RejectedResponse))
	w := start(t, nil, ready("s-1", e.Address))
	began := time.Now()
	got := w.send(w.request("read", "", time.Minute))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.code != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 1.5 {
		t.Errorf("got %d with Retry-After %q, want 503 with up to 1.5 s", got.code, got.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("got the response after %v, want it within 30 s", took)
	}
}

// The attempt of a client that disconnects is cancelled by closing its connection. Its outcome is reported as answered.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	closed := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		in.ReadByte() // until the sidecar closes the connection
		close(closed)
	})
	w := start(t, nil, ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go w.send(w.request("pay", "x", time.Minute).WithContext(ctx))
	w.awaitRequests(e, 1)
	cancel()
	select {
	case <-closed:
	case <-time.After(sidecartest.WaitTimeout):
		t.Fatal("the attempt's connection stays open")
	}
	w.awaitOutcome()
	w.recorder.mu.Lock()
	defer w.recorder.mu.Unlock()
	if o := w.recorder.outcomes[0]; o.Status != balancer.Cancelled || !o.Answered {
		t.Errorf("got outcome %+v, want cancelled and answered", o)
	}
	if w.recorder.events[0] != "gone" {
		t.Errorf("got events %v, want the disconnect first", w.recorder.events)
	}
}

// A client that has only closed its sending side counts as disconnected, and must not read a complete response that no
// endpoint sent.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.NeverRespond)
	w := start(t, nil, ready("s-1", e.Address))
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	w.request("pay", "x", time.Minute).Write(conn)
	w.awaitRequests(e, 1)
	conn.(*net.TCPConn).CloseWrite()
	conn.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if got, err := io.ReadAll(conn); len(got) > 0 {
		t.Errorf("the client got %q (%v), want nothing", got, err)
	}
}

// The outcome of an attempt whose request has ended is reported as answered, and its response is discarded.
func TestLateOutcomeIsReportedAsAnswered(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		<-answer
		io.WriteString(conn, sidecartest.ServedResponse)
	})
	// An attempt that must not be cancelled outlives its request.
	w := start(t, func(s map[string]any) { s["limits"].(map[string]any)["cancel"] = false }, ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go w.send(w.request("pay", "x", time.Minute).WithContext(ctx))
	w.awaitRequests(e, 1)
	cancel()
	w.awaitClientGone()
	close(answer)
	w.awaitOutcome()
	w.recorder.mu.Lock()
	defer w.recorder.mu.Unlock()
	if o := w.recorder.outcomes[0]; o.Status != balancer.OK || !o.Answered {
		t.Errorf("got outcome %+v, want served and answered", o)
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
		text  string // part of the response's body
	}{
		{"no id", func(r *http.Request) { r.Header.Del("X-Correlation-Id") }, 400, "X-Correlation-Id"},
		{"no class", func(r *http.Request) { r.Header.Del("X-Service-Class") }, 400, "X-Service-Class"},
		{"unknown class", func(r *http.Request) { r.Header.Set("X-Service-Class", "gift") }, 400, "gift"},
		{"no time left", func(r *http.Request) { r.Header.Del("X-Time-Left-Ms") }, 400, "X-Time-Left-Ms"},
		{"bad time left", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "1e3") }, 400, "1e3"},
		{"negative time left", func(r *http.Request) { r.Header.Set("X-Time-Left-Ms", "-5") }, 400, "-5"},
		{"time left out of range", func(r *http.Request) {
			r.Header.Set("X-Time-Left-Ms", "99999999999999999999")
		}, 400, "X-Time-Left-Ms"},
		{"no key", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400, "Idempotency-Key"},
		{"wrong method", func(r *http.Request) { r.Method = http.MethodPut }, 405, "POST"},
		{"GET for a class that posts", func(r *http.Request) { r.Method = http.MethodGet }, 405, "POST"},
		{"two classes", func(r *http.Request) { r.Header.Add("X-Service-Class", "read") }, 400, "X-Service-Class"},
		{"two ids", func(r *http.Request) { r.Header.Add("X-Correlation-Id", "9b1f03aa5c7e2d41") }, 400, "X-Correlation-Id"},
		{"two keys", func(r *http.Request) { r.Header.Add("Idempotency-Key", "k") }, 400, "Idempotency-Key"},
		{"id too long", func(r *http.Request) {
			r.Header.Set("X-Correlation-Id", strings.Repeat("x", maxIDLength+1))
		}, 400, "X-Correlation-Id"},
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
		if got := w.send(r); got.code != c.code || !strings.Contains(got.body, c.text) {
			t.Errorf("%s: got %+v, want %d with %q", c.name, got, c.code, c.text)
		}
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("got %d requests at the endpoint, want none", n)
	}
	r := w.request("pay", strings.Repeat("x", httpmsg.MaxBufferedBytes), 3*time.Second)
	r.Header.Set("X-Account", "acme")
	r.Header.Set("X-Weight-Hint", "90000")
	r.Header.Set("X-Session-Key", "7f3a9c21e0b4d655")
	if got := w.send(r); got.code != http.StatusOK {
		t.Errorf("a well-formed request with the largest buffered body: got %+v, want 200", got)
	}
}

// An endpoint that begins to drain while an attempt waits for its connection gets nothing, and the request is retried
// elsewhere.
func TestDrainDuringDialRetriesElsewhere(t *testing.T) {
	first, second := newServingEndpoint(t), newServingEndpoint(t)
	w := start(t, nil, ready("s-1", first.Address))
	dialing, proceed := make(chan struct{}), make(chan struct{})
	w.loop.upstream.Dialer.Control = func(_, address string, _ syscall.RawConn) error {
		if address == first.Address {
			close(dialing)
			<-proceed
		}
		return nil
	}
	answer := make(chan reply)
	go func() { answer <- w.send(w.request("order", "x", time.Minute)) }()
	<-dialing
	w.discovery.change(func() {
		w.discovery.list = completeList(1, drainingEntry("s-1", first.Address), ready("s-2", second.Address))
	})
	w.await("the change", func() bool {
		applied := false
		w.runInLoop(func() { applied = w.loop.endpoints.byID[1].target == nil && w.loop.endpoints.byID[2] != nil })
		return applied
	})
	close(proceed)
	if got := <-answer; got.code != http.StatusOK {
		t.Errorf("got %+v, want 200", got)
	}
	if n, _ := first.Counts(); n != 0 {
		t.Errorf("the draining endpoint got %d requests, want none", n)
	}
	if all := w.recorder.statuses(); !slices.Equal(all, []balancer.Status{balancer.NotSent, balancer.OK}) {
		t.Errorf("got outcomes %v, want not sent and served", all)
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
	t.Cleanup(func() { idle.Close() })
	w.request("read", "", time.Minute).Write(idle)
	in := bufio.NewReader(idle)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)

	pending := make(chan reply)
	go func() { pending <- w.send(w.request("pay", "x", time.Minute)) }()
	w.awaitRequests(e, 2)
	w.stop()
	idle.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: got %v, want its end", err)
	}
	// New connections are still served, one request each.
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	w.request("read", "", time.Minute).Write(conn)
	conn.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if late, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || late.StatusCode != 200 || !late.Close {
		t.Errorf("a request after SIGTERM: got %v, %v, want 200 and Connection: close", late, err)
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
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
	w.awaitEnd()
}
