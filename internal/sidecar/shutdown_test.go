package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// defaultClientTimeout is the client timeout (give-up) in tests that do not depend on its length.
const defaultClientTimeout = 3 * time.Second

// startForShutdown starts a sidecar with one endpoint and without a drain period. All its classes have the given client
// timeout. closeAdmission begins the shutdown and waits until admission is closed.
func startForShutdown(
	t *testing.T,
	serve sidecartest.Handler,
	clientTimeout time.Duration,
) (h *harness, e *sidecartest.Endpoint, closeAdmission func()) {
	t.Helper()
	e = sidecartest.NewEndpoint(t, serve)
	h = start(t, func(s map[string]any) {
		for _, c := range classes(s) {
			c.(map[string]any)["give-up"] = clientTimeout.Microseconds()
		}
	}, ready("s-1", e.Address))
	h.server.drainPeriod = 0
	return h, e, func() {
		h.stop()
		h.await("admission to be closed", h.server.admission.isClosed)
	}
}

// awaitEnd waits for the sidecar to end. It reports an error if the sidecar ends with one.
func (h *harness) awaitEnd() {
	h.t.Helper()
	select {
	case err := <-h.ended:
		if err != nil {
			h.t.Errorf("the sidecar ended with %v, want no error", err)
		}
	case <-time.After(sidecartest.WaitTimeout):
		h.t.Error("the sidecar does not end")
	}
}

// requireLastResponse reads one response and the end of the connection. It fails the test unless the response has the
// status code and Connection: close.
func requireLastResponse(t *testing.T, conn net.Conn, code int) {
	t.Helper()
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	if err != nil || response.StatusCode != code || !response.Close {
		t.Fatalf("got %+v, %v, want %d and Connection: close", response, err, code)
	}
	io.Copy(io.Discard, response.Body)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("after the response: got %v, want io.EOF", err)
	}
}

// A request that is not complete when admission closes is rejected before any attempt, however many of its bytes have
// arrived by then.
func TestRequestsAreRejectedOnceAdmissionIsClosed(t *testing.T) {
	body := "0123456789"
	text := sidecartest.PayHead + fmt.Sprintf("X-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for split := 1; split < len(text); split += 9 {
		t.Run(fmt.Sprintf("after %d bytes", split), func(t *testing.T) {
			t.Parallel()
			h, e, closeAdmission := startForShutdown(t,
				sidecartest.AlwaysRespond(sidecartest.ServedResponse), defaultClientTimeout)
			conn := h.dial()
			io.WriteString(conn, text[:split])
			h.await("the bytes to be read", func() bool { return h.partialBytes() >= int64(split) })
			closeAdmission()
			io.WriteString(conn, text[split:])
			requireLastResponse(t, conn, http.StatusServiceUnavailable)
			conn.Close()
			h.awaitEnd()
			if n, _ := e.Counts(); n != 0 {
				t.Errorf("the endpoint got %d requests, want none", n)
			}
		})
	}
}

// partialBytes returns the number of bytes read of requests that are not complete yet.
func (h *harness) partialBytes() (bytes int64) { return h.server.clients.PartialBytes() }

// A request that never becomes complete is rejected shortly before SIGKILL is due. A connection on which nothing was
// sent is closed.
func TestPartialRequestIsRejectedAfterAdmissionCloses(t *testing.T) {
	const rejected = http.StatusServiceUnavailable
	for name, c := range map[string]struct {
		text string
		code int
	}{
		"half a line":    {"GET /re", http.StatusBadRequest}, // net/http itself rejects an incomplete request line
		"half a head":    {sidecartest.ReadHead, rejected},
		"a head, no end": {sidecartest.ReadHead + "X-Correlation-Id: 1\r\n", rejected},
		"half a body":    {sidecartest.PayHead + "X-Correlation-Id: 1\r\nContent-Length: 10\r\n\r\n01234", rejected},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, e, closeAdmission := startForShutdown(t,
				sidecartest.AlwaysRespond(sidecartest.ServedResponse), 100*time.Millisecond)
			idle, conn := h.dial(), h.dial()
			io.WriteString(conn, c.text)
			h.await("the bytes to be read", func() bool { return h.partialBytes() == int64(len(c.text)) })
			closeAdmission()
			if got, err := io.ReadAll(idle); err != nil || len(got) > 0 {
				t.Errorf("the idle connection: got %q, %v, want no data and no error", got, err)
			}
			idle.Close()
			requireLastResponse(t, conn, c.code)
			conn.Close()
			h.awaitEnd()
			if n, _ := e.Counts(); n != 0 {
				t.Errorf("the endpoint got %d requests, want none", n)
			}
		})
	}
}

