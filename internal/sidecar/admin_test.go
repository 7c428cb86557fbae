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

// startAdmin serves admin calls for a running sidecar, with its operators' state in dir. It returns the address.
func (w *harness) startAdmin(dir string) string {
	w.t.Helper()
	listener, err := admin.Listen(w.t.Context(), "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { listener.Close() })
	store := w.server.newOperatorStore()
	store.Directory = dir
	go admin.NewServer(w.server, store, w.server.log).Serve(w.loop.ctx, listener)
	return listener.Addr().String()
}

// rawCall sends bytes to the admin address and returns all that comes until the end of the connection.
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
		t.Errorf("the connection stays open; so far: %q", got)
	}
	return string(got)
}

// callStatus makes one call and returns its status.
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

// An invalid call is rejected with the reason, and its connection carries one response.
func TestAdminRejectsInvalidCalls(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	address := w.startAdmin(t.TempDir())
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
			got := rawCall(t, address, c.text)
			if !strings.HasPrefix(got, c.want) && got != "" ||
				strings.Count(got, "HTTP/1.1") > 1 { // a reset may discard the response
				t.Errorf("got %q, want %s", got, c.want)
			}
			if c.want == "HTTP/1.1 200" && got == "" {
				t.Error("a good call got nothing")
			}
		})
	}
}

// Callers that hold connections and stay silent delay no other call: the longest silent connection is closed.
func TestAdminAnswersDespiteSilentCallers(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	address := w.startAdmin(t.TempDir())
	for range 3 * admin.MaxConnections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	began := time.Now()
	if got := callStatus(t, http.MethodGet, address, "/admin/health"); got != http.StatusOK {
		t.Errorf("health: %d", got)
	}
	if took := time.Since(began); took >= admin.CallTimeout {
		t.Errorf("the answer took %v, as long as silent callers may stay", took)
	}
}

// Health fails before the sidecar knows endpoints, and once it shuts down.
func TestAdminHealthFollowsReadiness(t *testing.T) {
	e := newServingEndpoint(t)
	w := &harness{t: t, discovery: newFakeDiscovery(t)}
	w.launch(configure(t, w.discovery.address, nil))
	address := w.startAdmin(t.TempDir())
	health := func() int { return callStatus(t, http.MethodGet, address, "/admin/health") }
	if got := health(); got != http.StatusServiceUnavailable {
		t.Errorf("without endpoints: %d", got)
	}
	w.discovery.change(func() {
		w.discovery.list = discovery.List{Version: 1, Complete: true, Entries: []discovery.Entry{ready("s-1", e.Address)}}
	})
	w.await("health", func() bool { return health() == http.StatusOK })
	w.stop()
	w.await("the end of health", func() bool { return health() == http.StatusServiceUnavailable })
}

func TestInvalidAdminAddressFailsTheStart(t *testing.T) {
	for _, address := range []string{"9100", "127.0.0.1"} {
		if err := config.CheckAdminAddress(address); err == nil || !strings.Contains(err.Error(), "admin_addr") {
			t.Errorf("%q: %v, want an error that names admin_addr", address, err)
		}
	}
	if _, err := admin.Listen(t.Context(), "127.0.0.1:99999"); err == nil ||
		!strings.Contains(err.Error(), "admin_addr") {
		t.Errorf("a port that there is not: %v", err)
	}
}

