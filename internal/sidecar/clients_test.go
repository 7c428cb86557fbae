package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/admin"
	"oakproxy/internal/downstream"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// dial opens a connection to the sidecar. Its reads and writes fail once WaitTimeout has passed.
func (h *harness) dial() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	return conn
}

// sendRaw sends text on a new connection and returns everything that it reads until the connection ends.
func (h *harness) sendRaw(text string) string {
	h.t.Helper()
	conn := h.dial()
	io.WriteString(conn, text)
	got, err := io.ReadAll(conn)
	if timedOut(err) {
		h.t.Errorf("got %q and a timeout, want the end of the connection", got)
	}
	return string(got)
}

// A request with both Content-Length and Transfer-Encoding can hide (smuggle) another request in its body. The sidecar
// rejects it as soon as it has read the head, and reads nothing after the head as a request. A handler cannot detect
// such a request by itself: net/http does not show the second framing to the handler.
func TestRequestSmuggledInABodyIsNotServed(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	smuggled := sidecartest.ReadHead + "X-Correlation-Id: 2\r\n\r\n"
	body := "0\r\n\r\n" + smuggled
	for name, head := range map[string]string{
		"length first":  fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body)),
		"coding first":  fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(body)),
		"in lower case": fmt.Sprintf("transfer-encoding:chunked\ncontent-length:%d\n", len(body)),
	} {
		got := h.sendRaw(sidecartest.PayHead + "X-Correlation-Id: 1\r\n" + head + "\r\n" + body)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 400") ||
			!strings.Contains(got, "Transfer-Encoding") {
			t.Errorf("%s: got %q, want one 400 that names Transfer-Encoding", name, got)
		}
	}
	// net/http skips empty lines between two requests, so such a request may also follow an empty line.
	conn := h.dial()
	in := bufio.NewReader(conn)
	io.WriteString(conn, sidecartest.PayHead+"X-Correlation-Id: 3\r\nContent-Length: 2\r\n\r\nok")
	if response, err := http.ReadResponse(in, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("a valid request: got %v, %v, want 200", response, err)
	} else {
		io.Copy(io.Discard, response.Body)
	}
	fmt.Fprintf(conn, "\r\n%sX-Correlation-Id: 4\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		sidecartest.PayHead, len(body), body)
	second, _ := io.ReadAll(in)
	if strings.Count(string(second), "HTTP/1.1") != 1 || !strings.HasPrefix(string(second), "HTTP/1.1 400") {
		t.Errorf("after an empty line: got %q, want one 400", second)
	}
	if n, _ := e.Counts(); n != 1 {
		t.Errorf("got %d requests at the endpoint, want the valid one", n)
	}
}

// A request with a chunked body is served, and its connection ends with the response. If another request is pipelined
// behind the first, only the first is served, and the connection ends, too.
func TestChunkedAndPipelinedRequests(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	for name, text := range map[string]string{
		"chunked": sidecartest.PayHead + "X-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"pipelined": sidecartest.PayHead + "X-Correlation-Id: 2\r\nContent-Length: 4\r\n\r\nbody" +
			sidecartest.ReadHead + "X-Correlation-Id: 3\r\n\r\n",
	} {
		got := h.sendRaw(text)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Errorf("%s: got %q, want one 200", name, got)
		}
	}
	if n, _ := e.Counts(); n != 2 {
		t.Errorf("got %d requests at the endpoint, want 2", n)
	}
	for i := range 2 {
		if body, _ := io.ReadAll(e.Request(i).Body); string(body) != "body" {
			t.Errorf("the endpoint got body %q, want %q", body, "body")
		}
	}
}

// An invalid request is rejected before its body is read, or its connection is closed. It reaches no endpoint.
func TestInvalidRequestsAreRejected(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	for name, c := range map[string]struct{ text, want string }{
		"length beyond the limit": {sidecartest.PayHead + "X-Correlation-Id: 1\r\n" +
			"Content-Length: 3000000000\r\n\r\n", "HTTP/1.1 413"},
		"negative length": {sidecartest.PayHead + "X-Correlation-Id: 1\r\n" +
			"Content-Length: -3\r\n\r\nabc", "HTTP/1.1 400"},
		"two lengths": {sidecartest.PayHead + "X-Correlation-Id: 1\r\n" +
			"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "HTTP/1.1 400"},
		"malformed chunk": {sidecartest.PayHead + "X-Correlation-Id: 1\r\n" +
			"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", "HTTP/1.1 400"},
		"GET with a body": {sidecartest.ReadHead + "X-Correlation-Id: 1\r\n" +
			"Content-Length: 3\r\n\r\nabc", "HTTP/1.1 400"},
		"not HTTP":     {"\x16\x03\x01\x02\r\n\r\n", "HTTP/1.1 400"},
		"endless head": {sidecartest.PayHead + "X-Pad: " + strings.Repeat("p", 100<<10), "HTTP/1.1 431"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := h.sendRaw(c.text); !strings.HasPrefix(got, c.want) && got != "" { // a reset may discard the response
				t.Errorf("got %q, want %s", got, c.want)
			}
		})
	}
	t.Cleanup(func() {
		if n, _ := e.Counts(); n != 0 {
			t.Errorf("got %d requests at the endpoint, want none", n)
		}
	})
}

