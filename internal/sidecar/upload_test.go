package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// writeBodyLength is a Handler whose response to each request is the length of the request's body, in decimal.
func writeBodyLength(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
	for r := e.ReadRequest(in); r != nil; r = e.ReadRequest(in) {
		body, _ := io.ReadAll(r.Body)
		text := fmt.Sprint(len(body))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// A large body reaches the endpoint complete, whether a length or chunks delimit it, on a new connection and on a
// reused one. The client can reuse its connection unless the body is chunked.
func TestLargeBodiesAreStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", largeBodyBytes/16)
	e := sidecartest.NewEndpoint(t, writeBodyLength)
	h := start(t, nil, ready("s-1", e.Address))
	for name, framed := range map[string]string{
		"by length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks": "Transfer-Encoding: chunked\r\n\r\n" + encodeChunks(body, 10_000) + "0\r\n\r\n",
		"buffered":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", httpmsg.MaxBufferedBytes, body[:httpmsg.MaxBufferedBytes]),
		"expected":  "Expect: 100-continue\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
	} {
		conn := h.dial()
		in := bufio.NewReader(conn)
		for i := range 2 {
			want, size := "200 OK", len(body)
			if name == "buffered" {
				size = httpmsg.MaxBufferedBytes
			}
			fmt.Fprintf(conn, "%sX-Correlation-Id: %s%d\r\n%s", sidecartest.PayHead, name[:2], i, framed)
			response, err := http.ReadResponse(in, nil)
			if err == nil && response.StatusCode == http.StatusContinue {
				response, err = http.ReadResponse(in, nil)
			}
			if err != nil || response.Status != want {
				t.Fatalf("%s: got %v, %v, want %s", name, response, err, want)
			}
			if got, _ := io.ReadAll(response.Body); string(got) != fmt.Sprint(size) {
				t.Errorf("%s: the endpoint read %s bytes, want %d", name, got, size)
			}
			if name == "in chunks" { // the connection is not reused after a chunked request
				break
			}
		}
	}
	if n, conns := e.Counts(); n != 7 || conns != 1 {
		t.Errorf("got %d requests on %d connections, want 7 on 1", n, conns)
	}
	h.awaitReleasedMemory()
}

// A client may take longer to send its body than X-Time-Left-Ms allows for the response, because the time for the
// response begins with the last byte of the body.
func TestSlowBodyIsAwaited(t *testing.T) {
	t.Parallel()
	e := sidecartest.NewEndpoint(t, writeBodyLength)
	h := start(t, nil, ready("s-1", e.Address))
	const pieceBytes = 8 << 10 // one such piece every 1/8 s is 64 KiB/s; the tiny body is sent byte by byte, in 2 s
	for name, size := range map[string]int{"tiny": 16, "buffered": 48 << 10, "streamed": 192 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := h.dial()
			fmt.Fprintf(conn, "%sX-Correlation-Id: %d\r\nContent-Length: %d\r\n\r\n",
				strings.Replace(sidecartest.PayHead, "3000", "600", 1), size, size)
			for remaining := size; remaining > 0; {
				n := min(pieceBytes, max(1, size/pieceBytes*pieceBytes))
				time.Sleep(time.Second / 8)
				io.WriteString(conn, strings.Repeat("x", n))
				remaining -= n
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != 200 {
				t.Fatalf("got %v, %v, want 200", response, err)
			}
			if got, _ := io.ReadAll(response.Body); string(got) != fmt.Sprint(size) {
				t.Errorf("the endpoint read %s bytes, want %d", got, size)
			}
		})
	}
}

// A body may stall or be malformed. The client then gets an error response or its connection is closed, the endpoint
// never reads a complete request, and no memory stays reserved.
func TestBrokenBodiesReachNoEndpoint(t *testing.T) {
	const part = 200 << 10
	for name, c := range map[string]struct{ framed, want string }{
		"stalls":         {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", largeBodyBytes, strings.Repeat("x", part)), ""},
		"stalls at once": {fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBodyBytes), "HTTP/1.1 400"},
		"malformed chunk": {"Transfer-Encoding: chunked\r\n\r\n" +
			encodeChunks(strings.Repeat("x", part), 1000) + "zz\r\n", "HTTP/1.1 400"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, writeBodyLength)
			h := start(t, nil, ready("s-1", e.Address))
			began := time.Now()
			got := h.sendRaw(sidecartest.PayHead + "X-Correlation-Id: 1\r\n" + c.framed)
			if !strings.HasPrefix(got, c.want) || strings.Contains(got, " 200 ") {
				t.Errorf("got %q, want %q and no 200", got, c.want)
			}
			if took := time.Since(began); took > sidecartest.WaitTimeout/2 {
				t.Errorf("the response took %v, want at most %v", took, sidecartest.WaitTimeout/2)
			}
			h.awaitReleasedMemory()
			h.await("the loop to hold no request", func() bool {
				var n int
				h.runInLoop(func() { n = len(h.loop.requests.byID) })
				return n == 0
			})
			if n, _ := e.Counts(); n != 0 {
				t.Errorf("the endpoint read %d complete requests, want none", n)
			}
		})
	}
}

