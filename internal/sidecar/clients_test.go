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
	"oakproxy/internal/discovery"
	"oakproxy/internal/downstream"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

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

// raw sends bytes on a new connection and returns all that comes until its end.
func (w *harness) raw(text string) string {
	w.t.Helper()
	conn := w.dial()
	io.WriteString(conn, text)
	got, err := io.ReadAll(conn)
	if timedOut(err) {
		w.t.Errorf("the connection stays open; so far: %q", got)
	}
	return string(got)
}

// A second request can be smuggled in the body of one whose length is framed in two ways. The request is rejected by
// its head, and nothing behind it is read as a request. net/http does not show its handlers the second length.
func TestRequestSmuggledInABodyIsNotServed(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	hidden := sidecartest.ReadHead + "X-Correlation-Id: 2\r\n\r\n"
	body := "0\r\n\r\n" + hidden
	for name, head := range map[string]string{
		"length first":   fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body)),
		"coding first":   fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(body)),
		"in small print": fmt.Sprintf("transfer-encoding:chunked\ncontent-length:%d\n", len(body)),
	} {
		got := w.raw(sidecartest.PayHead + "X-Correlation-Id: 1\r\n" + head + "\r\n" + body)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 400") ||
			!strings.Contains(got, "Transfer-Encoding") {
			t.Errorf("%s: got %q", name, got)
		}
	}
	// The same after a request, where net/http skips empty lines.
	conn := w.dial()
	in := bufio.NewReader(conn)
	io.WriteString(conn, sidecartest.PayHead+"X-Correlation-Id: 3\r\nContent-Length: 2\r\n\r\nok")
	if response, err := http.ReadResponse(in, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("a good request: %v, %v", response, err)
	} else {
		io.Copy(io.Discard, response.Body)
	}
	io.WriteString(
		conn,
		fmt.Sprintf(
			"\r\n%sX-Correlation-Id: 4\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s",
			sidecartest.PayHead,
			len(body),
			body,
		),
	)
	rest, _ := io.ReadAll(in)
	if strings.Count(string(rest), "HTTP/1.1") != 1 || !strings.HasPrefix(string(rest), "HTTP/1.1 400") {
		t.Errorf("after an empty line: got %q", rest)
	}
	if n, _ := e.Seen(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want the good one", n)
	}
}

// A body in chunks is valid HTTP/1.1 and is served. Its connection ends with the response, as it does where more than
// the one request came.
func TestChunkedAndPipelinedRequests(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	for name, text := range map[string]string{
		"chunked": sidecartest.PayHead + "X-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"more behind": sidecartest.PayHead + "X-Correlation-Id: 2\r\nContent-Length: 4\r\n\r\nbody" +
			sidecartest.ReadHead + "X-Correlation-Id: 3\r\n\r\n",
	} {
		got := w.raw(text)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Errorf("%s: got %q", name, got)
		}
	}
	if n, _ := e.Seen(); n != 2 {
		t.Errorf("%d requests reached the endpoint, want 2", n)
	}
	for i := range 2 {
		if body, _ := io.ReadAll(e.Request(i).Body); string(body) != "body" {
			t.Errorf("the endpoint got the body %q", body)
		}
	}
}

// What is no valid request is rejected before its body is read, or its connection is closed.
func TestInvalidRequestsAreRejected(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	for name, c := range map[string]struct{ text, want string }{
		"a length beyond the limit": {sidecartest.PayHead + "X-Correlation-Id: 1\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 413"},
		"a negative length":         {sidecartest.PayHead + "X-Correlation-Id: 1\r\nContent-Length: -3\r\n\r\nabc", "HTTP/1.1 400"},
		"two lengths":               {sidecartest.PayHead + "X-Correlation-Id: 1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "HTTP/1.1 400"},
		"a broken chunk":            {sidecartest.PayHead + "X-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc", "HTTP/1.1 400"},
		"a GET with a body":         {sidecartest.ReadHead + "X-Correlation-Id: 1\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 400"},
		"noise":                     {"\x16\x03\x01\x02\r\n\r\n", "HTTP/1.1 400"},
		"a head without end":        {sidecartest.PayHead + "X-Pad: " + strings.Repeat("p", 100<<10), "HTTP/1.1 431"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := w.raw(c.text); !strings.HasPrefix(got, c.want) && got != "" { // a reset may discard the response
				t.Errorf("got %q, want %s", got, c.want)
			}
		})
	}
	t.Cleanup(func() {
		if n, _ := e.Seen(); n != 0 {
			t.Errorf("%d of them reached the endpoint", n)
		}
	})
}

