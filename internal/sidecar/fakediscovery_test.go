package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oakproxy/internal/discovery"
)

// fakeDiscovery is a discovery service that sends a list. A test can change the list and the service's state.
type fakeDiscovery struct {
	address string

	mu        sync.Mutex
	list      discovery.List
	down      bool          // whether calls are answered with status 503
	malformed string        // response in place of the list; "" means that the list is sent
	calls     []string      // query strings of the calls received
	changed   chan struct{} // channel that is closed and replaced at each change
	openConns atomic.Int32  // number of open connections
}

// newFakeDiscovery starts a discovery service with a complete list of version 0. It runs until the test ends.
func newFakeDiscovery(t *testing.T, entries ...discovery.Entry) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{list: completeList(0, entries...), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.address = listener.Addr().String()
	server := &http.Server{Handler: d, ConnState: func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			d.openConns.Add(1)
		case http.StateClosed:
			d.openConns.Add(-1)
		}
	}}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return d
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls = append(d.calls, r.URL.RawQuery)
	after, wait, changed := r.FormValue("after"), r.FormValue("wait_ms"), d.changed
	awaitChange := after == fmt.Sprint(d.list.Version) && wait != "0" && !d.down && d.malformed == ""
	d.mu.Unlock()
	if awaitChange {
		ms, _ := strconv.Atoi(wait)
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.down:
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(d.list) // the client must ignore the list because of the status
	case d.malformed != "":
		io.WriteString(w, d.malformed)
	case after == fmt.Sprint(d.list.Version):
		json.NewEncoder(w).Encode(discovery.List{Version: d.list.Version, Entries: []discovery.Entry{}})
	default:
		json.NewEncoder(w).Encode(d.list)
	}
}

// change runs edit with the lock held, and ends the wait of the calls that wait for a change.
func (d *fakeDiscovery) change(edit func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	edit()
	close(d.changed)
	d.changed = make(chan struct{})
}

// callCount returns the number of calls received.
func (d *fakeDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}
