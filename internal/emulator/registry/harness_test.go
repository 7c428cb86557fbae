package registry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"oakproxy/internal/emulator/emulatortest"
)

// testRegistry is a listening Server and a client with connections of its own.
type testRegistry struct {
	*Server
	t       testing.TB
	address string
	client  http.Client
}

func startRegistry(t testing.TB, options Options) *testRegistry {
	t.Helper()
	w := &testRegistry{Server: New(options), t: t}
	w.client.Transport = &http.Transport{}
	address, err := w.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.address = address.String()
	t.Cleanup(func() {
		w.client.CloseIdleConnections()
		if err := w.Close(); err != nil {
			t.Error(err)
		}
	})
	return w
}

// callResult is the outcome of a call.
type callResult struct {
	status int
	list   responseBody
	err    error
}

func (w *testRegistry) call(query string) callResult {
	response, err := w.client.Get("http://" + w.address + listPath + query)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	got := callResult{status: response.StatusCode}
	if got.status == http.StatusOK {
		got.err = json.NewDecoder(response.Body).Decode(&got.list)
	}
	return got
}

// startWatch makes a call in the background and returns once it is pending.
func (w *testRegistry) startWatch(query string) <-chan callResult {
	result := make(chan callResult, 1)
	go func() { result <- w.call(query) }()
	emulatortest.Await(w.t, "a pending watch", func() bool { return w.pendingWatches() == 1 })
	return result
}

func (w *testRegistry) pendingWatches() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.watches)
}

func (w *testRegistry) expect(got callResult, version uint64, complete bool, hosts ...string) {
	w.t.Helper()
	names := []string{}
	for _, instance := range got.list.Hosts {
		names = append(names, instance.Host+"="+instance.Health)
	}
	if got.err != nil || got.status != http.StatusOK || got.list.Version != version || got.list.Complete != complete ||
		strings.Join(names, " ") != strings.Join(hosts, " ") {
		w.t.Errorf("got %+v, want version %d, complete %v, hosts %v", got, version, complete, hosts)
	}
}

func (w *testRegistry) expectUnavailable(query string) {
	w.t.Helper()
	if got := w.call(query); got.status != http.StatusServiceUnavailable {
		w.t.Errorf("%s: got %+v", query, got)
	}
}

func instance(name, health string) Instance {
	return Instance{Host: name, Address: "127.0.0.1:1", Zone: "a", MachineKind: "m", Health: health, Weight: 1}
}
