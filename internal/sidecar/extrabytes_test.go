package sidecar

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/sidecartest"
)

// A client that sends extra bytes after its request and disconnects is noticed, however many they are, though net/http
// reads one of them and no end.
func TestClientThatLeavesAfterExtraBytesIsNoticed(t *testing.T) {
	for name, c := range map[string]struct{ with, later string }{
		"one byte with the request":  {"x", ""},
		"a request with the request": {sidecartest.ReadHead + "X-Correlation-Id: 99\r\n\r\n", ""},
		"50 kB with the request":     {strings.Repeat("x", 50<<10), ""},
		"half a line after it":       {"", "GET /re"},
		"bytes with it and after it": {"x", strings.Repeat("y", 5000)},
	} {
		t.Run(name, func(t *testing.T) {
			e := newServingEndpoint(t)
			w := start(t, nil, ready("s-1", e.Address))
			dial := sidecartest.BlockDials(&w.loop.upstream.Dialer, e.Address)
			conn := w.dial()
			var text strings.Builder
			w.request("pay", "x", time.Minute).Write(&text)
			io.WriteString(conn, text.String()+c.with)
			<-dial.Started
			io.WriteString(conn, c.later)
			conn.Close()
			w.awaitClientGone()
			close(dial.Unblock)
			w.awaitOutcome()
			if n, _ := e.Seen(); n != 0 {
				t.Errorf("the endpoint got %d requests, want none", n)
			}
		})
	}
}

// A client that sends extra bytes after its request and stays gets its response and the end of the connection. The
// extra bytes are no request.
func TestExtraBytesAfterARequestCostNoResponse(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	for name, extra := range map[string]string{
		"a byte":    "x",
		"a request": sidecartest.ReadHead + "X-Correlation-Id: 99\r\n\r\n",
		"200 kB":    strings.Repeat("x", 200<<10),
	} {
		got := w.sendRaw(
			sidecartest.ReadHead + "X-Correlation-Id: " + strings.ReplaceAll(name, " ", "") + "\r\n\r\n" + extra,
		)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 200") ||
			!strings.HasSuffix(got, "done") {
			t.Errorf("%s: got %q, want one complete 200", name, got)
		}
	}
	if n, _ := e.Seen(); n != 3 {
		t.Errorf("the endpoint got %d requests, want 3", n)
	}
	if got := w.send(w.request("read", "", time.Minute)); got.code != http.StatusOK {
		t.Errorf("another client: got %+v, want 200", got)
	}
}
