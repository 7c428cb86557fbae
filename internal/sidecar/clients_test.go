package sidecar

import (
	"bufio"
	"context"
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

// dial opens a connection to the sidecar that fails after WaitTimeout.
func (w *harness) dial() net.Conn {
	w.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	return conn
}

// raw sends text on a new connection and returns all that it reads until the connection ends.
func (w *harness) raw(text string) string {
	w.t.Helper()
	conn := w.dial()
	io.WriteString(conn, text)
	got, err := io.ReadAll(conn)
	if timedOut(err) {
		w.t.Errorf("got %q and no end of the connection", got)
	}
	return string(got)
}

// A request whose body is framed in two ways can smuggle another one. It is rejected by its head, and nothing after the
// head is read as a request. net/http does not show the second framing to its handlers.
func TestRequestSmuggledInABodyIsNotServed(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	hidden := sidecartest.ReadHead + "X-Correlation-Id: 2\r\n\r\n"
	body := "0\r\n\r\n" + hidden
	for name, head := range map[string]string{
		"length first":  fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body)),
		"coding first":  fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(body)),
		"in lower case": fmt.Sprintf("transfer-encoding:chunked\ncontent-length:%d\n", len(body)),
	} {
		got := w.raw(sidecartest.PayHead + "X-Correlation-Id: 1\r\n" + head + "\r\n" + body)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 400") ||
			!strings.Contains(got, "Transfer-Encoding") {
			t.Errorf("%s: got %q, want one 400 that names Transfer-Encoding", name, got)
		}
	}
	// After a request net/http skips empty lines.
	conn := w.dial()
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

