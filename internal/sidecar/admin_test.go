package sidecar

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// second gives a running sidecar its second address.
func (w *world) second() string {
	w.t.Helper()
	listener, err := listenAdmin("127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { listener.Close() })
	go newAdmin(w.server).serve(listener)
	return listener.Addr().String()
}

// ask sends bytes to the second address and returns all that comes until the
// end of the connection.
func ask(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, text)
	got, err := io.ReadAll(conn)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Errorf("the connection stays open; so far: %q", got)
	}
	return string(got)
}

// status makes one call and returns its status.
func status(t *testing.T, method, address, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// What is no call gets a no that says why, one answer to a connection.
func TestAdminBadCalls(t *testing.T) {
	e := newEndpoint(t, always(served))
	w := start(t, nil, ready("s-1", e.address))
	address := w.second()
	for name, c := range map[string]struct{ text, want string }{
		"health":         {"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200"},
		"two calls":      {strings.Repeat("GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n", 2), "HTTP/1.1 200"},
		"another path":   {"GET /admin/wealth HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 404"},
		"another method": {"PUT /admin/health HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405"},
		"noise":          {"\x16\x03\x01\x02\r\n\r\n", "HTTP/1.1 400"},
		"a head without end": {"GET /admin/health HTTP/1.1\r\nHost: a\r\nX-Pad: " + strings.Repeat("p", 100<<10),
			"HTTP/1.1 431"},
		"a huge body": {"GET /admin/health HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 100<<10),
			"HTTP/1.1 400"},
		"a body that stops": {"GET /admin/health HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", "HTTP/1.1 400"},
		"half a call":       {"GET /admin/health HTTP/1.1\r\nHost", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := ask(t, address, c.text)
			if !strings.HasPrefix(got, c.want) && got != "" || strings.Count(got, "HTTP/1.1") > 1 { // a reset may swallow the answer
				t.Errorf("got %q, want %s", got, c.want)
			}
			if c.want == "HTTP/1.1 200" && got == "" {
				t.Error("a good call got nothing")
			}
		})
	}
}

// Callers that hold connections and say nothing delay nobody: the one that has
// waited longest makes room.
func TestAdminAnswersBesideSilentCallers(t *testing.T) {
	e := newEndpoint(t, always(served))
	w := start(t, nil, ready("s-1", e.address))
	address := w.second()
	for range 3 * adminMost {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	began := time.Now()
	if got := status(t, http.MethodGet, address, "/admin/health"); got != http.StatusOK {
		t.Errorf("health: %d", got)
	}
	if took := time.Since(began); took >= adminTimeout {
		t.Errorf("the answer took %v, as long as silent callers may stay", took)
	}
}

// Before the sidecar knows endpoints, and once it is ending, health is a no.
func TestAdminHealthFollowsReadiness(t *testing.T) {
	e := newEndpoint(t, always(served))
	w := &world{t: t, dir: newDirectory(t)}
	w.launch(configure(t, w.dir.address, nil))
	address := w.second()
	health := func() int { return status(t, http.MethodGet, address, "/admin/health") }
	if got := health(); got != http.StatusServiceUnavailable {
		t.Errorf("without endpoints: %d", got)
	}
	w.dir.change(func() { w.dir.list = registry{Seq: 1, Whole: true, Hosts: []host{ready("s-1", e.address)}} })
	w.until("health", func() bool { return health() == http.StatusOK })
	w.stop()
	w.until("the end of health", func() bool { return health() == http.StatusServiceUnavailable })
}

func TestBadAdminAddress(t *testing.T) {
	for _, address := range []string{"9100", "127.0.0.1"} {
		if err := checkAdmin(address); err == nil || !strings.Contains(err.Error(), "admin_addr") {
			t.Errorf("%q: %v, want an error that names admin_addr", address, err)
		}
	}
	if _, err := listenAdmin("127.0.0.1:99999"); err == nil || !strings.Contains(err.Error(), "admin_addr") {
		t.Errorf("a port that there is not: %v", err)
	}
}
