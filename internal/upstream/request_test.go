package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/sidecartest"
)

// What goes to an endpoint is the client's request, with the time that is left.
func TestRequestGoesOnUnchanged(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	at, _ := url.Parse("/pay/x%2Fy?q=1&r=%20")
	m := &Request{Method: http.MethodPost, URL: at, Host: "api.internal", Body: []byte("body"),
		Header: http.Header{"X-Correlation-Id": {"9b"}, "Idempotency-Key": {"5c"}, "X-Time-Left-Ms": {"99999"},
			"Connection": {"close"}, "Expect": {"100-continue"}, "Content-Length": {"7"}}}
	ctx, cancel := context.WithTimeout(context.Background(), sidecartest.Patience)
	defer cancel()
	if r := newTestUpstream(t, 1).Attempt(ctx, &Endpoint{Address: e.Address}, m, &Gate{}); r.Status != balancer.OK {
		t.Fatalf("status %v", r.Status)
	}
	got := e.Request(0)
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/pay/x%2Fy?q=1&r=%20" || got.Host != "api.internal" ||
		string(body) != "body" || got.Header.Get("X-Correlation-Id") != "9b" || got.Header.Get("Idempotency-Key") != "5c" {
		t.Errorf("the endpoint got %s %s, host %s, %v, body %q", got.Method, got.RequestURI, got.Host, got.Header, body)
	}
	if got.Close || got.Header.Get("Expect") != "" {
		t.Errorf("headers of the client's connection went on: %v", got.Header)
	}
	var left int64
	fmt.Sscan(got.Header.Get("X-Time-Left-Ms"), &left)
	if left <= 0 || left > sidecartest.Patience.Milliseconds() {
		t.Errorf("X-Time-Left-Ms %q", got.Header.Get("X-Time-Left-Ms"))
	}
}

// A request that its endpoint takes slowly is not finished: what it was told that the client has left would be wrong.
func TestRequestThatIsTakenSlowlyNeverRuns(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &conn{Conn: ours}
	got := make(chan []byte)
	go func() {
		in := make([]byte, 2*maxBufferedWrite)
		n, _ := theirs.Read(in[:maxBufferedWrite])
		time.Sleep(2 * maxWriteLag)
		rest, _ := io.ReadAll(theirs)
		got <- append(in[:n], rest...)
	}()
	data := bytes.Repeat([]byte("x"), 2*maxBufferedWrite)
	if err := c.writeRequest(data); !errors.Is(err, errTooLate) {
		t.Errorf("the write ended with %v", err)
	}
	ours.Close()
	if n := len(<-got); n >= len(data) {
		t.Errorf("all %d bytes came", n)
	}
}
