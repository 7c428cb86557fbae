package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"testing"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// newTestClient returns a client with a limit on open connections and no reuse delay.
func newTestClient(t *testing.T, maxOpen int) *Client {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",` +
		`"limits":{"memory_mb":192,"sockets":256},"settings":` + sidecartest.SettingsText + `}`))
	if err != nil {
		t.Fatal(err)
	}
	u := NewClient(cfg, maxOpen, httpmsg.NewMemoryBudgets(192<<20))
	u.ReuseDelay = 0 // most tests reuse a connection immediately
	return u
}

// newGetRequest returns a GET request with an Idempotency-Key.
func newGetRequest(path string) *Request {
	return &Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: "api", Header: http.Header{
		"X-Correlation-Id": {"1"}, "Idempotency-Key": {"k"}}}
}

// getOnce makes one attempt of a GET request.
func getOnce(ctx context.Context, u *Client, endpoint *Endpoint, path string) Result {
	return u.Attempt(ctx, endpoint, newGetRequest(path), &Gate{}, nil)
}

// A connection is reused. If the reused connection breaks, the Client does not repeat the request. http.Transport would
// repeat a GET request, or one with an Idempotency-Key, on a connection that had been idle.
func TestAttemptIsNeverRepeated(t *testing.T) {
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		if e.ReadRequest(in) != nil {
			io.WriteString(conn, sidecartest.ServedResponse)
			e.ReadRequest(in) // the connection is then closed without a response
		}
	})
	u, endpoint := newTestClient(t, 4), &Endpoint{Address: e.Address}
	if r := getOnce(context.Background(), u, endpoint, "/1"); r.Status != balancer.OK {
		t.Fatalf("first request: status %v, want OK", r.Status)
	}
	if r := getOnce(context.Background(), u, endpoint, "/2"); r.Status != balancer.Reset {
		t.Errorf("second request: status %v, want Reset", r.Status)
	}
	if requests, conns := e.Counts(); requests != 2 || conns != 1 {
		t.Errorf("the endpoint received %d requests on %d connections, want 2 on 1", requests, conns)
	}
}

// A probe returns the values of a load report in the order of the configured fields, and NaN for each unusable value.
func TestProbeParsesLoadReport(t *testing.T) {
	report := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for _, c := range []struct {
		name, response string
		status         balancer.Status
		load           []float32 // -1 stands for NaN
	}{
		{"both values, in any order", report("pending=7,failed_ps=0.5\n"), balancer.OK, []float32{0.5, 7}},
		{"one value and an unknown field", report("util=0.3,pending=2"), balancer.OK, []float32{-1, 2}},
		{"a malformed value", report("pending=many,failed_ps=1,,=,x"), balancer.OK, []float32{1, -1}},
		{"a repeated value", report("pending=1,failed_ps=2,pending=3"), balancer.OK, []float32{2, -1}},
		{"values out of range", report("pending=1e30,failed_ps=-1"), balancer.OK, []float32{-1, -1}},
		{"values that are not finite numbers", report("pending=NaN,failed_ps=+Inf"), balancer.OK, []float32{-1, -1}},
		{"no report yet", report(""), balancer.OK, nil},
		{"rejected", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", balancer.EndpointError, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(c.response))
			r := newTestClient(t, 1).Probe(context.Background(), &Endpoint{Address: e.Address})
			for i, v := range r.Load {
				if v != v {
					r.Load[i] = -1
				}
			}
			if r.Status != c.status || !slices.Equal(r.Load, c.load) {
				t.Errorf("status %v, load %v; want status %v, load %v", r.Status, r.Load, c.status, c.load)
			}
			if path := e.Request(0).RequestURI; path != "/stats" {
				t.Errorf("requested %s, want /stats", path)
			}
		})
	}
}
