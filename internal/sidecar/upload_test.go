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

// writeBodyLength is a Handler that answers each request with the length of its body.
func writeBodyLength(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
	for r := e.ReadRequest(in); r != nil; r = e.ReadRequest(in) {
		body, _ := io.ReadAll(r.Body)
		text := fmt.Sprint(len(body))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// A large body reaches the endpoint complete, with a length or in chunks, on a new connection and on a reused one. The
// client's connection can be reused unless the body is chunked.
func TestLargeBodiesAreStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", large/16)
	e := sidecartest.NewEndpoint(t, writeBodyLength)
	w := start(t, nil, ready("s-1", e.Address))
	for name, framed := range map[string]string{
		"by length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks": "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body, 10_000) + "0\r\n\r\n",
		"buffered":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", httpmsg.MaxBufferedBytes, body[:httpmsg.MaxBufferedBytes]),
		"expected":  "Expect: 100-continue\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
	} {
		conn := w.dial()
		in := bufio.NewReader(conn)
		for i := range 2 {
			want, size := "200 OK", len(body)
			if name == "buffered" {
				size = httpmsg.MaxBufferedBytes
			}
			fmt.Fprintf(conn, "%sX-Correlation-Id: %s%d\r\n%s", sidecartest.PayHead, name[:1], i, framed)
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
	w.awaitReleasedMemory()
}

// A client may send slowly: its deadline is measured from the last byte.
func TestSlowBodyIsAwaited(t *testing.T) {
	t.Parallel()
	e := sidecartest.NewEndpoint(t, writeBodyLength)
	w := start(t, nil, ready("s-1", e.Address))
	const piece = 8 << 10 // an eighth of a second each: 64 kB a second, or a few bytes in all of 2 s
	for name, size := range map[string]int{"tiny": 16, "buffered": 48 << 10, "streamed": 192 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := w.dial()
			fmt.Fprintf(conn, "%sX-Correlation-Id: %d\r\nContent-Length: %d\r\n\r\n",
				strings.Replace(sidecartest.PayHead, "3000", "600", 1), size, size)
			for remaining := size; remaining > 0; {
				n := min(piece, max(1, size/piece*piece))
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

// A body that stalls or is malformed ends in an error response or a close. The endpoint never reads a complete request,
// and no memory stays reserved.
func TestBrokenBodies(t *testing.T) {
	const part = 200 << 10
	for name, c := range map[string]struct{ framed, want string }{
		"stalls":         {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", large, strings.Repeat("x", part)), ""},
		"stalls at once": {fmt.Sprintf("Content-Length: %d\r\n\r\n", large), "HTTP/1.1 400"},
		"malformed chunk": {"Transfer-Encoding: chunked\r\n\r\n" +
			inChunks(strings.Repeat("x", part), 1000) + "zz\r\n", "HTTP/1.1 400"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, writeBodyLength)
			w := start(t, nil, ready("s-1", e.Address))
			began := time.Now()
			got := w.raw(sidecartest.PayHead + "X-Correlation-Id: 1\r\n" + c.framed)
			if !strings.HasPrefix(got, c.want) || strings.Contains(got, " 200 ") {
				t.Errorf("got %q, want %q and no 200", got, c.want)
			}
			if took := time.Since(began); took > sidecartest.WaitTimeout/2 {
				t.Errorf("the response took %v, want at most %v", took, sidecartest.WaitTimeout/2)
			}
			w.awaitReleasedMemory()
			w.await("the request to be forgotten", func() bool {
				var n int
				w.runInLoop(func() { n = len(w.loop.requests.byID) })
				return n == 0
			})
			if n, _ := e.Counts(); n != 0 {
				t.Errorf("the endpoint read %d complete requests, want none", n)
			}
		})
	}
}

// A client that disconnects within its chunked body has sent no complete request: the part that arrived must not reach
// an endpoint as a complete request, however small it is.
func TestTruncatedChunkedBodyIsNoRequest(t *testing.T) {
	e := sidecartest.NewEndpoint(t, writeBodyLength)
	w := start(t, nil, ready("s-1", e.Address))
	// The disconnect is reported as late as possible, when the request would have reached an endpoint.
	w.runInLoop(func() {
		w.recorder.beforeClientGone = func() {
			sidecartest.Await(t, "the request at the endpoint", func() bool { n, _ := e.Counts(); return n > 0 })
		}
	})
	framed := inChunks(strings.Repeat("x", 3000), 1000) + "0\r\n\r\n"
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
			conn := w.dial().(*net.TCPConn)
			fmt.Fprintf(conn, "%sX-Correlation-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s",
				sidecartest.PayHead, id, part)
			disconnect(conn)
			if got, _ := io.ReadAll(conn); len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 400") {
				t.Errorf("a client that %s %s: got %q, want nothing or 400", end, position, got)
			}
			w.await("the end of the connection", func() bool { return w.server.clients.Count() == 0 })
		}
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("the endpoint read %d requests, one of %d bytes, want none", n, e.Request(0).ContentLength)
	}
}

// An endpoint that rejects a large body after reading only its start has not run the request. The client is rejected at
// once, and may finish sending before it reads the response.
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
			w := start(t, nil, ready("s-1", e.Address))
			conn := w.dial()
			fmt.Fprintf(conn, "%sX-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n%s",
				sidecartest.PayHead, large, strings.Repeat("x", 2*httpmsg.MaxBufferedBytes))
			in := bufio.NewReader(conn)
			response, err := http.ReadResponse(in, nil)
			if err != nil || response.StatusCode != 503 || response.Header.Get("Retry-After") == "" || !response.Close {
				t.Fatalf("got %v, %v, want 503 with Retry-After and Connection: close", response, err)
			}
			if _, err := io.WriteString(conn, strings.Repeat("x", large-2*httpmsg.MaxBufferedBytes)); err != nil {
				t.Errorf("sending the remaining body: %v", err)
			}
			if _, err := io.Copy(io.Discard, in); err != nil {
				t.Errorf("reading to the end of the connection: %v", err)
			}
			if all := w.recorder.statuses(); len(all) != 1 || all[0] != balancer.ConnectFailed {
				t.Errorf("got outcomes %v, want one %v", all, balancer.ConnectFailed)
			}
		})
	}
}

// While only the buffered part of a body was read, the request is retried at another endpoint.
func TestLargeBodyIsRetriedElsewhere(t *testing.T) {
	e := sidecartest.NewEndpoint(t, writeBodyLength)
	w := start(t, nil, ready("s-1", sidecartest.ClosedAddress(t)), ready("s-2", e.Address))
	body := strings.Repeat("x", large)
	connectFailed := func() bool { return slices.Contains(w.recorder.statuses(), balancer.ConnectFailed) }
	const minRequests = 8
	// The first endpoint is picked at random: requests are sent until one was retried after a failed connection.
	for sent, deadline := 0, time.Now().Add(sidecartest.WaitTimeout); sent < minRequests || !connectFailed(); sent++ {
		if time.Now().After(deadline) {
			t.Fatal("got no failed connection, want one")
		}
		if got := w.send(w.request("order", body, time.Minute)); got.code != 200 || got.body != fmt.Sprint(large) {
			t.Fatalf("got %+v, want 200", got)
		}
	}
}