// A request with a chunked body is served. Its connection ends with the response, as does one with a pipelined request.
func TestChunkedAndPipelinedRequests(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	for name, text := range map[string]string{
		"chunked": sidecartest.PayHead + "X-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"pipelined": sidecartest.PayHead + "X-Correlation-Id: 2\r\nContent-Length: 4\r\n\r\nbody" +
			sidecartest.ReadHead + "X-Correlation-Id: 3\r\n\r\n",
	} {
		got := w.raw(text)
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

// An invalid request is rejected before its body is read, or its connection is closed.
func TestInvalidRequestsAreRejected(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
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
			if got := w.raw(c.text); !strings.HasPrefix(got, c.want) && got != "" { // a reset may discard the response
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

// A client that is rejected while it sends its body can finish sending, within the limit, and then reads its response
// rather than a reset, also if it sends Connection: close.
func TestClientRejectedWhileSendingReadsItsResponse(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	for _, c := range []struct {
		name, head string
		size, code int
		noMemory   bool
	}{
		{"too large", sidecartest.PayHead + "X-Correlation-Id: 1\r\n",
			httpmsg.MaxBodyBytes + 1, http.StatusRequestEntityTooLarge, false},
		{"bad hint", sidecartest.PayHead + "X-Correlation-Id: 2\r\nX-Weight-Hint: -1\r\n",
			httpmsg.MaxBufferedBytes, http.StatusBadRequest, false},
		{"no memory", sidecartest.PayHead + "X-Correlation-Id: 3\r\n",
			httpmsg.MaxBufferedBytes, http.StatusServiceUnavailable, true},
	} {
		reservedBefore := w.loop.upstream.BodyMemory.Used.Load()
		if c.noMemory {
			w.loop.upstream.BodyMemory.Used.Add(int64(w.loop.cfg.Limits.MemoryMB) << 20)
		}
		conn := w.dial()
		in := bufio.NewReader(conn)
		fmt.Fprintf(conn, "%sConnection: close\r\nContent-Length: %d\r\n\r\nx", c.head, c.size)
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != c.code {
			t.Errorf("%s: got %v, %v, want %d", c.name, response, err, c.code)
			continue
		}
		// A peer that has closed its connection resets it upon the first piece.
		for _, piece := range []int{1, c.size - 2} {
			if _, err := io.WriteString(conn, strings.Repeat("x", piece)); err != nil {
				t.Errorf("%s: sending the remaining body: %v", c.name, err)
			}
		}
		if _, err := io.Copy(io.Discard, in); err != nil {
			t.Errorf("%s: reading to the end of the connection: %v", c.name, err)
		}
		if c.noMemory {
			w.loop.upstream.BodyMemory.Used.Add(-int64(w.loop.cfg.Limits.MemoryMB) << 20)
		}
		if reserved := w.loop.upstream.BodyMemory.Used.Load(); reserved != reservedBefore {
			t.Errorf("%s: got %d bytes still reserved, want none", c.name, reserved-reservedBefore)
		}
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("got %d requests at the endpoint, want none", n)
	}
}

// Connections of clients that send nothing, send too slowly or stop sending are closed in time. They may stay open for
// up to 3 s, so each limit must be at most 2.9 s.
func TestIdleAndSlowClientsAreClosed(t *testing.T) {
	for _, limit := range []time.Duration{readTimeout, idleTimeout} {
		if limit < 2*time.Second || limit > 2900*time.Millisecond {
			t.Errorf("got a limit of %v, want 2 s to 2.9 s", limit)
		}
	}
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	for name, c := range map[string]struct{ text, want string }{
		"nothing":     {"", ""},
		"half a head": {sidecartest.PayHead, ""},
		"half a body": {sidecartest.PayHead + "X-Correlation-Id: 1\r\nContent-Length: 9\r\n\r\nabc", "HTTP/1.1 400"},
		"one request": {sidecartest.ReadHead + "X-Correlation-Id: 2\r\n\r\n", "HTTP/1.1 200"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := w.raw(c.text); !strings.HasPrefix(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// The read deadline must be cleared once a request is read: net/http ends a request's context when it passes, as if the
// client had disconnected.
func TestResponseLaterThanTheReadTimeout(t *testing.T) {
	t.Parallel()
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			time.Sleep(readTimeout + 300*time.Millisecond)
			io.WriteString(conn, sidecartest.ServedResponse)
		}
	})
	w := start(t, nil, ready("s-1", e.Address))
	for class, body := range map[string]string{"read": "", "pay": "x"} {
		if got := w.send(w.request(class, body, time.Minute)); got.code != http.StatusOK {
			t.Errorf("%s: got %+v, want 200", class, got)
		}
	}
}

// A request is rejected while another one with its correlation id is in flight.
func TestDuplicateCorrelationIDIsRejected(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockAll(answer))
	w := start(t, nil, ready("s-1", e.Address))
	first, duplicate := make(chan reply), w.request("pay", "", time.Minute)
	go func() { first <- w.send(duplicate.Clone(context.Background())) }()
	w.awaitRequests(e, 1)
	if got := w.send(duplicate.Clone(context.Background())); got.code != http.StatusConflict {
		t.Errorf("the duplicate: got %+v, want 409", got)
	}
	close(answer)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the first request: got %+v, want 200", got)
	}
	if got := w.send(duplicate); got.code != http.StatusOK {
		t.Errorf("after the first request: got %+v, want 200", got)
	}
}

// Silent connections must neither block new ones nor use up the descriptors that attempts need: beyond the limit the
// one that has been silent longest is closed, but none with a request in flight.
func TestClientConnectionsAreLimited(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(answer))
	w := start(t, nil, ready("s-1", e.Address))
	first := make(chan reply)
	go func() { first <- w.send(w.request("pay", "x", time.Minute)) }()
	w.awaitRequests(e, 1)
	w.await("other connections to end", func() bool { return w.server.clients.Count() == 1 })
	oldest := w.dial()
	w.await("the oldest connection", func() bool { return w.server.clients.Count() == 2 })
	for range w.server.clients.MaxConnections - 2 {
		w.dial()
	}
	w.await("the limit of connections", func() bool {
		return w.server.clients.Count() == w.server.clients.MaxConnections
	})
	if got := w.send(w.request("read", "", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("beyond the limit: got %+v, want 200", got)
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the longest silent connection has data, want its end")
	} else if timedOut(err) {
		t.Error("the longest silent connection stays open")
	}
	if n := w.server.clients.Count(); n > w.server.clients.MaxConnections {
		t.Errorf("got %d connections, want at most %d", n, w.server.clients.MaxConnections)
	}
	close(answer)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
}

// Clients that send one request and keep the connection must not use up all connections: beyond a limit of used ones, a
// response closes its connection.
func TestResponsesCloseConnectionsWhenCrowded(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	w.await("other connections to end", func() bool { return w.server.clients.Count() == 0 })
	const maxUsed = 3 // low enough for all requests to arrive before a connection reaches its idle timeout
	limit, _ := w.server.clients.Limits()
	w.server.clients.SetLimits(limit, maxUsed)
	for i := range maxUsed + 3 {
		conn := w.dial()
		w.request("read", "", time.Minute).Write(conn)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: got %v, %v, want 200", i, response, err)
		}
		if want := i >= w.server.clients.MaxUsed; response.Close != want {
			t.Fatalf("request %d: got Connection: close %v, want %v", i, response.Close, want)
		}
		if response.Close {
			w.await("the end of the connection", func() bool {
				return w.server.clients.Count() == w.server.clients.MaxUsed
			})
		}
	}
}

// The memory for bodies is limited: a request beyond it is rejected before its body is read.
func TestBodyMemoryIsLimited(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	w.loop.upstream.BodyMemory.Used.Add(int64(w.loop.cfg.Limits.MemoryMB) << 20 / bodyMemoryDivisor)
	if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusServiceUnavailable ||
		got.header.Get("Retry-After") == "" {
		t.Errorf("beyond the limit: got %+v, want 503 with Retry-After", got)
	}
	w.loop.upstream.BodyMemory.Used.Store(0)
	if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("with memory: got %+v, want 200", got)
	}
	w.awaitReleasedMemory()
}

// Idle clients may use all client connections while discovery is down. Once it recovers, its list applies and requests
// are sent to the endpoints in it.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	first, second := newServingEndpoint(t), newServingEndpoint(t)
	w := start(t, nil, ready("s-1", first.Address))
	w.await("the watch", func() bool { return w.discovery.callCount() >= 2 })
	w.discovery.change(func() { w.discovery.down = true })
	// Clients that reconnect as soon as their connection is closed.
	stop, stopped := make(chan struct{}), make(chan struct{})
	n := w.server.clients.MaxConnections + 2*downstream.MaxRejected
	for range n {
		go func() {
			defer func() { stopped <- struct{}{} }()
			for {
				conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
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
				conn.Read(make([]byte, 1)) // until the sidecar closes it
				close(closed)
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond): // limits the rate of all clients together
				}
			}
		}()
	}
	w.await("the limit of connections", func() bool {
		return w.server.clients.Count() >= w.server.clients.MaxConnections
	})
	w.discovery.change(func() {
		w.discovery.down = false
		w.discovery.list = completeList(1, ready("s-2", second.Address))
	})
	w.await("a request at the new endpoint", func() bool {
		w.send(w.request("read", "", 3*time.Second))
		requests, _ := second.Counts()
		return requests > 0
	})
	limit := w.loop.cfg.Limits.Sockets
	descriptors := 2*w.server.clients.MaxConnections + downstream.MaxRejected + admin.MaxConnections + 4
	if descriptors > limit {
		t.Errorf("got limits that allow %d descriptors, want at most %d", descriptors, limit)
	}
	if open := w.server.clients.Count(); open > w.server.clients.MaxConnections+downstream.MaxRejected {
		t.Errorf("got %d client connections, want at most %d", open, w.server.clients.MaxConnections+downstream.MaxRejected)
	}
	close(stop)
	for range n {
		<-stopped
	}
}