// A client that is rejected while it still sends its body can send it to the end, within the limit, and then reads its
// response and not a reset. Asking for Connection: close changes nothing of that.
func TestClientRejectedWhileSendingReadsItsResponse(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	for _, c := range []struct {
		name, head string
		size, code int
		full       bool
	}{
		{"too large", sidecartest.PayHead + "X-Correlation-Id: 1\r\n", httpmsg.MaxBodyBytes + 1, http.StatusRequestEntityTooLarge, false},
		{"bad hint", sidecartest.PayHead + "X-Correlation-Id: 2\r\nX-Weight-Hint: -1\r\n", httpmsg.MaxBufferedBytes, http.StatusBadRequest, false},
		{"no memory", sidecartest.PayHead + "X-Correlation-Id: 3\r\n", httpmsg.MaxBufferedBytes, http.StatusServiceUnavailable, true},
	} {
		taken := w.loop.upstream.BodyMemory.Used.Load()
		if c.full {
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
		// Whoever has closed by now answers the first piece with a reset.
		for _, piece := range []int{1, c.size - 2} {
			if _, err := io.WriteString(conn, strings.Repeat("x", piece)); err != nil {
				t.Errorf("%s: the rest of the body: %v", c.name, err)
			}
		}
		if _, err := io.Copy(io.Discard, in); err != nil {
			t.Errorf("%s: the end of the connection: %v", c.name, err)
		}
		if c.full {
			w.loop.upstream.BodyMemory.Used.Add(-int64(w.loop.cfg.Limits.MemoryMB) << 20)
		}
		if reserved := w.loop.upstream.BodyMemory.Used.Load(); reserved != taken {
			t.Errorf("%s: %d bytes are still reserved", c.name, reserved-taken)
		}
	}
	if n, _ := e.Seen(); n != 0 {
		t.Errorf("%d of them reached the endpoint", n)
	}
}

// Connections of clients that send nothing, too slowly, or nothing more are closed in time. They may stay for 3 s at
// most, so the limits must add up to 2.9 s.
func TestIdleAndSlowClientsAreClosed(t *testing.T) {
	for _, limit := range []time.Duration{readTimeout, idleTimeout} {
		if limit < 2*time.Second || limit > 2900*time.Millisecond {
			t.Errorf("limit of %v", limit)
		}
	}
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	for name, c := range map[string]struct{ text, want string }{
		"nothing":          {"", ""},
		"half a head":      {sidecartest.PayHead, ""},
		"half a body":      {sidecartest.PayHead + "X-Correlation-Id: 1\r\nContent-Length: 9\r\n\r\nabc", "HTTP/1.1 400"},
		"one request only": {sidecartest.ReadHead + "X-Correlation-Id: 2\r\n\r\n", "HTTP/1.1 200"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := w.raw(c.text); !strings.HasPrefix(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// The read deadline must be cleared once a request is read: net/http takes its passing for a disconnect and ends the
// request's context.
func TestResponseLaterThanTheReadTimeout(t *testing.T) {
	t.Parallel()
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			time.Sleep(readTimeout + 300*time.Millisecond)
			io.WriteString(conn, sidecartest.Served)
		}
	})
	w := start(t, nil, ready("s-1", e.Address))
	for class, body := range map[string]string{"read": "", "pay": "x"} {
		if got := w.send(w.request(class, body, time.Minute)); got.code != http.StatusOK {
			t.Errorf("%s: got %+v", class, got)
		}
	}
}

// A request is rejected while another one with its correlation id is open.
func TestDuplicateCorrelationIDIsRejected(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			<-answer
			io.WriteString(conn, sidecartest.Served)
		}
	})
	w := start(t, nil, ready("s-1", e.Address))
	first, same := make(chan reply), w.request("pay", "", time.Minute)
	go func() { first <- w.send(same.Clone(context.Background())) }()
	w.await("the first to be taken", func() bool { n, _ := e.Seen(); return n == 1 })
	if got := w.send(same.Clone(context.Background())); got.code != http.StatusConflict {
		t.Errorf("the second: %+v", got)
	}
	close(answer)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the first: %+v", got)
	}
	if got := w.send(same); got.code != http.StatusOK {
		t.Errorf("once it is free again: %+v", got)
	}
}

