package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"oakproxy/internal/discovery"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fakeDiscovery is a discovery service with one list.
type fakeDiscovery struct {
	address string

	mu        sync.Mutex
	list      discovery.List
	down      bool
	malformed string // sent in place of the list, if set
	calls     []string
	changed   chan struct{} // closed and replaced with every change
	conns     atomic.Int32  // open connections
}

func newFakeDiscovery(t *testing.T, hosts ...discovery.Entry) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{list: discovery.List{Complete: true, Entries: hosts}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.address = listener.Addr().String()
	server := &http.Server{Handler: d, ConnState: func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			d.conns.Add(1)
		case http.StateClosed:
			d.conns.Add(-1)
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
	waits := after == fmt.Sprint(d.list.Version) && wait != "0" && !d.down && d.malformed == ""
	d.mu.Unlock()
	if waits {
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
		json.NewEncoder(w).Encode(d.list) // which must not be believed
	case d.malformed != "":
		io.WriteString(w, d.malformed)
	case after == fmt.Sprint(d.list.Version):
		json.NewEncoder(w).Encode(discovery.List{Version: d.list.Version, Entries: []discovery.Entry{}})
	default:
		json.NewEncoder(w).Encode(d.list)
	}
}

// change alters the service and wakes the calls that wait.
func (d *fakeDiscovery) change(alter func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	alter()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}
