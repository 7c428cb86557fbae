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

// Requests of every class are served, all over one connection to the endpoint.
func TestServesAndReusesConnections(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	for _, class := range []string{"read", "pay", "close", "order"} {
		body := "body of " + class
		if class == "read" {
			body = ""
		}
		if got := h.send(h.request(class, body, 3*time.Second)); got.code != http.StatusOK || got.body != "done" {
			t.Errorf("%s: got %+v, want 200", class, got)
		}
	}
	if requests, conns := e.Counts(); requests != 4 || conns != 1 {
		t.Errorf("got %d requests on %d connections, want 4 on 1", requests, conns)
	}
}

// A retry may run a request twice. It is therefore sent only if the class is idempotent, if the other endpoint
// deduplicates by the idempotency key, or if the first attempt was rejected before it ran. For class close, endpoints
// deduplicate only within their cell. The client gets one final response in each case.
func TestRetryDependsOnClassAndResult(t *testing.T) {
	closeFirst := func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			if n, _ := e.Counts(); n == 1 {
				return
			}
			io.WriteString(conn, sidecartest.ServedResponse)
		}
	}
	failFirst := sidecartest.RespondFirstThen(sidecartest.FailedResponse, sidecartest.ServedResponse)
	rejectFirst := sidecartest.RespondFirstThen(sidecartest.RejectedResponse, sidecartest.ServedResponse)
	otherCell := func(entry discovery.Entry) discovery.Entry {
		entry.Cell = 2
		return entry
	}
	for _, c := range []struct {
		name, class string
		serve       sidecartest.Handler
		alterSecond func(discovery.Entry) discovery.Entry // function that alters the second endpoint's entry; may be nil
		code        int                                   // expected status of the response
		attempts    int                                   // expected number of attempts
	}{
		{"idempotent, reset", "read", closeFirst, nil, 200, 2},
		{"idempotent, failed", "read", failFirst, nil, 200, 2},
		{"idempotency key, reset", "pay", closeFirst, nil, 200, 2},
		{"idempotency key, reset, same cell", "close", closeFirst, nil, 200, 2},
		{"idempotency key, reset, other cell", "close", closeFirst, otherCell, 502, 1},
		{"idempotency key, rejected, other cell", "close", rejectFirst, otherCell, 200, 2},
		{"not idempotent, reset", "order", closeFirst, nil, 502, 1},
		{"not idempotent, failed", "order", failFirst, nil, 502, 1},
		{"not idempotent, rejected", "order", rejectFirst, nil, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// Both entries have the same address, so that the handler gets the first attempt whichever entry the
			// balancer picks.
			e := sidecartest.NewEndpoint(t, c.serve)
			second := ready("s-2", e.Address)
			if c.alterSecond != nil {
				second = c.alterSecond(second)
			}
			h := start(t, nil, ready("s-1", e.Address), second)
			got := h.send(h.request(c.class, "x", 3*time.Second))
			if n, _ := e.Counts(); got.code != c.code || n != c.attempts || got.err != nil {
				t.Errorf("got %d (%v) after %d attempts, want %d after %d", got.code, got.err, n, c.code, c.attempts)
			}
			if got.code == http.StatusOK && got.body != "done" {
				t.Errorf("got body %q, want %q", got.body, "done")
			}
		})
	}
}

// Each attempt has exactly one outcome. The balancer gets the outcomes in the order of the attempts. Only the last
// outcome has Answered set, because the request has its final response by then.
func TestOutcomesAreReportedOnceAndInOrder(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.RespondFirstThen(sidecartest.RejectedResponse, sidecartest.ServedResponse))
	h := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address))
	h.send(h.request("order", "x", 3*time.Second))
	h.await("two outcomes", func() bool { return len(h.recorder.statuses()) >= 2 })
	h.recorder.mu.Lock()
	defer h.recorder.mu.Unlock()
	if len(h.recorder.outcomes) != 2 {
		t.Fatalf("got %d outcomes, want 2", len(h.recorder.outcomes))
	}
	first, second := h.recorder.outcomes[0], h.recorder.outcomes[1]
	if first.Attempt != 0 || first.Status != balancer.Rejected || first.Answered ||
		second.Attempt != 1 || second.Status != balancer.OK || !second.Answered ||
		first.ID != second.ID || first.Endpoint == second.Endpoint {
		t.Errorf("got outcomes %+v, want a rejected attempt and one served by the other endpoint", h.recorder.outcomes)
	}
}