// Silent connections must neither keep others out nor use up the descriptors that attempts need: beyond the limit the
// longest silent one is closed, but none with a request open.
func TestClientConnectionsAreLimited(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(answer))
	w := start(t, nil, ready("s-1", e.Address))
	first := make(chan reply)
	go func() { first <- w.send(w.request("pay", "x", time.Minute)) }()
	w.await("the first to be taken", func() bool { n, _ := e.Seen(); return n == 1 })
	w.await("other connections to end", func() bool { return w.server.clients.Count() == 1 })
	oldest := w.dial()
	w.await("the oldest", func() bool { return w.server.clients.Count() == 2 })
	for range w.server.clients.MaxConnections - 2 {
		w.dial()
	}
	w.await(
		"all connections to be taken",
		func() bool { return w.server.clients.Count() == w.server.clients.MaxConnections },
	)
	if got := w.send(w.request("read", "", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("beyond the limit: %+v", got)
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the longest silent connection can still be read")
	} else if timedOut(err) {
		t.Error("the longest silent connection stays open")
	}
	if n := w.server.clients.Count(); n > w.server.clients.MaxConnections {
		t.Errorf("%d connections, limit %d", n, w.server.clients.MaxConnections)
	}
	close(answer)
	if got := <-first; got.code != http.StatusOK {
		t.Errorf("the request that was open: %+v", got)
	}
}

// Clients that send one request and keep the connection must not hold all connections: beyond a part of them, a
// response ends its connection.
func TestResponsesCloseConnectionsWhenCrowded(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	w.await("other connections to end", func() bool { return w.server.clients.Count() == 0 })
	const maxAsked = 3 // few enough for all requests to come before a connection has been idle for long
	limit, _ := w.server.clients.Limits()
	w.server.clients.SetLimits(limit, maxAsked)
	for i := range maxAsked + 3 {
		conn := w.dial()
		w.request("read", "", time.Minute).Write(conn)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, %v", i, response, err)
		}
		if want := i >= w.server.clients.MaxUsed; response.Close != want {
			t.Fatalf("request %d: Connection: close %v, want %v", i, response.Close, want)
		}
		if response.Close {
			w.await(
				"the end of the connection",
				func() bool { return w.server.clients.Count() == w.server.clients.MaxUsed },
			)
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
		t.Errorf("beyond the limit: %+v", got)
	}
	w.loop.upstream.BodyMemory.Used.Store(0)
	if got := w.send(w.request("pay", "x", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("with memory again: %+v", got)
	}
	w.await("the bodies to be given back", func() bool { return w.loop.upstream.BodyMemory.Used.Load() == 0 })
}

// Idle clients may hold all client connections while discovery is down. When it is back its list applies, and requests
// go to the endpoints that it lists.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	first, second := newServingEndpoint(t), newServingEndpoint(t)
	w := start(t, nil, ready("s-1", first.Address))
	w.await("the watch", func() bool { return w.discovery.count() >= 2 })
	w.discovery.change(func() { w.discovery.down = true })
	// Clients that come again at once when they are closed.
	end, ended := make(chan struct{}), make(chan struct{})
	n := w.server.clients.MaxConnections + 2*downstream.MaxRejected
	for range n {
		go func() {
			defer func() { ended <- struct{}{} }()
			for {
				conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
				if err != nil {
					t.Error(err)
					return
				}
				over := make(chan struct{})
				go func() {
					select {
					case <-end:
					case <-over:
					}
					conn.Close()
				}()
				conn.Read(make([]byte, 1)) // until the sidecar closes it
				close(over)
				select {
				case <-end:
					return
				case <-time.After(10 * time.Millisecond): // each is one of many: none may turn into a flood
				}
			}
		}()
	}
	w.await(
		"all connections to be taken",
		func() bool { return w.server.clients.Count() >= w.server.clients.MaxConnections },
	)
	w.discovery.change(func() {
		w.discovery.down = false
		w.discovery.list = discovery.List{Version: 1, Complete: true, Entries: []discovery.Entry{ready("s-2", second.Address)}}
	})
	w.await("a request at the new endpoint", func() bool {
		w.send(w.request("read", "", 3*time.Second))
		requests, _ := second.Seen()
		return requests > 0
	})
	limit := w.loop.cfg.Limits.Sockets
	if own := 2*w.server.clients.MaxConnections + downstream.MaxRejected + admin.MaxConnections + 4; own > limit {
		t.Errorf("clients, endpoints and operators may take %d descriptors of %d", own, limit)
	}
	if open := w.server.clients.Count(); open > w.server.clients.MaxConnections+downstream.MaxRejected {
		t.Errorf("%d connections of clients, limit %d", open, w.server.clients.MaxConnections)
	}
	close(end)
	for range n {
		<-ended
	}
}
