package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/downstream"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// Guards against a time limit of a request's body that goes on while its response is awaited: the response of an endpoint
// that begins late must reach the client, whatever the size and the framing of the request's body.
func TestResponseLaterThanTheLimitsOfTheBody(t *testing.T) {
	for name, text := range map[string]string{
		"small body":   "Content-Length: 4\r\n\r\nbody",
		"small chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"large body":   "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000),
		"large chunks": "Transfer-Encoding: chunked\r\n\r\n" + encodeChunks(strings.Repeat("x", httpmsg.MaxBufferedBytes+1), 10_000) +
			"0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for e.ReadRequest(in) != nil {
					time.Sleep(downstream.SmallRequestTimeout + 500*time.Millisecond)
					io.WriteString(conn, sidecartest.ServedResponse)
				}
			})
			h := start(t, nil, ready("s-1", e.Address))
			conn := h.dial()
			conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
			io.WriteString(conn, strings.Replace(sidecartest.PayHead, "3000", "9000", 1)+"X-Correlation-Id: 1\r\n"+text)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("got %v, error %v, want 200", response, err)
			}
		})
	}
}