// If the endpoint never responds, the client gets its final response before its deadline. The outcome of the attempt is
// Timeout, even if the balancer's own timer, which is set for the same time, cancels the attempt first.
func TestResponseBeforeTheClientDeadline(t *testing.T) {
	for class, code := range map[string]int{"read": 503, "pay": 503, "close": 502, "order": 502} {
		t.Run(class, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, sidecartest.NeverRespond)
			h := start(t, nil, ready("s-1", e.Address))
			const timeLeft = 400 * time.Millisecond
			sent := h.loop.clock.now()
			got := h.send(h.request(class, "x", timeLeft))
			if got.code != code {
				t.Errorf("got %d (%v), want %d", got.code, got.err, code)
			}
			h.await("the outcome of the attempt", func() bool { return len(h.recorder.statuses()) > 0 })
			if all := h.recorder.statuses(); !slices.Equal(all, []balancer.Status{balancer.Timeout}) {
				t.Errorf("got outcomes %v, want one timeout", all)
			}
			h.await("the balancer's timer", func() bool {
				h.recorder.mu.Lock()
				defer h.recorder.mu.Unlock()
				return slices.Contains(h.recorder.events, "timer")
			})
			h.runInLoop(func() {
				if len(h.loop.requests.byID) != 0 {
					t.Error("got a request in flight, want none")
				}
			})
			forwarded, _ := strconv.ParseInt(e.Request(0).Header.Get("X-Time-Left-Ms"), 10, 64)
			if limit := timeLeft - responseMargin; forwarded <= 0 || forwarded > limit.Milliseconds() {
				t.Errorf("got X-Time-Left-Ms %d at the endpoint, of %v at the client, want more than 0 and at most %v",
					forwarded, timeLeft, limit)
			}
			if took := time.Duration(h.loop.clock.now()-sent) * time.Microsecond; took < timeLeft/2 {
				t.Errorf("got the response %v after sending with %v left, want it after at least half of that",
					took, timeLeft)
			}
		})
	}
}

// A request that the balancer rejects gets 503 with Retry-After at once, not only at its deadline.
func TestRejectedAtOnceWithRetryAfter(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.RejectedResponse))
	h := start(t, nil, ready("s-1", e.Address))
	began := time.Now()
	got := h.send(h.request("read", "", time.Minute))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.code != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 1.5 {
		t.Errorf("got %d with Retry-After %q, want 503 with up to 1.5 s", got.code, got.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("got the response after %v, want it within 30 s", took)
	}
}

// When a client disconnects, the sidecar cancels its attempt by closing the attempt's connection. The balancer is first
// notified of the disconnect and then gets the outcome Cancelled, with Answered set.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	closed := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		in.ReadByte() // returns when the sidecar closes the connection
		close(closed)
	})
	h := start(t, nil, ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go h.send(h.request("pay", "x", time.Minute).WithContext(ctx))
	h.awaitRequests(e, 1)
	cancel()
	select {
	case <-closed:
	case <-time.After(sidecartest.WaitTimeout):
		t.Fatal("the attempt's connection is still open after its client has disconnected")
	}
	h.awaitOutcome()
	h.recorder.mu.Lock()
	defer h.recorder.mu.Unlock()
	if o := h.recorder.outcomes[0]; o.Status != balancer.Cancelled || !o.Answered {
		t.Errorf("got outcome %+v, want status Cancelled with Answered set", o)
	}
	if h.recorder.events[0] != "gone" {
		t.Errorf("got events %v, want the disconnect first", h.recorder.events)
	}
}

// A client that has closed only its sending side is treated as disconnected. It must not read a response that looks
// complete although no endpoint sent one.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.NeverRespond)
	h := start(t, nil, ready("s-1", e.Address))
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	h.request("pay", "x", time.Minute).Write(conn)
	h.awaitRequests(e, 1)
	conn.(*net.TCPConn).CloseWrite()
	conn.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if got, err := io.ReadAll(conn); len(got) > 0 {
		t.Errorf("the client got %q (%v), want nothing", got, err)
	}
}