// If a body is being streamed when admission closes, the sidecar does not forward its last byte, so that the endpoint
// never reads a complete request, and rejects the client. A client whose last byte was forwarded earlier gets its
// response.
func TestUploadsDuringShutdown(t *testing.T) {
	const size = 2 * httpmsg.MaxBufferedBytes
	head := sidecartest.PayHead + fmt.Sprintf("X-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n", size)
	t.Run("last byte missing", func(t *testing.T) {
		h, e, closeAdmission := startForShutdown(t,
			sidecartest.AlwaysRespond(sidecartest.ServedResponse), defaultClientTimeout)
		conn := h.dial()
		io.WriteString(conn, head+strings.Repeat("x", size-1))
		h.await("the attempt's connection", func() bool { _, conns := e.Counts(); return conns == 1 })
		closeAdmission()
		requireLastResponse(t, conn, http.StatusServiceUnavailable)
		conn.Close()
		h.awaitEnd()
		if n, _ := e.Counts(); n != 0 {
			t.Errorf("the endpoint got %d complete requests, want none", n)
		}
	})
	t.Run("completely forwarded", func(t *testing.T) {
		release := make(chan struct{})
		h, e, closeAdmission := startForShutdown(t, sidecartest.BlockPay(release), defaultClientTimeout)
		conn := h.dial()
		io.WriteString(conn, head+strings.Repeat("x", size))
		h.awaitRequests(e, 1)
		closeAdmission()
		close(release)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v, want 200", response, err)
		}
		conn.Close()
		h.awaitEnd()
	})
}

// A request in flight keeps the deadline that it had on arrival. Neither a reload with shorter client timeouts nor
// shutdown shortens it.
func TestInFlightRequestKeepsItsDeadlineAtTermination(t *testing.T) {
	release := make(chan struct{})
	h, e, closeAdmission := startForShutdown(t, sidecartest.BlockPay(release), defaultClientTimeout)
	pending := make(chan reply)
	go func() { pending <- h.send(h.request("pay", "x", time.Minute)) }()
	h.awaitRequests(e, 1)
	h.reload(func(s map[string]any) {
		s["classes"] = []any{map[string]any{"name": "find", "repeat": "side_effect", "target": 1, "give-up": 1}}
	})
	closeAdmission()
	// After this pause, the reloaded client timeout of 1 µs has passed. The time of SIGKILL, which shutdown computes
	// from that timeout, has passed, too. The request's own deadline has not passed.
	time.Sleep(killDelay + responseGrace + closeGrace)
	close(release)
	if got := <-pending; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
	h.awaitEnd()
}

// Shutdown waits for the latest deadline of the requests in flight. For an upload, the deadline is computed as if the
// last byte of its body had arrived when admission closed.
func TestLatestDeadlineOnceAdmissionIsClosed(t *testing.T) {
	var requests inFlightRequests
	now := time.Now()
	if _, found := requests.latestDeadline(now); found {
		t.Error("got a deadline without requests, want none")
	}
	a := &openRequest{id: "a", deadline: now.Add(time.Second)}
	b := &openRequest{id: "b", deadline: now.Add(time.Hour), isUpload: true, timeAfterBody: 3 * time.Second}
	if !requests.add(a) || !requests.add(b) || requests.add(&openRequest{id: "a"}) {
		t.Fatal("add did not accept two ids and reject a duplicate of the first")
	}
	if latest, found := requests.latestDeadline(now); !found || !latest.Equal(now.Add(3*time.Second)) {
		t.Errorf("got a deadline in %v (found: %v), want in 3 s", latest.Sub(now), found)
	}
	requests.remove(b)
	requests.remove(&openRequest{id: "a"}) // another request with the same id, which must not remove a
	if latest, found := requests.latestDeadline(now); !found || !latest.Equal(now.Add(time.Second)) {
		t.Errorf("got a deadline in %v (found: %v), want in 1 s", latest.Sub(now), found)
	}
}

