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

// defaultClientTimeout is the client timeout of tests that do not wait for it.
const defaultClientTimeout = 3 * time.Second

// startTerminating starts a sidecar with one endpoint, whose classes have the given client timeout. closeAdmission
// begins the shutdown and waits until admission is closed.
func startTerminating(
	t *testing.T,
	serve sidecartest.Handler,
	clientTimeout time.Duration,
) (w *harness, e *sidecartest.Endpoint, closeAdmission func()) {
	t.Helper()
	e = sidecartest.NewEndpoint(t, serve)
	w = start(t, func(s map[string]any) {
		for _, c := range classes(s) {
			c.(map[string]any)["give-up"] = clientTimeout.Microseconds()
		}
	}, ready("s-1", e.Address))
	w.server.drainPeriod = 0
	return w, e, func() {
		w.stop()
		w.await("admission to be closed", w.server.admission.isClosed)
	}
}

// awaitEnd waits for the sidecar to end without error.
func (w *harness) awaitEnd() {
	w.t.Helper()
	select {
	case err := <-w.ended:
		if err != nil {
			w.t.Errorf("the sidecar ended with %v, want no error", err)
		}
	case <-time.After(sidecartest.WaitTimeout):
		w.t.Error("the sidecar does not end")
	}
}

// requireLastResponse reads one response with this status and the end of the connection.
func requireLastResponse(t *testing.T, conn net.Conn, code int) {
	t.Helper()
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	if err != nil || response.StatusCode != code || !response.Close {
		t.Fatalf("got %+v, %v, want %d and Connection: close", response, err, code)
	}
	io.Copy(io.Discard, response.Body)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("after the response: got %v, want the end of the connection", err)
	}
}

// A request that is not complete when admission closes is rejected before any attempt, however much of it has arrived.
func TestRequestsAreRejectedOnceAdmissionIsClosed(t *testing.T) {
	body := "0123456789"
	text := sidecartest.PayHead + fmt.Sprintf("X-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for split := 1; split < len(text); split += 9 {
		t.Run(fmt.Sprintf("after %d bytes", split), func(t *testing.T) {
			t.Parallel()
			w, e, closeAdmission := startTerminating(t,
				sidecartest.AlwaysRespond(sidecartest.ServedResponse), defaultClientTimeout)
			conn := w.dial()
			io.WriteString(conn, text[:split])
			w.await("the bytes to be read", func() bool { return w.partialBytes() >= int64(split) })
			closeAdmission()
			io.WriteString(conn, text[split:])
			requireLastResponse(t, conn, http.StatusServiceUnavailable)
			conn.Close()
			w.awaitEnd()
			if n, _ := e.Counts(); n != 0 {
				t.Errorf("the endpoint got %d requests, want none", n)
			}
		})
	}
}

// partialBytes counts the bytes of requests that are being read.
func (w *harness) partialBytes() (bytes int64) { return w.server.clients.PartialBytes() }

// A request that stays partial is rejected, too, before SIGKILL. A connection that has sent nothing is closed.
func TestPartialRequestIsRejectedAfterAdmissionCloses(t *testing.T) {
	const rejected = http.StatusServiceUnavailable
	for name, c := range map[string]struct {
		text string
		code int
	}{
		"half a line":    {"GET /re", http.StatusBadRequest}, // from net/http itself
		"half a head":    {sidecartest.ReadHead, rejected},
		"a head, no end": {sidecartest.ReadHead + "X-Correlation-Id: 1\r\n", rejected},
		"half a body":    {sidecartest.PayHead + "X-Correlation-Id: 1\r\nContent-Length: 10\r\n\r\n01234", rejected},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, e, closeAdmission := startTerminating(t,
				sidecartest.AlwaysRespond(sidecartest.ServedResponse), 100*time.Millisecond)
			idle, conn := w.dial(), w.dial()
			io.WriteString(conn, c.text)
			w.await("the bytes to be read", func() bool { return w.partialBytes() == int64(len(c.text)) })
			closeAdmission()
			if got, err := io.ReadAll(idle); err != nil || len(got) > 0 {
				t.Errorf("the idle connection: got %q, %v, want its end", got, err)
			}
			idle.Close()
			requireLastResponse(t, conn, c.code)
			conn.Close()
			w.awaitEnd()
			if n, _ := e.Counts(); n != 0 {
				t.Errorf("the endpoint got %d requests, want none", n)
			}
		})
	}
}

