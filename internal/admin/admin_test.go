package admin

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/operatorstate"
	"oakproxy/internal/sidecartest"
	"oakproxy/internal/system"
)

// fakeSidecar is a Sidecar that knows only the endpoint s-1.
type fakeSidecar struct{ ready bool }

func (f fakeSidecar) Ready() bool                    { return f.ready }
func (f fakeSidecar) KnowsEndpoint(name string) bool { return name == "s-1" }

// startServer runs a Server with a new store until the test ends. It returns the server's URL and a channel of the
// states that the store applies.
func startServer(t *testing.T, sidecar Sidecar, files system.FileOps) (url string, applied <-chan operatorstate.State) {
	t.Helper()
	states := make(chan operatorstate.State, 16)
	log := slog.New(slog.DiscardHandler)
	store := &operatorstate.Store{
		Directory: t.TempDir(),
		Sidecar:   "n0",
		Log:       log,
		Files:     files,
		Time:      system.Clock{}.WithDefaults(),
		Retention: func() time.Duration { return time.Minute },
		Apply:     func(state operatorstate.State) { states <- state },
	}
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveErr := make(chan error, 1)
	s := NewServer(sidecar, store, log)
	go func() { serveErr <- s.Serve(t.Context(), listener) }()
	t.Cleanup(func() { // t.Context() is cancelled before this runs
		if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the server ended with %v, want %v", err, http.ErrServerClosed)
		}
	})
	return "http://" + listener.Addr().String(), states
}

// makeCall makes one call and returns the status code and body of its response.
func makeCall(t *testing.T, method, url, body string) (status int, text string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Timeout: sidecartest.WaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(responseBody)
}

func TestCallsReturnTheirStatus(t *testing.T) {
	for name, test := range map[string]struct {
		ready              bool
		method, path, body string
		status             int
		text               string
	}{
		"ready":            {true, "GET", "/admin/health", "", 200, "ok\n"},
		"not ready":        {false, "GET", "/admin/health", "", 503, "not ready\n"},
		"unknown path":     {true, "GET", "/admin/none", "", 404, "no such call\n"},
		"wrong method":     {true, "GET", "/admin/quiesce", "", 405, "this call is POST\n"},
		"unknown endpoint": {true, "POST", "/admin/cordon?name=s-2", "", 404, "no endpoint has this name\n"},
		"no endpoint":      {true, "POST", "/admin/cordon", "", 400, "name=ID must name one endpoint\n"},
		"two endpoints": {true, "POST", "/admin/uncordon?name=s-1&name=s-1", "", 400,
			"name=ID must name one endpoint\n"},
		"unreadable query": {true, "POST", "/admin/cordon?name=%zz", "", 400, "the query could not be read\n"},
		"small body":       {true, "POST", "/admin/resume", "x", 200, "ok\n"},
		"large body": {true, "POST", "/admin/resume", strings.Repeat("x", maxBodyBytes+1), 400,
			"the call's body could not be read, or is too large\n"},
	} {
		t.Run(name, func(t *testing.T) {
			url, _ := startServer(t, fakeSidecar{test.ready}, system.FileOps{})
			status, text := makeCall(t, test.method, url+test.path, test.body)
			if status != test.status || text != test.text {
				t.Errorf("got %d %q, want %d %q", status, text, test.status, test.text)
			}
		})
	}
}

func TestCallsApplyTheirState(t *testing.T) {
	url, applied := startServer(t, fakeSidecar{true}, system.FileOps{})
	for _, test := range []struct {
		path              string
		cordoned, drained bool
	}{
		{"/admin/cordon?name=s-1", true, false},
		{"/admin/quiesce", true, true},
		{"/admin/uncordon?name=s-1", false, true},
		{"/admin/resume", false, false},
	} {
		if status, text := makeCall(t, "POST", url+test.path, ""); status != http.StatusOK {
			t.Fatalf("%s: got %d %q, want 200", test.path, status, text)
		}
		sidecartest.Await(t, test.path+" to apply", func() bool { // Refresh may apply the previous state again
			var state operatorstate.State
			select {
			case state = <-applied:
			default:
				return false
			}
			cordoned := len(state.Overrides) == 1 && state.Overrides[0].Name == "s-1" && state.Overrides[0].Cordoned
			return cordoned == test.cordoned && state.Drained == test.drained
		})
	}
}

func TestCallThatCannotBeStoredFails(t *testing.T) {
	disk := &sidecartest.FaultyDisk{}
	url, applied := startServer(t, fakeSidecar{true}, disk.FileOps())
	disk.Fail(sidecartest.DiskSync, io.ErrShortWrite)
	if status, text := makeCall(t, "POST", url+"/admin/quiesce", ""); status != http.StatusInternalServerError {
		t.Errorf("got %d %q, want %d", status, text, http.StatusInternalServerError)
	}
	for len(applied) > 0 { // the state that failed to be stored must not be applied
		if state := <-applied; state.Drained {
			t.Errorf("got %+v applied, want no drain", state)
		}
	}
}
