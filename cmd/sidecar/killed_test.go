package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// hangingResponse is the beginning of a response whose end only the end of the connection tells. It exceeds the size up
// to which the sidecar buffers a response.
var hangingResponse = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 100<<10)

// Guards against a response without a length that looks complete because SIGKILL has ended the process before the
// endpoint has sent all of it: the end of the connection must be a reset.
func TestKilledProcessResetsIncompleteResponses(t *testing.T) {
	for name, terminate := range map[string]bool{"in service": false, "after SIGTERM": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := serveConnections(t, func(conn net.Conn) {
				readRequests(conn, func(*http.Request) { io.WriteString(conn, hangingResponse) })
			})
			listen := freeAddress(t)
			p := launch(t, command(t, terminationConfig(listen, endpoint, 1)))
			awaitReady(t, listen)
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			// A client of HTTP/1.0 reads such a response up to the end of the connection.
			fmt.Fprint(conn, "GET /read HTTP/1.0\r\nX-Service-Class: read\r\nX-Correlation-Id: 1\r\nX-Time-Left-Ms: 210\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("got %v, %v, want 200", response, err)
			}
			defer response.Body.Close()
			if _, err := io.ReadFull(response.Body, make([]byte, 1000)); err != nil {
				t.Fatal(err)
			}
			if terminate {
				p.signal(syscall.SIGTERM)
				waitFor(t, "admission to close", func() bool { return p.log.count("admission closed") > 0 })
			}
			p.signal(syscall.SIGKILL)
			if n, err := io.Copy(io.Discard, response.Body); err == nil {
				t.Errorf("got %d more bytes as a complete response, want an error", n)
			}
		})
	}
}
