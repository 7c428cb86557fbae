package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// newSlowReadingEndpoint starts an endpoint that reads rate bytes a second, and responds once it has read a request.
func newSlowReadingEndpoint(t *testing.T, rate int) (address string) {
	t.Helper()
	const step = 20 * time.Millisecond
	return serveConnections(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReaderSize(&slowConn{conn, rate / int(time.Second/step), step}, 1<<10)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
		}
	})
}

// slowConn reads at most some bytes in each step of time.
type slowConn struct {
	net.Conn
	bytes int
	step  time.Duration
}

func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.step)
	return io.ReadAtLeast(c.Conn, p[:min(len(p), max(1, c.bytes))], 1)
}

// Guards against a final answer that comes seconds after the client's time because a server reads a large request slowly, at
// any rate, in any framing and for requests that may and may not run twice.
func TestSlowlyReadRequestsAreAnsweredInTime(t *testing.T) {
	for _, rate := range []int{50_000, 1_000_000, 20_000_000} {
		for _, size := range []int{70_000, 1_000_000, 16_000_000} {
			for _, chunked := range []bool{false, true} {
				for class, timeLeft := range map[string]time.Duration{"post": 400 * time.Millisecond, "order": 1600 * time.Millisecond} {
					t.Run(fmt.Sprintf("%d B/s, %d bytes, chunked %v, %s", rate, size, chunked, class), func(t *testing.T) {
						t.Parallel()
						listen := launchOnOwnSocket(t, effectsConfig("127.0.0.1:1", newSlowReadingEndpoint(t, rate)))
						conn, err := net.Dial("tcp", listen)
						if err != nil {
							t.Fatal(err)
						}
						defer conn.Close()
						conn.SetDeadline(time.Now().Add(20 * time.Second))
						io.WriteString(conn, uploadText(class, timeLeft, size, chunked))
						lastByte := time.Now()
						response, err := http.ReadResponse(bufio.NewReader(conn), nil)
						if err != nil {
							t.Fatal(err)
						}
						io.Copy(io.Discard, response.Body)
						if took := time.Since(lastByte); took > timeLeft+finalGrace {
							t.Errorf("got status %d after %v, want it within %v", response.StatusCode, took, timeLeft+finalGrace)
						}
					})
				}
			}
		}
	}
}

// uploadText returns a request with a body.
func uploadText(class string, timeLeft time.Duration, size int, chunked bool) string {
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api\r\nX-Service-Class: %s\r\nX-Correlation-Id: u%d\r\nIdempotency-Key: k\r\n"+
		"X-Time-Left-Ms: %d\r\n", class, class, lastRequestID.Add(1), timeLeft.Milliseconds())
	body := strings.Repeat("x", size)
	if chunked {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, size, body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, body)
}
