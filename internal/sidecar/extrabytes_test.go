package sidecar

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/sidecartest"
)

// Tests that the disconnect of a client is noticed if the client has sent extra bytes after its request, however many.
// net/http itself does not notice the disconnect: it reads only one of the extra bytes, so that it never reaches the
// end of the stream.
func TestClientThatLeavesAfterExtraBytesIsNoticed(t *testing.T) {
	for name, tc := range map[string]struct{ sameWrite, laterWrite string }{
		"one byte with the request":  {"x", ""},
		"a request with the request": {sidecartest.ReadHead + "X-Correlation-Id: 99\r\n\r\n", ""},
		"50 kB with the request":     {strings.Repeat("x", 50<<10), ""},
		"half a line after it":       {"", "GET /re"},
		"bytes with it and after it": {"x", strings.Repeat("y", 5000)},
	} {
		t.Run(name, func(t *testing.T) {
			e := newServingEndpoint(t)
			h := start(t, nil, ready("s-1", e.Address))
			blockedDials := sidecartest.BlockDials(&h.loop.upstream.Dialer, e.Address)
			conn := h.dial()
			var text strings.Builder
			h.request("pay", "x", time.Minute).Write(&text)
			io.WriteString(conn, text.String()+tc.sameWrite)
			<-blockedDials.Started
			io.WriteString(conn, tc.laterWrite)
			conn.Close()
			h.awaitClientGone()
			close(blockedDials.Unblock)
			h.awaitOutcome()
			if n, _ := e.Counts(); n != 0 {
				t.Errorf("the endpoint got %d requests, want none", n)
			}
		})
	}
}

// Tests that a client that sends extra bytes after its request and stays connected gets its response, after which the
// connection is closed. The extra bytes are not treated as a request.
func TestExtraBytesAfterARequestAreIgnored(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	for name, extra := range map[string]string{
		"a byte":    "x",
		"a request": sidecartest.ReadHead + "X-Correlation-Id: 99\r\n\r\n",
		"200 kB":    strings.Repeat("x", 200<<10),
	} {
		got := h.sendRaw(
			sidecartest.ReadHead + "X-Correlation-Id: " + strings.ReplaceAll(name, " ", "") + "\r\n\r\n" + extra,
		)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 200") ||
			!strings.HasSuffix(got, "done") {
			t.Errorf("%s: got %q, want one complete 200", name, got)
		}
	}
	if n, _ := e.Counts(); n != 3 {
		t.Errorf("the endpoint got %d requests, want 3", n)
	}
	if got := h.send(h.request("read", "", time.Minute)); got.code != http.StatusOK {
		t.Errorf("another client: got %+v, want 200", got)
	}
}
