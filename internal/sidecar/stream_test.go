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

const large = 3 << 20 // bytes: more than is buffered, and than sockets hold

// inChunks writes a body in chunks of this size, without their end.
func inChunks(body string, size int) string {
	var b strings.Builder
	for ; len(body) > 0; body = body[min(size, len(body)):] {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", min(size, len(body)), body[:min(size, len(body))])
	}
	return b.String()
}

// A large response reaches the client complete however its end is framed. The endpoint's connection is reused unless
// its end framed the response.
func TestLargeResponsesAreStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", large/16)
	for name, c := range map[string]struct {
		answer string
		reused bool
	}{
		"by length":     {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true},
		"in chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(body, 10_000) + "0\r\nX-Sum: 1\r\n\r\n", true},
		"until the end": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for e.Next(in) != nil {
					if io.WriteString(conn, c.answer); !c.reused {
						return
					}
				}
			})
			w := start(t, nil, ready("s-1", e.Address))
			for range 2 {
				if got := w.send(w.request("read", "", time.Minute)); got.code != 200 || got.body != body ||
					got.err != nil {
					t.Errorf("response %d of %d bytes, %v", got.code, len(got.body), got.err)
				}
				// The client has the last byte a little sooner than the endpoint's connection is given back.
				w.await("the connection to be given back", func() bool {
					idle := w.loop.upstream.IdleConnections()
					return w.loop.upstream.Counts().Open == idle && (idle == 1) == c.reused
				})
			}
			if _, conns := e.Seen(); (conns == 1) != c.reused {
				t.Errorf("%d connections", conns)
			}
			w.await("the memory to be released", func() bool { return w.loop.upstream.BodyMemory.Used.Load() == 0 })
		})
	}
}

// Parts of a large response are relayed as they arrive, not when it ends, and the request's deadline no longer
// applies.
func TestLargeResponseIsStreamedAtOnce(t *testing.T) {
	const first = "the first bytes"
	read, left := make(chan struct{}), 500*time.Millisecond
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", large, first)
		<-read
		time.Sleep(left)
		io.WriteString(conn, strings.Repeat("x", large-len(first)))
	})
	w := start(t, nil, ready("s-1", e.Address))
	conn := w.dial()
	w.request("read", "", left).Write(conn)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(first))
	if _, err := io.ReadFull(response.Body, got); err != nil || string(got) != first {
		t.Fatalf("%q, %v", got, err)
	}
	close(read)
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != large-int64(len(first)) {
		t.Errorf("the rest: %d bytes, %v", n, err)
	}
}

// A response that is truncated after relaying began looks truncated to the client, and the request is not retried.
func TestBrokenLargeResponseLooksTruncated(t *testing.T) {
	part := strings.Repeat("x", 200<<10)
	for name, c := range map[string]struct {
		answer, version string
		reset           bool
	}{
		"cut short of its length": {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", large, part), "1.1", false},
		"cut between chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(part, 1000), "1.1", false},
		"a broken chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(part, 1000) + "zz\r\n", "1.1", false},
		"reset before its end":    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part, "1.1", true},
		"for an old client":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(part, 1000), "1.0", false},
	} {
		t.Run(name, func(t *testing.T) {
			taken := make(chan struct{})
			e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				e.Next(in)
				io.WriteString(conn, c.answer)
				if <-taken; c.reset {
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			w := start(t, nil, ready("s-1", e.Address))
			conn := w.dial()
			fmt.Fprintf(
				conn,
				"GET /read HTTP/%s\r\nHost: a\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 9000\r\nX-Correlation-Id: 1\r\n\r\n",
				c.version,
			)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != 200 {
				t.Fatalf("%v, %v", response, err)
			}
			io.ReadFull(response.Body, make([]byte, 1000))
			close(taken)
			if n, err := io.Copy(io.Discard, response.Body); err == nil {
				t.Errorf("%d bytes read as complete", n)
			}
			if n, _ := e.Seen(); n != 1 {
				t.Errorf("%d requests reached the endpoint, want 1", n)
			}
		})
	}
}

// A response without a length that is reset, or whose head promised more, is never taken for complete: before relaying
// began the client gets a failure, after that a truncated response.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for what, begin := range map[string]string{
		"without a length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"of HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\npart",
		"half a line":          "HTTP/1.1 200 O",
		"a head alone":         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"a body cut short":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"chunks, no last one":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"a large one, no size": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("x", httpmsg.MaxBufferedBytes+100),
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, resetAfter(begin))
			w := start(t, nil, ready("s-1", e.Address))
			got := w.send(w.request("order", "x", 3*time.Second))
			if got.err == nil && got.code == http.StatusOK {
				t.Errorf("the client has %d bytes as a complete response", len(got.body))
			}
			if n, _ := e.Seen(); n != 1 {
				t.Errorf("an unsafe request was sent %d times", n)
			}
		})
	}
}

// resetAfter writes the beginning of a response and resets the connection.
func resetAfter(begin string) func(*sidecartest.Endpoint, net.Conn, *bufio.Reader) {
	return func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		io.WriteString(conn, begin)
		conn.(*net.TCPConn).SetLinger(0)
	}
}
