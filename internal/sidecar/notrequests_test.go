package sidecar

import (
	"fmt"
	"strings"
	"testing"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// Guards against forwarding what no client has sent as its request: the readiness check with another method or with a
// body, the probe paths of endpoints, and the other request forms of HTTP/1.1. Each gets an error and reaches no
// endpoint, whatever the length of its body.
func TestOnlyRequestsOfClientsReachEndpoints(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	long := strings.Repeat("x", 2*httpmsg.MaxBufferedBytes)
	bodies := map[string]string{
		"no body":        "\r\n",
		"empty body":     "Content-Length: 0\r\n\r\n",
		"short body":     "Content-Length: 2\r\n\r\nok",
		"long body":      fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long),
		"short chunks":   "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"long chunks":    "Transfer-Encoding: chunked\r\n\r\n" + encodeChunks(long, 10_000) + "0\r\n\r\n",
		"with a trailer": "Transfer-Encoding: chunked\r\n\r\n" + encodeChunks(long, 10_000) + "0\r\nX-Service-Class: read\r\n\r\n",
	}
	lines := []string{"OPTIONS *", "CONNECT api.internal:80", "GET /health/live", "GET /stats", "GET /read", "POST /pay",
		"GET http://api.internal/health/live"}
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "get"} {
		lines = append(lines, method+" "+readyPath, method+" http://api.internal"+readyPath, method+" /health%2Fready")
	}
	for _, line := range lines {
		for name, body := range bodies {
			isCheck := strings.Contains(line, "ready") && (strings.HasPrefix(line, "GET") || strings.HasPrefix(line, "HEAD")) &&
				(name == "no body" || name == "empty body")
			got := h.sendRaw(line + " HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n" + body)
			served := strings.HasPrefix(got, "HTTP/1.1 2")
			if got != "" && served != isCheck { // a reset may discard the response
				t.Errorf("%s, %s: got %.40q, want 200: %v", line, name, got, isCheck)
			}
		}
	}
	if got := h.send(h.request("pay", "body", sidecartest.WaitTimeout)); got.code != 200 {
		t.Errorf("a client's request: got %+v, want 200", got)
	}
	if n, _ := e.Counts(); n != 1 {
		t.Errorf("the endpoint got %d requests, the first %s %s, want only the client's", n, e.Request(0).Method,
			e.Request(0).RequestURI)
	}
	if all := h.recorder.statuses(); len(all) != 1 {
		t.Errorf("got %d attempts, want one, for the client's request", len(all))
	}
}
