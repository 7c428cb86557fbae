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

// responseBeginnings are beginnings of responses after which an endpoint hangs. None of them lets the sidecar relay the
// response: a body is missing, or its length is known and so small that it is buffered.
var responseBeginnings = map[string]string{
	"half a status line":     "HTTP/1.1 20",
	"half a head":            "HTTP/1.1 200 OK\r\nContent-Le",
	"head of a small body":   "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n",
	"half a small body":      "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf",
	"head of a large body":   "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n",
	"head of chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"half a chunk size":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40",
	"head without a length":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"half an error":          "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 40\r\n\r\nhalf",
	"half a rejection":       "HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 40\r\n\r\nhalf",
	"interim, half the next": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200",
}

// hangFirst returns a Handler that writes the beginning to the endpoints' first request and hangs, and that serves all
// others. The endpoints share hung, a channel with room for one value.
func hangFirst(beginning string, hung chan struct{}) sidecartest.Handler {
	return func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			select {
			case hung <- struct{}{}:
				io.WriteString(conn, beginning)
				e.ReadRequest(in) // returns when the sidecar closes the connection
				return
			default:
				io.WriteString(conn, sidecartest.ServedResponse)
			}
		}
	}
}

// Guards against an endpoint that hangs within its response and holds up its request: the client gets its final answer in
// time, and a retry takes place if the class permits it and there is time.
func TestHungResponseEndsInTime(t *testing.T) {
	const allowedDelay = 500 * time.Millisecond
	for name, beginning := range responseBeginnings {
		for class, timeLeft := range map[string]time.Duration{"read": 3 * time.Second, "pay": 3 * time.Second,
			"order": 400 * time.Millisecond} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				hung := make(chan struct{}, 1)
				first := sidecartest.NewEndpoint(t, hangFirst(beginning, hung))
				second := sidecartest.NewEndpoint(t, hangFirst(beginning, hung))
				h := start(t, nil, ready("s-1", first.Address), ready("s-2", second.Address))
				sent := time.Now()
				got := h.send(h.request(class, "x", timeLeft))
				if took := time.Since(sent); took > timeLeft+allowedDelay {
					t.Errorf("got the final answer after %v, want it within %v", took, timeLeft+allowedDelay)
				}
				want := http.StatusOK
				if class == "order" {
					want = http.StatusBadGateway
				}
				if got.err != nil || got.code != want {
					t.Errorf("got status %d, error %v, want %d", got.code, got.err, want)
				}
				h.awaitReleasedMemory()
			})
		}
	}
}

// piecePause is the pause between two pieces of a response. It is longer than the silence after which the sidecar asks
// whether the attempt is given up.
const piecePause = 150 * time.Millisecond

// Guards against a sound response that is cut off because its endpoint pauses somewhere: within the head, between interim
// responses, before the body, within a chunk or its framing.
func TestResponseWithPausesIsServed(t *testing.T) {
	const timeLeft = 2 * time.Second // too little for a retry after minStallPatience
	large := strings.Repeat("x", httpmsg.MaxBufferedBytes+1)
	chunkedHead := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		pieces []string
		body   string
	}{
		"small body": {[]string{"HTTP/1.1 200", " OK\r\nContent-Length: 4\r\n", "\r\n", "do", "ne"}, "done"},
		"interim": {[]string{"HTTP/1.1 102 Pro", "cessing\r\n\r\n", "HTTP/1.1 103 x\r\n\r\nHT",
			"TP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"}, "done"},
		"chunks": {[]string{chunkedHead, "4", "\r\n", "do", "ne", "\r", "\n0\r\n", "X-Sum: 1\r\n", "\r\n"}, "done"},
		"close":  {[]string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "do", "ne"}, "done"},
		"large body": {[]string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(large)), large[:1],
			large[1:]}, large},
		"large chunk": {[]string{chunkedHead + fmt.Sprintf("%x\r\n", len(large)), large[:1], large[1:], "\r\n0\r\n\r\n"},
			large},
	} {
		for _, class := range []string{"read", "pay", "close", "order"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
					for e.ReadRequest(in) != nil {
						for _, piece := range c.pieces {
							io.WriteString(conn, piece)
							time.Sleep(piecePause)
						}
						if name == "close" {
							return
						}
					}
				})
				h := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address))
				if got := h.send(h.request(class, "x", timeLeft)); got.err != nil || got.code != 200 || got.body != c.body {
					t.Errorf("got status %d, %d bytes, error %v, want 200 and %d bytes",
						got.code, len(got.body), got.err, len(c.body))
				}
				if requests, _ := e.Counts(); requests != 1 {
					t.Errorf("got %d attempts, want 1", requests)
				}
			})
		}
	}
}

// Guards against a request that is given up at each endpoint, because each pauses for longer than a retry is waited for: the
// response of its last attempt must be served.
func TestResponseIsServedThoughEveryEndpointPausesLong(t *testing.T) {
	const timeLeft, pause = 4 * time.Second, 1300 * time.Millisecond
	large := strings.Repeat("x", httpmsg.MaxBufferedBytes+1)
	for name, c := range map[string]struct {
		beginning, end string
		body           string
	}{
		"small":         {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo", "ne", "done"},
		"large":         {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(large)), large, large},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo", "ne\r\n0\r\n\r\n", "done"},
		"within a head": {"HTTP/1.1 200 O", "K\r\nContent-Length: 4\r\n\r\ndone", "done"},
	} {
		for _, class := range []string{"read", "pay", "close", "order"} {
			t.Run(name+", "+class, func(t *testing.T) {
				t.Parallel()
				serve := func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
					for e.ReadRequest(in) != nil {
						io.WriteString(conn, c.beginning)
						time.Sleep(pause)
						io.WriteString(conn, c.end)
					}
				}
				first, second := sidecartest.NewEndpoint(t, serve), sidecartest.NewEndpoint(t, serve)
				h := start(t, nil, ready("s-1", first.Address), ready("s-2", second.Address))
				got := h.send(h.request(class, "x", timeLeft))
				if got.err != nil || got.code != http.StatusOK || got.body != c.body {
					t.Errorf("got status %d, %d bytes, error %v, want 200 and %d bytes", got.code, len(got.body), got.err, len(c.body))
				}
			})
		}
	}
}

// Guards against a request that ends before its client's time is over, because a limit of the sidecar's own is shorter.
func TestDeadlineFollowsTheClientsTime(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	for _, timeLeft := range []time.Duration{40 * time.Millisecond, time.Second, 10 * time.Minute} {
		got, err := h.server.parseRequest(h.request("read", "", timeLeft), 0)
		if want := (timeLeft - responseMargin).Microseconds(); err != nil || got.Deadline != want {
			t.Errorf("%v: got deadline %d us, error %v, want %d", timeLeft, got.Deadline, err, want)
		}
	}
}
