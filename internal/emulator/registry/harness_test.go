package registry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"oakproxy/internal/emulator/emulatortest"
)

// testRegistry is a listening Server together with a client that has its own connections to it.
type testRegistry struct {
	*Server
	t       testing.TB
	address string
	client  http.Client
}

func startRegistry(t testing.TB, options Options) *testRegistry {
	t.Helper()
	r := &testRegistry{Server: New(options), t: t}
	r.client.Transport = &http.Transport{}
	address, err := r.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = address.String()
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return r
}

// callResult is the response to a call, or the error that the client got.
type callResult struct {
	status int
	list   responseBody
	err    error
}

func (r *testRegistry) call(query string) callResult {
	response, err := r.client.Get("http://" + r.address + listPath + query)
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

// startWatch makes a watch call in the background and returns when it is the only pending watch.
func (r *testRegistry) startWatch(query string) <-chan callResult {
	result := make(chan callResult, 1)
	go func() { result <- r.call(query) }()
	emulatortest.Await(r.t, "a pending watch", func() bool { return r.pendingWatches() == 1 })
	return result
}

func (r *testRegistry) pendingWatches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.watches)
}

// expect checks that a call got a list with this version and completeness, whose entries are hosts, each in the form
// name=health.
func (r *testRegistry) expect(got callResult, version uint64, complete bool, hosts ...string) {
	r.t.Helper()
	names := []string{}
	for _, instance := range got.list.Hosts {
		names = append(names, instance.Host+"="+instance.Health)
	}
	if got.err != nil || got.status != http.StatusOK || got.list.Version != version || got.list.Complete != complete ||
		strings.Join(names, " ") != strings.Join(hosts, " ") {
		r.t.Errorf("got %+v, want version %d, complete %v, hosts %v", got, version, complete, hosts)
	}
}

func (r *testRegistry) expectUnavailable(query string) {
	r.t.Helper()
	if got := r.call(query); got.status != http.StatusServiceUnavailable {
		r.t.Errorf("%s: got %+v, want status %d", query, got, http.StatusServiceUnavailable)
	}
}

func instance(name, health string) Instance {
	return Instance{Host: name, Address: "127.0.0.1:1", Zone: "a", MachineKind: "m", Health: health, Weight: 1}
}
