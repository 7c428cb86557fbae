package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/admin"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/operatorstate"
	"oakproxy/internal/sidecartest"
)

// startAdmin serves admin calls for a running sidecar, which keeps its operator state in dir. It returns the address
// of the listener for admin calls.
func (h *harness) startAdmin(dir string) string {
	h.t.Helper()
	listener, err := admin.Listen(h.t.Context(), "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { listener.Close() })
	store := h.server.newOperatorStore()
	store.Directory = dir
	go admin.NewServer(h.server, store, h.server.log).Serve(h.loop.ctx, listener)
	return listener.Addr().String()
}

// cordoned reports whether an operator's override cordons the endpoint s-1.
func (h *harness) cordoned() (cordoned bool) {
	h.t.Helper()
	h.runInLoop(func() { cordoned = h.loop.endpoints.overrides["s-1"].Cordoned })
	return cordoned
}

// rawCall sends text to an address on a new connection and returns everything that it reads until the connection ends.
func rawCall(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	io.WriteString(conn, text)
	got, err := io.ReadAll(conn)
	if timedOut(err) {
		t.Errorf("got %q and a timeout, want the end of the connection", got)
	}
	return string(got)
}

// callStatus makes one HTTP call without a body and returns the status of the response.
func callStatus(t *testing.T, method, address, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Timeout: sidecartest.WaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// An invalid admin call gets an error status. Its connection carries at most one response, even if another
// call follows.
func TestAdminRejectsInvalidCalls(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	address := h.startAdmin(t.TempDir())
	for name, c := range map[string]struct{ text, want string }{
		"health":       {"GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200"},
		"two calls":    {strings.Repeat("GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n", 2), "HTTP/1.1 200"},
		"unknown path": {"GET /admin/wealth HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 404"},
		"wrong method": {"PUT /admin/health HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405"},
		"not HTTP":     {"\x16\x03\x01\x02\r\n\r\n", "HTTP/1.1 400"},
		"endless head": {"GET /admin/health HTTP/1.1\r\nHost: a\r\nX-Pad: " + strings.Repeat("p", 100<<10),
			"HTTP/1.1 431"},
		"large body": {"GET /admin/health HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" +
			strings.Repeat("x", 100<<10), "HTTP/1.1 400"},
		"truncated body": {"GET /admin/health HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", "HTTP/1.1 400"},
		"truncated head": {"GET /admin/health HTTP/1.1\r\nHost", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := rawCall(t, address, c.text)
			if !strings.HasPrefix(got, c.want) && got != "" ||
				strings.Count(got, "HTTP/1.1") > 1 { // a reset may discard the response, so that nothing was read
				t.Errorf("got %q, want %s", got, c.want)
			}
			if c.want == "HTTP/1.1 200" && got == "" {
				t.Error("a valid call: got no response, want 200")
			}
		})
	}
}

// Callers that connect and send nothing must not delay other calls: beyond the connection limit, the connection that
// has been silent longest is closed.
func TestAdminAnswersDespiteSilentCallers(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	address := h.startAdmin(t.TempDir())
	for range 3 * admin.MaxConnections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
	began := time.Now()
	if got := callStatus(t, http.MethodGet, address, "/admin/health"); got != http.StatusOK {
		t.Errorf("health: got %d, want 200", got)
	}
	if took := time.Since(began); took >= admin.CallTimeout {
		t.Errorf("the response took %v, want less than %v", took, admin.CallTimeout)
	}
}

// The health call gets 503 until the sidecar knows endpoints, and again once the sidecar shuts down.
func TestAdminHealthFollowsReadiness(t *testing.T) {
	e := newServingEndpoint(t)
	h := &harness{t: t, discovery: newFakeDiscovery(t)}
	h.launch(newConfig(t, h.discovery.address, nil))
	address := h.startAdmin(t.TempDir())
	health := func() int { return callStatus(t, http.MethodGet, address, "/admin/health") }
	if got := health(); got != http.StatusServiceUnavailable {
		t.Errorf("without endpoints: got %d, want 503", got)
	}
	h.discovery.change(func() {
		h.discovery.list = completeList(1, ready("s-1", e.Address))
	})
	h.await("the health call to get 200", func() bool { return health() == http.StatusOK })
	h.stop()
	h.await("the health call to get 503", func() bool { return health() == http.StatusServiceUnavailable })
}

// An admin address that is malformed or cannot be listened on is an error, which names the key admin_addr.
func TestInvalidAdminAddressFailsTheStart(t *testing.T) {
	for _, address := range []string{"9100", "127.0.0.1"} {
		if err := config.CheckAdminAddress(address); err == nil || !strings.Contains(err.Error(), "admin_addr") {
			t.Errorf("%q: got %v, want an error that names admin_addr", address, err)
		}
	}
	if _, err := admin.Listen(t.Context(), "127.0.0.1:99999"); err == nil ||
		!strings.Contains(err.Error(), "admin_addr") {
		t.Errorf("a port out of range: got %v, want an error that names admin_addr", err)
	}
}

// Once the call that cordons an endpoint is answered, the endpoint gets no request until it is uncordoned, even if
// discovery lists a restart of it, or removes it and lists it again.
func TestCordonedEndpointGetsNoRequest(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	dir := t.TempDir()
	address := h.startAdmin(dir)
	read := func() int { return h.send(h.request("read", "", time.Minute)).code }
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"POST", "/admin/cordon", 400},
		{"POST", "/admin/cordon?name=", 400},
		{"POST", "/admin/cordon?name=s-1&name=s-2", 400},
		{"POST", "/admin/cordon?name=%zz", 400},
		{"POST", "/admin/cordon?name=s-2", 404},
		{"GET", "/admin/cordon?name=s-1", 405},
		{"POST", "/admin/uncordon?name=s-2", 404},
		{"POST", "/admin/uncordon?name=s-1", 200},
	} {
		if got := callStatus(t, c.method, address, c.path); got != c.want {
			t.Errorf("%s %s: got %d, want %d", c.method, c.path, got, c.want)
		}
	}
	if got := read(); got != 200 {
		t.Fatalf("before the cordon: got %d, want 200", got)
	}
	for range 2 { // the second call changes nothing
		if got := callStatus(t, "POST", address, "/admin/cordon?name=s-1"); got != 200 {
			t.Fatalf("cordon: got %d, want 200", got)
		}
	}
	if got := read(); got != 503 {
		t.Errorf("with the only endpoint cordoned: got %d, want 503", got)
	}
	restarted := ready("s-1", e.Address)
	restarted.StartUnixMS = time.Now().UnixMilli()
	h.discovery.change(func() { h.discovery.list = completeList(1, restarted) })
	h.await("the restarted endpoint to be listed", func() bool {
		var started int64
		h.runInLoop(func() { started = h.loop.endpoints.byID[h.loop.endpoints.idByName["s-1"]].entry.StartUnixMS })
		return started == restarted.StartUnixMS
	})
	if got := read(); got != 503 {
		t.Errorf("after discovery listed its restart: got %d, want 503", got)
	}
	// Neither a list without the endpoint nor one that names it again ends the cordon.
	for version, entries := range map[uint64][]discovery.Entry{2: {}, 3: {restarted}} {
		h.discovery.change(func() { h.discovery.list = completeList(version, entries...) })
	}
	if got := callStatus(t, "POST", address, "/admin/cordon?name=s-1"); got != 200 {
		t.Errorf("cordon of an endpoint that may be removed: got %d, want 200", got)
	}
	h.discovery.change(func() { h.discovery.list = completeList(4, restarted) })
	h.await("the endpoint to be listed", func() bool {
		var listed bool
		h.runInLoop(func() { listed = h.loop.endpoints.idByName["s-1"] != 0 })
		return listed
	})
	if got := read(); got != 503 {
		t.Errorf("after it was removed and listed again: got %d, want 503", got)
	}
	if n, _ := e.Counts(); n != 1 {
		t.Errorf("the cordoned endpoint got %d requests, want 1, from before the cordon", n)
	}
	if got := callStatus(t, "POST", address, "/admin/uncordon?name=s-1"); got != 200 {
		t.Errorf("uncordon: got %d, want 200", got)
	}
	h.await("a request to be served", func() bool { return read() == 200 })
}