// A cordoned endpoint gets no request from the call's response on, whatever discovery says of it, and is used again
// once uncordoned.
func TestCordonByAdminCalls(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	dir := t.TempDir()
	address := w.startAdmin(dir)
	read := func() int { return w.send(w.request("read", "", time.Minute)).code }
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"POST", "/admin/cordon", 400}, {"POST", "/admin/cordon?name=", 400}, {"POST", "/admin/cordon?name=s-1&name=s-2", 400},
		{"POST", "/admin/cordon?name=%zz", 400}, {"POST", "/admin/cordon?name=s-2", 404}, {"GET", "/admin/cordon?name=s-1", 405},
		{"POST", "/admin/uncordon?name=s-2", 404}, {"POST", "/admin/uncordon?name=s-1", 200},
	} {
		if got := callStatus(t, c.method, address, c.path); got != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
		}
	}
	if got := read(); got != 200 {
		t.Fatalf("before any call: %d", got)
	}
	for range 2 { // the second changes nothing
		if got := callStatus(t, "POST", address, "/admin/cordon?name=s-1"); got != 200 {
			t.Fatalf("the call out: %d", got)
		}
	}
	if got := read(); got != 503 {
		t.Errorf("with the only endpoint out: %d", got)
	}
	again := ready("s-1", e.Address)
	again.StartUnixMS = time.Now().UnixMilli()
	w.discovery.change(
		func() {
			w.discovery.list = discovery.List{Version: 1, Complete: true, Entries: []discovery.Entry{again}}
		},
	)
	w.await("the change", func() bool {
		var born int64
		w.runInLoop(func() { born = w.loop.endpoints.byID[w.loop.endpoints.ids["s-1"]].entry.StartUnixMS })
		return born == again.StartUnixMS
	})
	if got := read(); got != 503 {
		t.Errorf("after discovery listed its restart: %d", got)
	}
	// Neither a list without it nor one that has it again is a call back.
	for seq, hosts := range map[uint64][]discovery.Entry{2: {}, 3: {again}} {
		w.discovery.change(func() { w.discovery.list = discovery.List{Version: seq, Complete: true, Entries: hosts} })
	}
	if got := callStatus(t, "POST", address, "/admin/cordon?name=s-1"); got != 200 {
		t.Errorf("a call for one that is out and may be gone: %d", got)
	}
	w.discovery.change(
		func() {
			w.discovery.list = discovery.List{Version: 4, Complete: true, Entries: []discovery.Entry{again}}
		},
	)
	w.await("the endpoint to be listed", func() bool {
		var listed bool
		w.runInLoop(func() { listed = w.loop.endpoints.ids["s-1"] != 0 })
		return listed
	})
	if got := read(); got != 503 {
		t.Errorf("after it was gone and came back: %d", got)
	}
	if n, _ := e.Seen(); n != 1 {
		t.Errorf("the endpoint that is out got %d requests, want the first alone", n)
	}
	if got := callStatus(t, "POST", address, "/admin/uncordon?name=s-1"); got != 200 {
		t.Errorf("the call back: %d", got)
	}
	w.await("a request to be served", func() bool { return read() == 200 })
}

// An override set in one process applies in the other, and in one that starts later.
func TestOperatorStateIsSharedAndOutlivesAProcess(t *testing.T) {
	e := newServingEndpoint(t)
	dir := t.TempDir()
	first, second := start(t, nil, ready("s-1", e.Address)), start(t, nil, ready("s-1", e.Address))
	one, two := first.startAdmin(dir), second.startAdmin(dir)
	out := func(w *harness) (out bool) {
		w.runInLoop(func() { out = w.loop.endpoints.overrides["s-1"].Cordoned })
		return out
	}
	if got := callStatus(t, "POST", one, "/admin/cordon?name=s-1"); got != 200 {
		t.Fatal(got)
	}
	if !out(first) {
		t.Error("it does not hold where the call was answered")
	}
	first.await("the other process to follow", func() bool { return out(second) })
	third := &harness{t: t, discovery: first.discovery}
	third.launch(configure(t, first.discovery.address, nil, ready("s-1", e.Address)))
	third.startAdmin(dir)
	first.await("the third process to follow", func() bool { return out(third) })
	if got := callStatus(t, "POST", two, "/admin/uncordon?name=s-1"); got != 200 {
		t.Fatal(got)
	}
	first.await("the call back to hold everywhere", func() bool { return !out(first) && !out(second) && !out(third) })
}

