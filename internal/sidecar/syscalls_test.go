package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
	"oakproxy/internal/system"
)

// Tests that the time that a request waits in the accept backlog is deducted from the time that the client grants: the
// endpoint is granted no more time than the client has left.
func TestTimeInTheAcceptBacklogCounts(t *testing.T) {
	var arrivedAt time.Time
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			arrivedAt = time.Now()
			io.WriteString(conn, sidecartest.ServedResponse)
		}
	})
	listener := &sidecartest.FaultyListener{}
	h := startWithListener(
		t,
		func(inner net.Listener) net.Listener { listener.Listener = inner; return listener },
		ready("s-1", e.Address),
	)
	const failures = 100 // failed calls of Accept; a delay of system.AcceptRetryDelay follows each, more than 0.5 s in all
	listener.Fail(slices.Repeat([]error{syscall.ENFILE}, failures))
	h.dial() // the accept that is already pending may still accept this connection
	conn := h.dial()
	fmt.Fprint(conn, sidecartest.ReadHead+"X-Correlation-Id: 1\r\n\r\n")
	writtenAt := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v, want 200", response, err)
	}
	var forwardedMS int
	fmt.Sscan(e.Request(0).Header.Get("X-Time-Left-Ms"), &forwardedMS)
	waited := arrivedAt.Sub(writtenAt)
	forwarded, remaining := time.Duration(forwardedMS)*time.Millisecond, 3*time.Second-waited
	if forwarded > remaining+deadlineSlack {
		t.Errorf("got %v forwarded to the endpoint, want at most the client's %v", forwarded, remaining)
	}
	if waited < failures*system.AcceptRetryDelay/2 {
		t.Errorf("got a wait of %v in the backlog, want at least %v", waited, failures*system.AcceptRetryDelay/2)
	}
}

// deadlineSlack is how far the time forwarded to an endpoint may exceed the client's remaining time.
const deadlineSlack = 150 * time.Millisecond

// Tests that the disconnect of a client that has sent a large body is noticed although part of the body is unread, so
// that nothing is sent to the endpoint.
func TestClientThatLeavesAfterItsBodyIsNoticed(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	blockedDials := sidecartest.BlockDials(&h.loop.upstream.Dialer, e.Address)
	conn := h.dial()
	go func() {
		const size = 2 * httpmsg.MaxBufferedBytes
		fmt.Fprintf(conn, "%sX-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n%s",
			sidecartest.PayHead, size, strings.Repeat("x", size))
		conn.Close()
	}()
	<-blockedDials.Started
	sidecartest.Await(t, "the disconnect to be noticed", func() bool {
		for _, r := range h.server.inFlight.all() {
			if r.conn.ClientClosed() {
				return true
			}
		}
		return false
	})
	close(blockedDials.Unblock)
	h.awaitOutcome()
	if n, conns := e.Counts(); n != 0 {
		t.Errorf("the endpoint got %d requests on %d connections, want none", n, conns)
	}
}
