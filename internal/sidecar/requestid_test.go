package sidecar

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/requestids"
	"oakproxy/internal/sidecartest"
)

// idClasses are a class of each idempotency.
var idClasses = []string{"read", "pay", "close", "order"}

// Guards against a request that runs twice because its id comes again while it is open, after its response, or after its
// client has disconnected. In each case the second request fails with 409.
func TestIDIsExecutedOnce(t *testing.T) {
	for _, body := range []string{"x", strings.Repeat("x", httpmsg.MaxBufferedBytes+1)} {
		for _, class := range idClasses {
			release := make(chan struct{})
			e := sidecartest.NewEndpoint(t, sidecartest.BlockAll(release))
			h := start(t, nil, ready("s-1", e.Address))
			send := func(r *http.Request) reply {
				again := r.Clone(context.Background())
				if r.GetBody != nil {
					again.Body, _ = r.GetBody()
				}
				return h.send(again)
			}
			requireConflict := func(when string, r *http.Request, executed int) {
				t.Helper()
				if got := send(r); got.code != http.StatusConflict {
					t.Errorf("%s, %d bytes, %s: got %+v, want 409", class, len(body), when, got)
				}
				if requests, _ := e.Counts(); requests != executed {
					t.Errorf("%s, %d bytes, %s: got %d requests at the endpoint, want %d", class, len(body), when, requests, executed)
				}
			}
			answered := make(chan reply)
			first := h.request(class, body, time.Minute)
			go func() { answered <- send(first) }()
			h.awaitRequests(e, 1)
			requireConflict("while it is open", first, 1)

			abandoned := h.request(class, body, time.Minute)
			conn := h.dial()
			abandoned.Clone(context.Background()).Write(conn)
			h.awaitRequests(e, 2)
			conn.Close()
			h.awaitClientGone()
			h.await("the handler to end", func() bool { return h.server.openRequests() == 1 })
			abandoned.Body, _ = abandoned.GetBody()
			requireConflict("after its client has gone", abandoned, 2)

			close(release)
			if got := <-answered; got.code != http.StatusOK {
				t.Errorf("%s: got %+v, want 200", class, got)
			}
			requireConflict("after its response", first, 2)
		}
	}
}

// A request that was never executed may come again with the same id: it was rejected by its endpoint, or no endpoint could
// be reached.
func TestIDOfARequestThatNeverRanIsFreeAgain(t *testing.T) {
	for name, address := range map[string]func() string{
		"rejected": func() string {
			return sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.RejectedResponse)).Address
		},
		"not reached": func() string { return sidecartest.ClosedAddress(t) },
	} {
		for _, class := range idClasses {
			h := start(t, nil, ready("s-1", address()))
			r := h.request(class, "x", 3*time.Second)
			for range 2 {
				again := r.Clone(context.Background())
				if r.GetBody != nil {
					again.Body, _ = r.GetBody()
				}
				if got := h.send(again); got.code != http.StatusServiceUnavailable {
					t.Errorf("%s, %s: got status %d, want 503", name, class, got.code)
				}
			}
		}
	}
}

// Guards against a request that is sent although its id can't be remembered: it must be rejected as never executed, unless
// it may run twice.
func TestFloodOfIDsIsNotForwardedUnremembered(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	h.server.ids = requestids.New(0, h.server.loop.operatorClock.Uptime) // room for a few ids
	served := map[string]bool{}
	const requests = 100
	for range requests {
		r := h.request("order", "x", 3*time.Second)
		switch got := h.send(r); got.code {
		case http.StatusOK:
			served[r.Header.Get("X-Correlation-Id")] = true
		case http.StatusServiceUnavailable:
		default:
			t.Errorf("got status %d, want 200 or 503", got.code)
		}
	}
	if n, _ := e.Counts(); n != len(served) || n == 0 || n == requests {
		t.Errorf("got %d requests at the endpoint, %d served, want the same number, and some rejected", n, len(served))
	}
	for id := range served {
		r := h.request("order", "x", 3*time.Second)
		r.Header.Set("X-Correlation-Id", id)
		if got := h.send(r); got.code != http.StatusConflict {
			t.Errorf("an id that was served: got status %d, want 409", got.code)
		}
	}
	if got := h.send(h.request("read", "", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("a request that may run twice: got status %d, want 200", got.code)
	}
}
