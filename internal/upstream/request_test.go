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

// An endpoint receives the client's end-to-end headers and body unchanged, and the remaining time of the attempt in
// X-Time-Left-Ms.
func TestRequestIsForwardedWithTimeLeft(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	requestURL, _ := url.Parse("/pay/x%2Fy?q=1&r=%20")
	request := &Request{Method: http.MethodPost, URL: requestURL, Host: "api.internal", Body: []byte("body"),
		Header: http.Header{"X-Correlation-Id": {"9b"}, "Idempotency-Key": {"5c"}, "X-Time-Left-Ms": {"99999"},
			"Connection": {"close"}, "Expect": {"100-continue"}, "Content-Length": {"7"}}}
	ctx, cancel := context.WithTimeout(context.Background(), sidecartest.WaitTimeout)
	defer cancel()
	if r := newTestClient(t, 1).Attempt(ctx, &Endpoint{Address: e.Address}, request, &Gate{}, nil); r.Status != balancer.OK {
		t.Fatalf("status %v, want OK", r.Status)
	}
	got := e.Request(0)
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/pay/x%2Fy?q=1&r=%20" || got.Host != "api.internal" ||
		string(body) != "body" || got.Header.Get("X-Correlation-Id") != "9b" || got.Header.Get("Idempotency-Key") != "5c" {
		t.Errorf("the endpoint received %s %s, host %s, header %v, body %q; want %s %s, host %s, the client's "+
			"X-Correlation-Id and Idempotency-Key, body %q", got.Method, got.RequestURI, got.Host, got.Header, body,
			request.Method, requestURL, request.Host, request.Body)
	}
	if got.Close || got.Header.Get("Expect") != "" {
		t.Errorf("hop-by-hop headers were forwarded: %v", got.Header)
	}
	var timeLeftMS int64
	fmt.Sscan(got.Header.Get("X-Time-Left-Ms"), &timeLeftMS)
	if timeLeftMS <= 0 || timeLeftMS > sidecartest.WaitTimeout.Milliseconds() {
		t.Errorf("X-Time-Left-Ms is %q, want more than 0 and at most %d", got.Header.Get("X-Time-Left-Ms"),
			sidecartest.WaitTimeout.Milliseconds())
	}
}

// Guards against sending what no client has sent as its request, whichever way it came to the client: nothing is
// written, and the endpoint is not blamed.
func TestRequestWithoutIDIsNotSent(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	request := newGetRequest("/health/ready")
	request.Header.Del(idHeader)
	r := newTestClient(t, 1).Attempt(context.Background(), &Endpoint{Address: e.Address}, request, &Gate{}, nil)
	if r.Status != balancer.NotSent || !errors.Is(r.Err, errNoClientRequest) {
		t.Errorf("status %v, error %v, want %v and %v", r.Status, r.Err, balancer.NotSent, errNoClientRequest)
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("the endpoint got %d requests, want none", n)
	}
}

// If an endpoint reads a request too slowly, the request's last byte is not written, because the X-Time-Left-Ms that
// was sent would be wrong.
func TestSlowlyReadRequestIsNotCompleted(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	c := &conn{Conn: client}
	got := make(chan []byte)
	go func() {
		in := make([]byte, 2*maxBufferedWrite)
		n, _ := server.Read(in[:maxBufferedWrite])
		time.Sleep(2 * maxWriteDelay)
		remainder, _ := io.ReadAll(server)
		got <- append(in[:n], remainder...)
	}()
	data := bytes.Repeat([]byte("x"), 2*maxBufferedWrite)
	if err := c.writeRequest(data); !errors.Is(err, errTooLate) {
		t.Errorf("the write returned error %v, want %v", err, errTooLate)
	}
	client.Close()
	if n := len(<-got); n >= len(data) {
		t.Errorf("%d bytes were written, want fewer than %d", n, len(data))
	}
}