// An endpoint may respond after the request has ended. The response is discarded, and the outcome has Answered set.
func TestLateOutcomeIsReportedAsAnswered(t *testing.T) {
	release := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		<-release
		io.WriteString(conn, sidecartest.ServedResponse)
	})
	// These settings do not allow cancelling attempts, so that the attempt outlives its request.
	h := start(t, func(s map[string]any) { s["limits"].(map[string]any)["cancel"] = false }, ready("s-1", e.Address))
	ctx, cancel := context.WithCancel(context.Background())
	go h.send(h.request("pay", "x", time.Minute).WithContext(ctx))
	h.awaitRequests(e, 1)
	cancel()
	h.awaitClientGone()
	close(release)
	h.awaitOutcome()
	h.recorder.mu.Lock()
	defer h.recorder.mu.Unlock()
	if o := h.recorder.outcomes[0]; o.Status != balancer.OK || !o.Answered {
		t.Errorf("got outcome %+v, want status OK with Answered set", o)
	}
}

// A malformed request is rejected with a body that names the fault, and reaches no endpoint. A well-formed request with
// the same optional headers is served.
func TestMalformedRequestsReachNoEndpoint(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, func(s map[string]any) {
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
		r := h.request("pay", "x", 3*time.Second)
		r.Header.Set("X-Account", "acme")
		c.alter(r)
		if got := h.send(r); got.code != c.code || !strings.Contains(got.body, c.text) {
			t.Errorf("%s: got %+v, want %d with %q", c.name, got, c.code, c.text)
		}
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("got %d requests at the endpoint, want none", n)
	}
	r := h.request("pay", strings.Repeat("x", httpmsg.MaxBufferedBytes), 3*time.Second)
	r.Header.Set("X-Account", "acme")
	r.Header.Set("X-Weight-Hint", "90000")
	r.Header.Set("X-Session-Key", "7f3a9c21e0b4d655")
	if got := h.send(r); got.code != http.StatusOK {
		t.Errorf("a well-formed request with the largest buffered body: got %+v, want 200", got)
	}
}

// An endpoint may begin to drain while an attempt waits for a connection to it. The attempt is not sent, and the
// request is retried at another endpoint.
func TestDrainDuringDialRetriesElsewhere(t *testing.T) {
	first, second := newServingEndpoint(t), newServingEndpoint(t)
	h := start(t, nil, ready("s-1", first.Address))
	dialing, proceed := make(chan struct{}), make(chan struct{})
	h.loop.upstream.Dialer.Control = func(_, address string, _ syscall.RawConn) error {
		if address == first.Address {
			close(dialing)
			<-proceed
		}
		return nil
	}
	answer := make(chan reply)
	go func() { answer <- h.send(h.request("order", "x", time.Minute)) }()
	<-dialing
	h.discovery.change(func() {
		h.discovery.list = completeList(1, drainingEntry("s-1", first.Address), ready("s-2", second.Address))
	})
	h.await("the list with the draining endpoint to apply", func() bool {
		applied := false
		h.runInLoop(func() { applied = h.loop.endpoints.byID[1].target == nil && h.loop.endpoints.byID[2] != nil })
		return applied
	})
	close(proceed)
	if got := <-answer; got.code != http.StatusOK {
		t.Errorf("got %+v, want 200", got)
	}
	if n, _ := first.Counts(); n != 0 {
		t.Errorf("the draining endpoint got %d requests, want none", n)
	}
	if all := h.recorder.statuses(); !slices.Equal(all, []balancer.Status{balancer.NotSent, balancer.OK}) {
		t.Errorf("got outcomes %v, want NotSent and OK", all)
	}
}

// After SIGTERM, requests in flight are served, idle connections are closed, new connections are accepted for the drain
// period, and the sidecar ends without error.
func TestGracefulTermination(t *testing.T) {
	release := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(release))
	h := start(t, nil, ready("s-1", e.Address))
	h.server.drainPeriod = 3 * time.Second // long enough to connect on a busy machine
	idle, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { idle.Close() })
	h.request("read", "", time.Minute).Write(idle)
	in := bufio.NewReader(idle)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, response.Body)

	pending := make(chan reply)
	go func() { pending <- h.send(h.request("pay", "x", time.Minute)) }()
	h.awaitRequests(e, 2)
	h.stop()
	idle.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: got %v, want io.EOF", err)
	}
	// New connections are still served, one request each.
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	h.request("read", "", time.Minute).Write(conn)
	conn.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if late, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || late.StatusCode != 200 || !late.Close {
		t.Errorf("a request after SIGTERM: got %v, %v, want 200 and Connection: close", late, err)
	}
	h.await("new connections to be refused", func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	close(release)
	if got := <-pending; got.code != http.StatusOK || got.body != "done" {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
	h.awaitEnd()
}
