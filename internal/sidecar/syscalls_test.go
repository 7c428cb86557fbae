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

// The time that a request waited in the accept backlog counts: its endpoint gets no longer deadline than its client
// has left.
func TestTimeInTheAcceptBacklogCounts(t *testing.T) {
	var came time.Time
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			came = time.Now()
			io.WriteString(conn, sidecartest.Served)
		}
	})
	listener := &sidecartest.FaultyListener{}
	w := startWithListener(
		t,
		func(inner net.Listener) net.Listener { listener.Listener = inner; return listener },
		ready("s-1", e.Address),
	)
	const failures = 100 // with acceptPause after each, over 0.5 s
	listener.Fail(slices.Repeat([]error{syscall.ENFILE}, failures))
	w.dial() // may still be taken by the accept that is under way
	conn := w.dial()
	fmt.Fprint(conn, sidecartest.ReadHead+"X-Correlation-Id: 1\r\n\r\n")
	written := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	var ms int
	fmt.Sscan(e.Request(0).Header.Get("X-Time-Left-Ms"), &ms)
	waited := came.Sub(written)
	if given, left := time.Duration(ms)*time.Millisecond, 3*time.Second-waited; given > left+deadlineSlack {
		t.Errorf("the endpoint is given %v, its client has %v", given, left)
	}
	if waited < failures*system.AcceptRetryDelay/2 {
		t.Errorf("the request waited %v only", waited)
	}
}

// deadlineSlack is how much more than its client has left an endpoint may be given.
const deadlineSlack = 150 * time.Millisecond

// A client that disconnects after sending a whole long body is noticed, though its bytes are still unread: no attempt
// is started for it.
func TestClientThatLeavesAfterItsBodyIsNoticed(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	dial := sidecartest.BlockDials(&w.loop.upstream.Dialer, e.Address)
	conn := w.dial()
	go func() {
		fmt.Fprintf(
			conn,
			"%sX-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n%s",
			sidecartest.PayHead,
			2*httpmsg.MaxBufferedBytes,
			strings.Repeat("x", 2*httpmsg.MaxBufferedBytes),
		)
		conn.Close()
	}()
	<-dial.Started
	sidecartest.Await(t, "the client's end", func() bool {
		for _, r := range w.server.inFlight.all() {
			if r.conn.ClientClosed() {
				return true
			}
		}
		return false
	})
	close(dial.Unblock)
	w.await("the outcome", func() bool { return len(w.recorder.statuses()) == 1 })
	if n, conns := e.Seen(); n != 0 {
		t.Errorf("the endpoint got %d requests on %d connections", n, conns)
	}
}
