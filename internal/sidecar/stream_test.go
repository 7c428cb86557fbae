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

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// largeBodyBytes is the size of a body that exceeds all buffers, including those of sockets.
const largeBodyBytes = 3 << 20

// encodeChunks returns body in chunked coding, in chunks of size bytes. It omits the last chunk, of length 0, so that a
// test may continue or truncate the body.
func encodeChunks(body string, size int) string {
	var b strings.Builder
	for ; len(body) > 0; body = body[min(size, len(body)):] {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", min(size, len(body)), body[:min(size, len(body))])
	}
	return b.String()
}

// A large response reaches the client complete, whether a length, chunks or the end of the connection delimit it. The
// endpoint's connection is reused unless its end delimits the response.
func TestLargeResponsesAreStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", largeBodyBytes/16)
	for name, c := range map[string]struct {
		response string
		reused   bool
	}{
		"by length": {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true},
		"in chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			encodeChunks(body, 10_000) + "0\r\nX-Sum: 1\r\n\r\n", true},
		"until the end": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for e.ReadRequest(in) != nil {
					if io.WriteString(conn, c.response); !c.reused {
						return
					}
				}
			})
			h := start(t, nil, ready("s-1", e.Address))
			for range 2 {
				if got := h.send(h.request("read", "", time.Minute)); got.code != 200 || got.body != body ||
					got.err != nil {
					t.Errorf("got %d with %d bytes, %v, want 200 with %d", got.code, len(got.body), got.err, len(body))
				}
				// The client may read the last byte before the endpoint's connection returns to the pool.
				h.await("the endpoint's connection to be closed or back in the pool", func() bool {
					idle := h.loop.upstream.IdleConnections()
					return h.loop.upstream.Counts().Open == idle && (idle == 1) == c.reused
				})
			}
			if _, conns := e.Counts(); (conns == 1) != c.reused {
				t.Errorf("got %d connections, reused %v, want reused %v", conns, conns == 1, c.reused)
			}
			h.awaitReleasedMemory()
		})
	}
}

// Parts of a large response are relayed as they arrive. Once the first part is relayed, the request's deadline no
// longer applies.
func TestLargeResponseIsRelayedAsItArrives(t *testing.T) {
	const firstPart = "the first bytes"
	const timeLeft = 500 * time.Millisecond
	firstPartRead := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", largeBodyBytes, firstPart)
		<-firstPartRead
		time.Sleep(timeLeft)
		io.WriteString(conn, strings.Repeat("x", largeBodyBytes-len(firstPart)))
	})
	h := start(t, nil, ready("s-1", e.Address))
	conn := h.dial()
	h.request("read", "", timeLeft).Write(conn)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(firstPart))
	if _, err := io.ReadFull(response.Body, got); err != nil || string(got) != firstPart {
		t.Fatalf("got %q, %v, want %q", got, err, firstPart)
	}
	close(firstPartRead)
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != largeBodyBytes-int64(len(firstPart)) {
		t.Errorf("got %d more bytes, %v, want %d", n, err, largeBodyBytes-len(firstPart))
	}
}

// A response may break off after a part of it was relayed. The client must see a truncated response, not a complete
// one, and the request is not retried.
func TestBrokenLargeResponseLooksTruncated(t *testing.T) {
	part := strings.Repeat("x", 200<<10)
	byLength := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", largeBodyBytes, part)
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encodeChunks(part, 1000)
	for name, c := range map[string]struct {
		response, version string
		reset             bool
	}{
		"truncated by length":        {byLength, "1.1", false},
		"truncated between chunks":   {chunked, "1.1", false},
		"malformed chunk":            {chunked + "zz\r\n", "1.1", false},
		"reset":                      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part, "1.1", true},
		"truncated, HTTP/1.0 client": {chunked, "1.0", false},
	} {
		t.Run(name, func(t *testing.T) {
			relayed := make(chan struct{})
			e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				e.ReadRequest(in)
				io.WriteString(conn, c.response)
				if <-relayed; c.reset {
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			h := start(t, nil, ready("s-1", e.Address))
			conn := h.dial()
			fmt.Fprintf(conn, "GET /read HTTP/%s\r\nHost: a\r\nX-Service-Class: read\r\n"+
				"X-Time-Left-Ms: 9000\r\nX-Correlation-Id: 1\r\n\r\n", c.version)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != 200 {
				t.Fatalf("got %v, %v, want 200", response, err)
			}
			io.ReadFull(response.Body, make([]byte, 1000))
			close(relayed)
			if n, err := io.Copy(io.Discard, response.Body); err == nil {
				t.Errorf("got %d more bytes as a complete response, want an error", n)
			}
			if n, _ := e.Counts(); n != 1 {
				t.Errorf("got %d requests at the endpoint, want 1", n)
			}
		})
	}
}

// An endpoint may reset its connection before its response has ended. The partial response must never look complete to
// the client: it gets an error status if relaying has not begun, and a truncated response otherwise.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for name, beginning := range map[string]string{
		"without a length":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"of HTTP/1.0":        "HTTP/1.0 200 OK\r\n\r\npart",
		"half a status line": "HTTP/1.1 200 O",
		"head only":          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"truncated body":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"no last chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"large, no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
			strings.Repeat("x", httpmsg.MaxBufferedBytes+100),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, resetAfter(beginning))
			h := start(t, nil, ready("s-1", e.Address))
			got := h.send(h.request("order", "x", 3*time.Second))
			if got.err == nil && got.code == http.StatusOK {
				t.Errorf("got %d bytes as a complete response, want an error", len(got.body))
			}
			if n, _ := e.Counts(); n != 1 {
				t.Errorf("got %d attempts of a request that is not idempotent, want 1", n)
			}
		})
	}
}

// resetAfter returns a Handler that reads a request, writes the beginning of a response and resets the connection.
func resetAfter(beginning string) sidecartest.Handler {
	return func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		io.WriteString(conn, beginning)
		conn.(*net.TCPConn).SetLinger(0)
	}
}