// A body that is being streamed when admission closes is stopped short of its last byte, and its client is rejected.
// A client whose last byte was forwarded earlier gets its response.
func TestUploadsDuringShutdown(t *testing.T) {
	const size = 2 * httpmsg.MaxBufferedBytes
	head := sidecartest.PayHead + fmt.Sprintf("X-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n", size)
	t.Run("last byte missing", func(t *testing.T) {
		w, e, closeAdmission := startTerminating(t,
			sidecartest.AlwaysRespond(sidecartest.ServedResponse), defaultClientTimeout)
		conn := w.dial()
		io.WriteString(conn, head+strings.Repeat("x", size-1))
		w.await("the attempt", func() bool { _, conns := e.Counts(); return conns == 1 })
		closeAdmission()
		requireLastResponse(t, conn, http.StatusServiceUnavailable)
		conn.Close()
		w.awaitEnd()
		if n, _ := e.Counts(); n != 0 {
			t.Errorf("the endpoint got %d complete requests, want none", n)
		}
	})
	t.Run("completely forwarded", func(t *testing.T) {
		answer := make(chan struct{})
		w, e, closeAdmission := startTerminating(t, sidecartest.BlockPay(answer), defaultClientTimeout)
		conn := w.dial()
		io.WriteString(conn, head+strings.Repeat("x", size))
		w.awaitRequests(e, 1)
		closeAdmission()
		close(answer)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v, want 200", response, err)
		}
		conn.Close()
		w.awaitEnd()
	})
}

// A request in flight keeps the deadline that it arrived with: neither a new configuration with shorter timeouts nor
// shutdown shortens it.
func TestInFlightRequestKeepsItsDeadlineAtTermination(t *testing.T) {
	answer := make(chan struct{})
	w, e, closeAdmission := startTerminating(t, sidecartest.BlockPay(answer), defaultClientTimeout)
	got := make(chan reply)
	go func() { got <- w.send(w.request("pay", "x", time.Minute)) }()
	w.awaitRequests(e, 1)
	w.reload(func(s map[string]any) {
		s["classes"] = []any{map[string]any{"name": "find", "repeat": "side_effect", "target": 1, "give-up": 1}}
	})
	closeAdmission()
	// The shortest deadline and the time of SIGKILL have passed; the request's deadline has not.
	time.Sleep(killDelay + responseGrace + closeGrace)
	close(answer)
	if got := <-got; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
	w.awaitEnd()
}

// Shutdown waits for the latest deadline of the requests in flight.
func TestLatestDeadlineOnceAdmissionIsClosed(t *testing.T) {
	var requests inFlightRequests
	now := time.Now()
	if _, found := requests.latestDeadline(now); found {
		t.Error("got a deadline without requests, want none")
	}
	a := &openRequest{id: "a", deadline: now.Add(time.Second)}
	b := &openRequest{id: "b", deadline: now.Add(time.Hour), isUpload: true, timeAfterBody: 3 * time.Second}
	if !requests.add(a) || !requests.add(b) || requests.add(&openRequest{id: "a"}) {
		t.Fatal("add must accept two ids and reject a duplicate")
	}
	if due, found := requests.latestDeadline(now); !found || !due.Equal(now.Add(3*time.Second)) {
		t.Errorf("got a deadline in %v (found: %v), want in 3 s", due.Sub(now), found)
	}
	requests.remove(b)
	requests.remove(&openRequest{id: "a"}) // another request with the same id
	if due, found := requests.latestDeadline(now); !found || !due.Equal(now.Add(time.Second)) {
		t.Errorf("got a deadline in %v (found: %v), want in 1 s", due.Sub(now), found)
	}
}

// A permanent failure of the listener ends the sidecar, after requests in flight have their responses.
func TestBrokenListenerStillAnswersInFlightRequests(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(answer))
	listener := &sidecartest.FaultyListener{}
	w := startWithListener(
		t,
		func(inner net.Listener) net.Listener { listener.Listener = inner; return listener },
		ready("s-1", e.Address),
	)
	w.server.drainPeriod = 0
	got := make(chan reply)
	go func() { got <- w.send(w.request("pay", "x", time.Minute)) }()
	w.awaitRequests(e, 1)
	listener.Fail([]error{syscall.EBADF})
	w.dial() // ends the accept that is under way
	w.await("admission to be closed", w.server.admission.isClosed)
	close(answer)
	if got := <-got; got.code != http.StatusOK {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
	select {
	case err := <-w.ended:
		if !errors.Is(err, syscall.EBADF) {
			t.Errorf("the sidecar ended with %v, want %v", err, syscall.EBADF)
		}
	case <-time.After(sidecartest.WaitTimeout):
		t.Error("the sidecar does not end")
	}
}

// At SIGTERM a request may be in flight, partial or not yet begun on an open connection, and a reload may follow. The
// request gets its response, which ends its connection, and the sidecar ends after that.
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
			w := start(t, nil, ready("s-1", e.Address))
			w.server.drainPeriod = 3 * time.Second // a busy machine may be slow to connect
			dial := sidecartest.BlockDials(&w.loop.upstream.Dialer, e.Address)
			text := head + "1\r\n\r\n0123456789"
			conn := w.dial()
			io.WriteString(conn, text[:split])
			w.await("the connection", func() bool { return w.server.clients.Count() > 0 })
			if split == len(text) {
				<-dial.Started
			}
			w.stop()
			w.await("the end of service", w.server.draining)
			if name == "half a head, reload" {
				next := *w.loop.cfg
				w.runInLoop(func() { w.loop.reload(&next) })
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
				t.Errorf("after the response: got %v, want the end of the connection", err)
			}
			conn.Close()
			w.awaitEnd()
			if n, _ := e.Counts(); n != 1 {
				t.Errorf("the endpoint got %d requests, want 1", n)
			}
		})
	}
}
