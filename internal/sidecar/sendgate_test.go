package sidecar

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/sidecartest"
)

// Tests that a retry of a request with an idempotency key is not sent if its connection is ready only after the class's
// deduplication window, even though the balancer decided on the retry within the window. The client still gets a
// response.
func TestRetryIsNotSentAfterItsWindow(t *testing.T) {
	const window = 2 * time.Second // long enough for the balancer to decide on the retry within the window
	reset := make(chan struct{})
	broken := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		<-reset
	})
	slow := newServingEndpoint(t)
	h := start(t, func(s map[string]any) {
		s["classes"].([]any)[1].(map[string]any)["window"] = window.Microseconds()
		s["limits"].(map[string]any)["dial-timeout"] = sidecartest.WaitTimeout.Microseconds()
	}, ready("s-1", broken.Address))
	blockedDials := sidecartest.BlockDials(&h.loop.upstream.Dialer, slow.Address)
	response := make(chan reply, 1)
	go func() { response <- h.send(h.request("pay", "x", time.Minute)) }()
	h.awaitRequests(broken, 1)
	h.discovery.change(func() {
		h.discovery.list = completeList(1, ready("s-1", broken.Address), ready("s-2", slow.Address))
	})
	h.await("the second endpoint", func() bool {
		var n int
		h.runInLoop(func() { n = len(h.loop.endpoints.byID) })
		return n == 2
	})
	close(reset)
	<-blockedDials.Started
	dialStart := time.Now()
	sidecartest.Await(t, "the end of the window", func() bool { return time.Since(dialStart) > window })
	close(blockedDials.Unblock)
	if got := <-response; got.code != http.StatusServiceUnavailable {
		t.Errorf("got %+v, want 503", got)
	}
	if n, _ := slow.Counts(); n != 0 {
		t.Errorf("the second endpoint got %d requests after the window, want none", n)
	}
}

// Tests that nothing is sent for a client that disconnects while an attempt waits for its connection, whether or not
// the settings allow cancelling attempts.
func TestNothingIsSentForADisconnectedClient(t *testing.T) {
	for name, cancel := range map[string]bool{"may cancel": true, "may not cancel": false} {
		t.Run(name, func(t *testing.T) {
			e := newServingEndpoint(t)
			h := start(
				t,
				func(s map[string]any) { s["limits"].(map[string]any)["cancel"] = cancel },
				ready("s-1", e.Address),
			)
			blockedDials := sidecartest.BlockDials(&h.loop.upstream.Dialer, e.Address)
			conn := h.dial()
			h.request("pay", "x", time.Minute).Write(conn)
			<-blockedDials.Started
			conn.Close()
			close(blockedDials.Unblock) // the sidecar may not have noticed the disconnect yet
			h.awaitOutcome()
			if all := h.recorder.statuses(); !slices.Equal(all, []balancer.Status{balancer.NotSent}) {
				t.Errorf("got outcomes %v, want not sent", all)
			}
			if n, _ := e.Counts(); n != 0 {
				t.Errorf("the endpoint got %d requests, want none", n)
			}
		})
	}
}