// A client may be rejected while it is still sending its body. It can finish sending within downstream.MaxLinger and
// then read its response, also if it sent Connection: close. If the sidecar closed the connection early, the remaining
// body would cause a reset, and the response might be lost.
func TestClientRejectedWhileSendingReadsItsResponse(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	for _, c := range []struct {
		name, head string
		size, code int
		noMemory   bool // whether the memory for bodies is used up
	}{
		{"too large", sidecartest.PayHead + "X-Correlation-Id: 1\r\n",
			httpmsg.MaxBodyBytes + 1, http.StatusRequestEntityTooLarge, false},
		{"bad hint", sidecartest.PayHead + "X-Correlation-Id: 2\r\nX-Weight-Hint: -1\r\n",
			httpmsg.MaxBufferedBytes, http.StatusBadRequest, false},
		{"no memory", sidecartest.PayHead + "X-Correlation-Id: 3\r\n",
			httpmsg.MaxBufferedBytes, http.StatusServiceUnavailable, true},
	} {
		reservedBefore := h.loop.upstream.Memory.Bodies.Used.Load()
		if c.noMemory {
			h.loop.upstream.Memory.Bodies.Used.Add(int64(h.loop.cfg.Limits.MemoryMB) << 20)
		}
		conn := h.dial()
		in := bufio.NewReader(conn)
		fmt.Fprintf(conn, "%sConnection: close\r\nContent-Length: %d\r\n\r\nx", c.head, c.size)
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != c.code {
			t.Errorf("%s: got %v, %v, want %d", c.name, response, err, c.code)
			continue
		}
		// If the sidecar had closed the connection, the first piece would cause a reset and the second write
		// would fail.
		for _, piece := range []int{1, c.size - 2} {
			if _, err := io.WriteString(conn, strings.Repeat("x", piece)); err != nil {
				t.Errorf("%s: sending the remaining body: %v", c.name, err)
			}
		}
		if _, err := io.Copy(io.Discard, in); err != nil {
			t.Errorf("%s: reading to the end of the connection: %v", c.name, err)
		}
		if c.noMemory {
			h.loop.upstream.Memory.Bodies.Used.Add(-int64(h.loop.cfg.Limits.MemoryMB) << 20)
		}
		if reserved := h.loop.upstream.Memory.Bodies.Used.Load(); reserved != reservedBefore {
			t.Errorf("%s: got %d bytes of body memory still reserved, want none", c.name, reserved-reservedBefore)
		}
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("got %d requests at the endpoint, want none", n)
	}
}

// Clients that send nothing, send too slowly or stop sending must not hold connections. Such a connection may stay open
// for at most 3 s, so readTimeout and idleTimeout must not exceed 2.9 s.
func TestIdleAndSlowClientsAreClosed(t *testing.T) {
	for _, limit := range []time.Duration{readTimeout, idleTimeout} {
		if limit < 2*time.Second || limit > 2900*time.Millisecond {
			t.Errorf("got a timeout of %v, want 2 s to 2.9 s", limit)
		}
	}
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	for name, c := range map[string]struct{ text, want string }{
		"nothing":     {"", ""},
		"half a head": {sidecartest.PayHead, ""},
		"half a body": {sidecartest.PayHead + "X-Correlation-Id: 1\r\nContent-Length: 9\r\n\r\nabc", "HTTP/1.1 400"},
		"one request": {sidecartest.ReadHead + "X-Correlation-Id: 2\r\n\r\n", "HTTP/1.1 200"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := h.sendRaw(c.text); !strings.HasPrefix(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// The read deadline must be cleared once a request is read. Otherwise net/http cancels the request's context when the
// deadline passes, as if the client had disconnected, and a later response is lost.
func TestResponseLaterThanTheReadTimeout(t *testing.T) {
	t.Parallel()
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			time.Sleep(readTimeout + 300*time.Millisecond)
			io.WriteString(conn, sidecartest.ServedResponse)
		}
	})
	h := start(t, nil, ready("s-1", e.Address))
	for class, body := range map[string]string{"read": "", "pay": "x"} {
		if got := h.send(h.request(class, body, time.Minute)); got.code != http.StatusOK {
			t.Errorf("%s: got %+v, want 200", class, got)
		}
	}
}

// Silent connections must neither block new ones nor use up the descriptors that attempts need. Beyond the connection
// limit, the connection that has been silent longest is closed. One with a request in flight stays open.
func TestClientConnectionsAreLimited(t *testing.T) {
	release := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(release))
	h := start(t, nil, ready("s-1", e.Address))
	first := make(chan reply)
	go func() { first <- h.send(h.request("pay", "x", time.Minute)) }()
	h.awaitRequests(e, 1)
	h.await("other connections to end", func() bool { return h.server.clients.Count() == 1 })
	oldest := h.dial()
	h.await("the oldest connection to be accepted", func() bool { return h.server.clients.Count() == 2 })
	for range h.server.clients.MaxConnections - 2 {
		h.dial()
	}
	h.await("the connection limit to be reached", func() bool {
		return h.server.clients.Count() == h.server.clients.MaxConnections
	})
	if got := h.send(h.request("read", "", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("beyond the limit: got %+v, want 200", got)
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the connection that was silent longest: got data, want its end")
	} else if timedOut(err) {
		t.Error("the connection that was silent longest is still open")
	}
	if n := h.server.clients.Count(); n > h.server.clients.MaxConnections {
		t.Errorf("got %d connections, want at most %d", n, h.server.clients.MaxConnections)
	}
	close(release)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
}

// Clients that send one request and keep the connection must not use up all connections. While more connections than
// MaxUsed have carried a request, each response closes its connection.
func TestResponsesCloseConnectionsWhenCrowded(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	h.await("other connections to end", func() bool { return h.server.clients.Count() == 0 })
	const maxUsed = 3 // so low that all requests arrive before a connection reaches its idle timeout
	limit, _ := h.server.clients.Limits()
	h.server.clients.SetLimits(limit, maxUsed)
	for i := range maxUsed + 3 {
		conn := h.dial()
		h.request("read", "", time.Minute).Write(conn)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: got %v, %v, want 200", i, response, err)
		}
		if want := i >= h.server.clients.MaxUsed; response.Close != want {
			t.Fatalf("request %d: got Connection: close %v, want %v", i, response.Close, want)
		}
		if response.Close {
			h.await("the connection to be closed", func() bool {
				return h.server.clients.Count() == h.server.clients.MaxUsed
			})
		}
	}
}