// An override that an operator sets in one process of the sidecar also applies in its other processes, and in one that
// starts later.
func TestOperatorStateIsSharedAndOutlivesAProcess(t *testing.T) {
	e := newServingEndpoint(t)
	dir := t.TempDir()
	first, second := start(t, nil, ready("s-1", e.Address)), start(t, nil, ready("s-1", e.Address))
	firstAdmin, secondAdmin := first.startAdmin(dir), second.startAdmin(dir)
	if got := callStatus(t, "POST", firstAdmin, "/admin/cordon?name=s-1"); got != 200 {
		t.Fatalf("got %d, want 200", got)
	}
	if !first.cordoned() {
		t.Error("the cordon of s-1 does not apply in the process that answered the call")
	}
	first.await("the override in the other process", func() bool { return second.cordoned() })
	third := &harness{t: t, discovery: first.discovery}
	third.launch(newConfig(t, first.discovery.address, nil, ready("s-1", e.Address)))
	third.startAdmin(dir)
	first.await("the override in the third process", func() bool { return third.cordoned() })
	if got := callStatus(t, "POST", secondAdmin, "/admin/uncordon?name=s-1"); got != 200 {
		t.Fatalf("got %d, want 200", got)
	}
	first.await("the end of the override in all processes", func() bool {
		return !first.cordoned() && !second.cordoned() && !third.cordoned()
	})
}