// A permanent failure of the listener ends the sidecar with that error, but only after the requests in flight have
// their responses.
func TestBrokenListenerStillAnswersInFlightRequests(t *testing.T) {
	release := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(release))
	listener := &sidecartest.FaultyListener{}
	h := startWithListener(
		t,
		func(inner net.Listener) net.Listener { listener.Listener = inner; return listener },
		ready("s-1", e.Address),
	)
	h.server.drainPeriod = 0
	pending := make(chan reply)
	go func() { pending <- h.send(h.request("pay", "x", time.Minute)) }()
	h.awaitRequests(e, 1)
	listener.Fail([]error{syscall.EBADF})
	h.dial() // completes the pending Accept, so that the next one fails
	h.await("admission to be closed", h.server.admission.isClosed)
	close(release)
	if got := <-pending; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
	select {
	case err := <-h.ended:
		if !errors.Is(err, syscall.EBADF) {
			t.Errorf("the sidecar ended with %v, want %v", err, syscall.EBADF)
		}
	case <-time.After(sidecartest.WaitTimeout):
		t.Error("the sidecar does not end")
	}
}

// At SIGTERM, a request may be in flight, partly sent, or not yet begun on an open connection, and a reload may follow.
// The request is served, its response ends its connection, and the sidecar ends after that.
func TestTerminationAnswersOpenRequests(t *testing.T) {
	head := sidecartest.PayHead + "Content-Length: 10\r\nX-Correlation-Id: "
	for name, split := range map[string]int{
		"idle connection":     0,
		"half a line":         7,
		"half a head":         len(head) / 2,
		"a head without body": len(head) + len("1\r\n\r\n"),
		"half a body":         len(head) + len("1\r\n\r\n") + 5,
		"all but one byte":    len(head) + len("1\r\n\r\n") + 9,
		"a request in flight": len(head) + len("1\r\n\r\n") + 10,
		"half a head, reload": len(head) / 2,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newServingEndpoint(t)
			h := start(t, nil, ready("s-1", e.Address))
			h.server.drainPeriod = 3 * time.Second // long enough to connect on a busy machine
			dial := sidecartest.BlockDials(&h.loop.upstream.Dialer, e.Address)
			text := head + "1\r\n\r\n0123456789"
			conn := h.dial()
			io.WriteString(conn, text[:split])
			h.await("the connection to be accepted", func() bool { return h.server.clients.Count() > 0 })
			if split == len(text) {
				<-dial.Started
			}
			h.stop()
			h.await("the drain period to begin", h.server.draining)
			if name == "half a head, reload" {
				next := *h.loop.cfg
				h.runInLoop(func() { h.loop.reload(&next) })
			}
			io.WriteString(conn, text[split:])
			close(dial.Unblock)
			in := bufio.NewReader(conn)
			response, err := http.ReadResponse(in, nil)
			if err != nil || response.StatusCode != http.StatusOK || !response.Close {
				t.Fatalf("got %v, %v, want 200 and Connection: close", response, err)
			}
			if got, err := io.ReadAll(response.Body); err != nil || string(got) != "done" {
				t.Errorf("got body %q, %v, want %q", got, err, "done")
			}
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("after the response: got %v, want io.EOF", err)
			}
			conn.Close()
			h.awaitEnd()
			if n, _ := e.Counts(); n != 1 {
				t.Errorf("the endpoint got %d requests, want 1", n)
			}
		})
	}
}