// The memory for bodies is limited. A request that does not fit in it is rejected before its body is read, except for the
// allowance of each request: large bodies must not affect small ones.
func TestBodyMemoryIsLimited(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	const bodyShare = 8 // the part of the memory for bodies, an eighth
	h.loop.upstream.Memory.Bodies.Used.Add(int64(h.loop.cfg.Limits.MemoryMB) << 20 / bodyShare)
	large := strings.Repeat("x", httpmsg.BodyAllowance+1)
	if got := h.send(h.request("pay", large, 3*time.Second)); got.code != http.StatusServiceUnavailable ||
		got.header.Get("Retry-After") == "" {
		t.Errorf("body memory used up: got %+v, want 503 with Retry-After", got)
	}
	if got := h.send(h.request("pay", large[1:], 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("body memory used up, a small body: got %+v, want 200", got)
	}
	h.loop.upstream.Memory.Bodies.Used.Store(0)
	if got := h.send(h.request("pay", large, 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("body memory free: got %+v, want 200", got)
	}
	h.awaitReleasedMemory()
}

// Idle clients may hold all client connections while discovery is down. They must leave enough descriptors for
// calls to discovery: once discovery recovers, its list applies and requests are sent to the endpoints in it.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	first, second := newServingEndpoint(t), newServingEndpoint(t)
	h := start(t, nil, ready("s-1", first.Address))
	h.await("the watch to begin", func() bool { return h.discovery.callCount() >= 2 })
	h.discovery.change(func() { h.discovery.down = true })
	// Each client reconnects soon after the sidecar has closed its connection.
	stop, stopped := make(chan struct{}), make(chan struct{})
	clientCount := h.server.clients.MaxConnections + 2*downstream.MaxRejected
	for range clientCount {
		go func() {
			defer func() { stopped <- struct{}{} }()
			for {
				conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
				if err != nil {
					t.Error(err)
					return
				}
				closed := make(chan struct{})
				go func() {
					select {
					case <-stop:
					case <-closed:
					}
					conn.Close()
				}()
				conn.Read(make([]byte, 1)) // returns when the sidecar closes the connection
				close(closed)
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond): // limits the rate of new connections
				}
			}
		}()
	}
	h.await("the connection limit to be reached", func() bool {
		return h.server.clients.Count() >= h.server.clients.MaxConnections
	})
	h.discovery.change(func() {
		h.discovery.down = false
		h.discovery.list = completeList(1, ready("s-2", second.Address))
	})
	h.await("a request at the new endpoint", func() bool {
		h.send(h.request("read", "", 3*time.Second))
		requests, _ := second.Counts()
		return requests > 0
	})
	limit := h.loop.cfg.Limits.Sockets
	descriptors := 2*h.server.clients.MaxConnections + downstream.MaxRejected + admin.MaxConnections + 4
	if descriptors > limit {
		t.Errorf("the limits on connections allow %d descriptors, want at most %d, the limit on sockets",
			descriptors, limit)
	}
	if open := h.server.clients.Count(); open > h.server.clients.MaxConnections+downstream.MaxRejected {
		t.Errorf("got %d client connections, want at most %d", open, h.server.clients.MaxConnections+downstream.MaxRejected)
	}
	close(stop)
	for range clientCount {
		<-stopped
	}
}