// Stored overrides apply before the first request. Otherwise a new process could send requests to a cordoned endpoint.
func TestOperatorStateIsLoadedBeforeTheStart(t *testing.T) {
	e := newServingEndpoint(t)
	dir := t.TempDir()
	h := start(t, nil, ready("s-1", e.Address))
	if got := callStatus(t, "POST", h.startAdmin(dir), "/admin/cordon?name=s-1"); got != 200 {
		t.Fatalf("got %d, want 200", got)
	}
	l, err := newLoop(t.Context(), newConfig(t, h.discovery.address, nil, ready("s-1", e.Address)), h.loop.log)
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(l)
	store := s.newOperatorStore()
	store.Directory = dir
	s.restoreOperatorState(t.Context(), store)
	if !l.endpoints.overrides["s-1"].Cordoned {
		t.Error("the stored cordon of s-1 does not apply")
	}
}

// A damaged state file is ignored, and the next call replaces it. If the file cannot be written, the call fails with
// 500 and changes nothing.
func TestDamagedAndUnwritableOperatorState(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	dir := t.TempDir()
	path := filepath.Join(dir, operatorstate.FileName)
	address := h.startAdmin(dir)
	valid := `{"version":1,"sidecar":"n0","hosts":[{"host":"s-1","out":true}]}`
	cordoned := func() bool { return h.cordoned() }
	for name, text := range map[string]string{
		"truncated":     valid[:30],
		"empty":         "",
		"not JSON":      "\x00\xff",
		"other version": strings.Replace(valid, "1", "2", 1),
		"other sidecar": strings.Replace(valid, "n0", "n1", 1),
		"no name":       strings.Replace(valid, "s-1", "", 1),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := callStatus(t, "POST", address, "/admin/uncordon?name=s-1"); got != 200 || cordoned() {
			t.Errorf("%s: got %d, cordoned %v, want 200, false", name, got, cordoned())
		}
	}
	if err := os.WriteFile(path, []byte(valid), 0o600); err != nil {
		t.Fatal(err)
	}
	h.await("the override of a valid file", cordoned)
	if err := os.WriteFile(path, []byte(valid[:30]), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if got := callStatus(t, "POST", address, "/admin/uncordon?name=s-1"); got != 500 || !cordoned() {
		t.Errorf("without the state directory: got %d, cordoned %v, want 500, true", got, cordoned())
	}
}

// A drain by operators makes clients move to other sidecars without losing a request: the sidecar reports that it is
// not ready, and ends connections. The resume call ends the drain. Repeated calls change nothing.
func TestOperatorDrainLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(release))
	h := start(t, nil, ready("s-1", e.Address))
	address := h.startAdmin(t.TempDir())
	readiness := func() int { return callStatus(t, "GET", strings.TrimPrefix(h.url, "http://"), "/health/ready") }
	sendRead := func(conn net.Conn, in *bufio.Reader) *http.Response {
		t.Helper()
		h.request("read", "", time.Minute).Write(conn)
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v, want 200", response, err)
		}
		io.Copy(io.Discard, response.Body)
		return response
	}
	used, silent := h.dial(), h.dial()
	in := bufio.NewReader(used)
	if sendRead(used, in).Close {
		t.Error("a response before the drain closes its connection")
	}
	pending := make(chan reply)
	go func() { pending <- h.send(h.request("pay", "x", time.Minute)) }()
	h.awaitRequests(e, 2)
	for range 2 {
		if got := callStatus(t, "POST", address, "/admin/quiesce"); got != 200 {
			t.Fatalf("quiesce: got %d, want 200", got)
		}
		if got := readiness(); got != 503 {
			t.Errorf("readiness while drained: got %d, want 503", got)
		}
		if got := callStatus(t, "GET", address, "/admin/health"); got != 200 {
			t.Errorf("health while drained: got %d, want 200", got)
		}
	}
	// New connections are accepted, for one request each.
	late := h.dial()
	if !sendRead(late, bufio.NewReader(late)).Close {
		t.Error("a response while drained keeps its connection open")
	}
	for name, c := range map[string]io.Reader{"used": in, "silent": silent} {
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the %s connection: got %v, want io.EOF", name, err)
		}
	}
	close(release)
	if got := <-pending; got.code != 200 || got.body != "done" {
		t.Errorf("the request in flight: got %+v, want 200", got)
	}
	for range 2 {
		if got := callStatus(t, "POST", address, "/admin/resume"); got != 200 {
			t.Fatalf("resume: got %d, want 200", got)
		}
		if got := readiness(); got != 200 {
			t.Errorf("readiness after the drain: got %d, want 200", got)
		}
	}
	resumed := h.dial()
	in = bufio.NewReader(resumed)
	for range 2 {
		if sendRead(resumed, in).Close {
			t.Error("a response after the drain closes its connection")
		}
	}
}
