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

// Guards against bytes of a long response that the sidecar holds back until more arrive. The endpoint writes each part
// only after the client has read the one before.
func TestRelayHoldsNothingBack(t *testing.T) {
	const part, parts = "0123456789", 20
	beginning := strings.Repeat("x", 2*httpmsg.MaxBufferedBytes)
	length := len(beginning) + parts*len(part)
	for name, c := range map[string]struct{ head, tail string }{
		"by length":   {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length), ""},
		"one chunk":   {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", length), "\r\n0\r\n\r\n"},
		"until close": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				e.ReadRequest(in)
				io.WriteString(conn, c.head+beginning)
				for range parts {
					<-read
					io.WriteString(conn, part)
				}
				<-read
				io.WriteString(conn, c.tail)
			})
			h := start(t, nil, ready("s-1", e.Address))
			conn := h.dial()
			conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
			h.request("order", "x", 3*time.Second).Write(conn)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(response.Body, make([]byte, len(beginning))); err != nil {
				t.Fatal(err)
			}
			for i := range parts {
				read <- struct{}{}
				if _, err := io.ReadFull(response.Body, make([]byte, len(part))); err != nil {
					t.Fatalf("part %d: got error %v, want it before the next part", i, err)
				}
			}
			read <- struct{}{}
			if rest, err := io.ReadAll(response.Body); err != nil || len(rest) > 0 {
				t.Errorf("got %d more bytes, error %v, want the end", len(rest), err)
			}
		})
	}
}