// A client may disconnect before it has sent all of its chunked body. The part that arrived must not reach an endpoint
// as a complete request, however small it is.
func TestTruncatedChunkedBodyIsNoRequest(t *testing.T) {
	e := sidecartest.NewEndpoint(t, writeBodyLength)
	h := start(t, nil, ready("s-1", e.Address))
	// If the sidecar forwards a truncated request, which is the fault that this test looks for, the balancer must learn
	// of the disconnect only after the endpoint has read that request. An earlier cancellation would hide the fault.
	h.runInLoop(func() {
		h.recorder.beforeClientGone = func() {
			sidecartest.Await(t, "the request at the endpoint", func() bool { n, _ := e.Counts(); return n > 0 })
		}
	})
	framed := encodeChunks(strings.Repeat("x", 3000), 1000) + "0\r\n\r\n"
	id := 0
	for position, part := range map[string]string{
		"before the first chunk":  "",
		"within a chunk's length": framed[:2],
		"within a chunk":          framed[:1500],
		"between two chunks":      framed[:1000+len("3e8\r\n\r\n")],
		"before the last chunk":   strings.TrimSuffix(framed, "0\r\n\r\n"),
		"within the last chunk":   strings.TrimSuffix(framed, "\r\n"),
	} {
		for end, disconnect := range map[string]func(*net.TCPConn){
			"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
			"resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		} {
			id++
			conn := h.dial().(*net.TCPConn)
			fmt.Fprintf(conn, "%sX-Correlation-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s",
				sidecartest.PayHead, id, part)
			disconnect(conn)
			if got, _ := io.ReadAll(conn); len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 400") {
				t.Errorf("a client that %s %s: got %q, want nothing or 400", end, position, got)
			}
			h.await("the connection to be closed", func() bool { return h.server.clients.Count() == 0 })
		}
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("the endpoint read %d requests, one of %d bytes, want none", n, e.Request(0).ContentLength)
	}
}

// An endpoint may reject a large body after it has read only the beginning, so it has not run the request. The client
// gets 503 at once, and may finish sending before it reads the response.
func TestEndpointRejectsALargeBody(t *testing.T) {
	for name, response := range map[string]string{"with a response": sidecartest.RejectedResponse, "by closing": ""} {
		t.Run(name, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, func(_ *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				in.Discard(httpmsg.MaxBufferedBytes)
				io.WriteString(conn, response)
				if response != "" {
					io.Copy(io.Discard, in)
				}
			})
			h := start(t, nil, ready("s-1", e.Address))
			conn := h.dial()
			fmt.Fprintf(conn, "%sX-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n%s",
				sidecartest.PayHead, largeBodyBytes, strings.Repeat("x", 2*httpmsg.MaxBufferedBytes))
			in := bufio.NewReader(conn)
			response, err := http.ReadResponse(in, nil)
			if err != nil || response.StatusCode != 503 || response.Header.Get("Retry-After") == "" || !response.Close {
				t.Fatalf("got %v, %v, want 503 with Retry-After and Connection: close", response, err)
			}
			if _, err := io.WriteString(conn, strings.Repeat("x", largeBodyBytes-2*httpmsg.MaxBufferedBytes)); err != nil {
				t.Errorf("sending the remaining body: %v", err)
			}
			if _, err := io.Copy(io.Discard, in); err != nil {
				t.Errorf("reading to the end of the connection: %v", err)
			}
			if all := h.recorder.statuses(); len(all) != 1 || all[0] != balancer.ConnectFailed {
				t.Errorf("got outcomes %v, want one %v", all, balancer.ConnectFailed)
			}
		})
	}
}

// As long as only the buffered part of a large body was read from the client, the request can be retried at another
// endpoint, here after a failed connection.
func TestLargeBodyIsRetriedElsewhere(t *testing.T) {
	e := sidecartest.NewEndpoint(t, writeBodyLength)
	h := start(t, nil, ready("s-1", sidecartest.ClosedAddress(t)), ready("s-2", e.Address))
	body := strings.Repeat("x", largeBodyBytes)
	connectFailed := func() bool { return slices.Contains(h.recorder.statuses(), balancer.ConnectFailed) }
	const minRequests = 8
	// The balancer picks the endpoint of the first attempt at random. The test sends at least minRequests requests, and
	// then continues until one of the requests was retried after a failed connection.
	for sent, deadline := 0, time.Now().Add(sidecartest.WaitTimeout); sent < minRequests || !connectFailed(); sent++ {
		if time.Now().After(deadline) {
			t.Fatal("got no failed connection, want one")
		}
		if got := h.send(h.request("order", body, time.Minute)); got.code != 200 || got.body != fmt.Sprint(largeBodyBytes) {
			t.Fatalf("got %+v, want 200", got)
		}
	}
}

// Guards against an upload that gets its response too late because it waits for something other than an endpoint that
// reads: here for a connection. The client gets 503 while the sidecar still waits, and the request never runs.
func TestUploadIsAnsweredWhileItsConnectionIsAwaited(t *testing.T) {
	body := strings.Repeat("x", 4*httpmsg.MaxBufferedBytes)
	for name, framed := range map[string]string{
		"by length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks": "Transfer-Encoding: chunked\r\n\r\n" + encodeChunks(body, 10_000) + "0\r\n\r\n",
	} {
		e := sidecartest.NewEndpoint(t, writeBodyLength)
		h := start(t, func(settings map[string]any) {
			settings["limits"].(map[string]any)["dial-timeout"] = sidecartest.WaitTimeout.Microseconds()
		}, ready("s-1", e.Address))
		dials := sidecartest.BlockDials(&h.loop.upstream.Dialer, e.Address)
		conn := h.dial()
		fmt.Fprintf(conn, "%sX-Correlation-Id: 1\r\n%s", strings.Replace(sidecartest.PayHead, "3000", "300", 1), framed)
		<-dials.Started
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%s: got %v, %v while the connection is awaited, want 503", name, response, err)
		}
		close(dials.Unblock)
		h.await("the attempt to end", func() bool { return len(h.recorder.statuses()) > 0 })
		if n, _ := e.Counts(); n != 0 {
			t.Errorf("%s: the endpoint got %d requests, want none", name, n)
		}
		if n := h.server.overdueUploads(); n != 1 {
			t.Errorf("%s: %d uploads are counted as overdue, want 1", name, n)
		}
	}
}