// Stored overrides apply before the first request.
func TestOperatorStateIsLoadedBeforeTheStart(t *testing.T) {
	e := newServingEndpoint(t)
	dir := t.TempDir()
	w := start(t, nil, ready("s-1", e.Address))
	if got := callStatus(t, "POST", w.startAdmin(dir), "/admin/cordon?name=s-1"); got != 200 {
		t.Fatal(got)
	}
	l, err := newLoop(t.Context(), configure(t, w.discovery.address, nil, ready("s-1", e.Address)), w.loop.log)
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(l)
	store := s.newOperatorStore()
	store.Directory = dir
	s.restoreOperatorState(t.Context(), store)
	if !l.endpoints.overrides["s-1"].Cordoned {
		t.Error("the stored state does not hold")
	}
}

// A damaged state file is ignored, and the next call replaces it. If it can't be written, the call fails and changes
// nothing.
func TestDamagedAndUnwritableOperatorState(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	dir := t.TempDir()
	path := filepath.Join(dir, operatorstate.FileName)
	address := w.startAdmin(dir)
	good := `{"version":1,"sidecar":"n0","hosts":[{"host":"s-1","out":true}]}`
	out := func() (out bool) {
		w.runInLoop(func() { out = w.loop.endpoints.overrides["s-1"].Cordoned })
		return out
	}
	for name, text := range map[string]string{
		"cut short": good[:30], "empty": "", "noise": "\x00\xff", "another version": strings.Replace(good, "1", "2", 1),
		"another sidecar": strings.Replace(good, "n0", "n1", 1), "no name": strings.Replace(good, "s-1", "", 1),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := callStatus(t, "POST", address, "/admin/uncordon?name=s-1"); got != 200 || out() {
			t.Errorf("%s: answer %d, out %v", name, got, out())
		}
	}
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	w.await("a good file to hold", out)
	if err := os.WriteFile(path, []byte(good[:30]), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if got := callStatus(t, "POST", address, "/admin/uncordon?name=s-1"); got != 500 || !out() {
		t.Errorf("without its folder: answer %d, out %v", got, out())
	}
}

// A drain by operators sends clients away without losing a request, and resuming undoes all of it. Repeated calls
// change nothing.
func TestOperatorDrain(t *testing.T) {
	answer := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(answer))
	w := start(t, nil, ready("s-1", e.Address))
	address := w.startAdmin(t.TempDir())
	front := func() int { return callStatus(t, "GET", strings.TrimPrefix(w.url, "http://"), "/health/ready") }
	ask := func(conn net.Conn, in *bufio.Reader) *http.Response {
		t.Helper()
		w.request("read", "", time.Minute).Write(conn)
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("a request: %v, %v", response, err)
		}
		io.Copy(io.Discard, response.Body)
		return response
	}
	used, silent := w.dial(), w.dial()
	in := bufio.NewReader(used)
	if ask(used, in).Close {
		t.Error("before the drain an answer ends its connection")
	}
	pending := make(chan reply)
	go func() { pending <- w.send(w.request("pay", "x", time.Minute)) }()
	w.await("the request in flight", func() bool { n, _ := e.Seen(); return n == 2 })
	for range 2 {
		if got := callStatus(t, "POST", address, "/admin/quiesce"); got != 200 {
			t.Fatalf("quiesce: %d", got)
		}
		if got := front(); got != 503 {
			t.Errorf("readiness in the drain: %d", got)
		}
		if got := callStatus(t, "GET", address, "/admin/health"); got != 200 {
			t.Errorf("health in the drain: %d", got)
		}
	}
	// New connections still come, with one request each.
	late := w.dial()
	if !ask(late, bufio.NewReader(late)).Close {
		t.Error("an answer in the drain keeps its connection")
	}
	for name, c := range map[string]io.Reader{"used": in, "silent": silent} {
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the %s connection: %v, want its end", name, err)
		}
	}
	close(answer)
	if got := <-pending; got.code != 200 || got.body != "done" {
		t.Errorf("the request in flight: %+v", got)
	}
	for range 2 {
		if got := callStatus(t, "POST", address, "/admin/resume"); got != 200 {
			t.Fatalf("resume: %d", got)
		}
		if got := front(); got != 200 {
			t.Errorf("readiness after the drain: %d", got)
		}
	}
	again := w.dial()
	in = bufio.NewReader(again)
	for range 2 {
		if ask(again, in).Close {
			t.Error("after the drain an answer ends its connection")
		}
	}
}
