package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	largeFleetEndpoints = 1024
	largeFleetTenants   = 1024
	largeFleetPeers     = 1024
	largeFleetSidecars  = 350
	minMemoryMB         = 32  // smallest value of limits.memory_mb that the platform documents, in MB
	minSockets          = 256 // smallest value of limits.sockets that the platform documents
)

// endpointList returns the given version of the endpoint list as JSON. If complete is false, the list states that it
// contains only changed entries; it contains all endpoints in any case. The endpoints of the first half are ready and
// have the address firstAddress; those of the second half have the given health and the address secondAddress.
func endpointList(version int, complete bool, health, firstAddress, secondAddress string) []byte {
	var entries []map[string]any
	for i := range largeFleetEndpoints {
		entry := map[string]any{"host": fmt.Sprintf("s-%08x", i), "dial": firstAddress, "site": "a", "class": "m",
			"block": i / 8, "health": "Ready", "share": 1.0, "born_ms": 0}
		if i >= largeFleetEndpoints/2 {
			entry["dial"], entry["health"] = secondAddress, health
		}
		entries = append(entries, entry)
	}
	list := map[string]any{"seq": version, "whole": complete, "hosts": entries}
	text, err := json.MarshalIndent(list, "", "    ")
	if err != nil {
		panic(err)
	}
	return text
}

// countingEndpoint is an endpoint that counts the requests that sendRead sends. It does not count probes.
type countingEndpoint struct{ served atomic.Int64 }

func (c *countingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/read") {
		c.served.Add(1)
	}
	io.WriteString(w, "done")
}

// raceDetectorEnabled reports whether the test binary is built with the race detector, which uses additional memory.
func raceDetectorEnabled() bool {
	info, _ := debug.ReadBuildInfo()
	return info != nil && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

// largeFleet is a discovery service that lists largeFleetEndpoints endpoints, and two servers that stand for the
// endpoints of the two halves of the list. Once the channel drain is closed, the second half is listed as Terminating.
type largeFleet struct {
	discovery          *httptest.Server
	ready              countingEndpoint // serves the first half of the list
	draining           countingEndpoint // serves the second half of the list
	readyAddress       string           // address of ready
	drainingAddress    string           // address of draining
	drain              chan struct{}    // closed by the test to drain the second half
	callAfterDrain     chan struct{}    // closed on the first discovery call after the drain was listed
	callAfterDrainOnce sync.Once        // closes callAfterDrain only once
}

func newLargeFleet(t *testing.T) *largeFleet {
	t.Helper()
	f := &largeFleet{drain: make(chan struct{}), callAfterDrain: make(chan struct{})}
	ready, draining := httptest.NewServer(&f.ready), httptest.NewServer(&f.draining)
	t.Cleanup(ready.Close)
	t.Cleanup(draining.Close)
	f.readyAddress, f.drainingAddress = ready.Listener.Addr().String(), draining.Listener.Addr().String()
	f.discovery = httptest.NewServer(f)
	t.Cleanup(f.discovery.Close)
	return f
}

// ServeHTTP answers discovery calls. A caller that has version 41 of the list gets version 42. A caller that has
// version 42 waits until the channel drain is closed, and then gets version 43, in which the second half drains. Later
// calls get no answer; the first of them closes callAfterDrain.
func (f *largeFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.FormValue("after") == "41" && r.FormValue("wait_ms") == "0":
		w.Write(endpointList(42, true, "Ready", f.readyAddress, f.drainingAddress))
	case r.FormValue("after") == "42":
		select {
		case <-f.drain:
			w.Write(endpointList(43, false, "Terminating", f.readyAddress, f.drainingAddress))
		case <-r.Context().Done():
		}
	default:
		f.callAfterDrainOnce.Do(func() { close(f.callAfterDrain) })
		<-r.Context().Done()
	}
}

// config returns a configuration with the smallest limits, largeFleetPeers peers and largeFleetTenants tenants. It
// contains version 41 of the endpoint list.
func (f *largeFleet) config(t *testing.T, listen string) string {
	t.Helper()
	peers := make([]string, largeFleetPeers)
	for i := range peers {
		peers[i] = fmt.Sprintf("10.3.%d.%d:7946", i/256, i%256)
	}
	tenants := make([]map[string]any, largeFleetTenants)
	for i := range tenants {
		tenants[i] = map[string]any{
			"name": fmt.Sprintf("tenant-%d", i), "allowance-per-s": 10.0, "share": 1.0 / largeFleetTenants,
		}
	}
	class := map[string]any{"name": "read", "repeat": "pure", "target": 5000000, "give-up": 10000000, "credit": 1.0}
	settings := map[string]any{
		"areas": []string{"a"}, "skus": []string{"m"}, "discovery": "subscribe",
		"peers-total": largeFleetSidecars, "position": largeFleetSidecars - 1, "tenants": tenants,
		"contract":  map[string]any{"ask-within": 1_000_000, "drain-grace": 500_000},
		"limits":    map[string]any{"keepalive": 5000000, "dial-timeout": 250000, "most-tries": 3, "probes": true},
		"reporting": map[string]any{"how": "none"},
		"classes":   []map[string]any{class},
	}
	text, err := json.Marshal(map[string]any{
		"name": "n349", "listen": listen, "discovery": f.discovery.Listener.Addr().String(), "seed": "1f",
		"limits":      map[string]any{"cores": 1, "memory_mb": minMemoryMB, "sockets": minSockets},
		"peer_listen": peers[largeFleetSidecars-1], "peers": peers,
		"known":    json.RawMessage(endpointList(41, true, "Ready", f.readyAddress, f.drainingAddress)),
		"settings": settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// sendReads sends n requests, 16 at a time, with changing tenants and session keys. It fails the test unless each
// request is served. After every 50 requests it counts the program's open file descriptors, and it returns the largest
// count.
func sendReads(t *testing.T, p *program, listen string, n int) (descriptors int) {
	t.Helper()
	var senders sync.WaitGroup
	next := make(chan int)
	for range 16 {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for i := range next {
				if err := sendRead(listen, n, i); err != nil {
					t.Errorf("request %d of %d: %v", i, n, err)
				}
			}
		}()
	}
	for i := range n {
		next <- i
		if i%50 == 0 {
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
			if err != nil {
				t.Error(err)
			}
			descriptors = max(descriptors, len(open))
		}
	}
	close(next)
	senders.Wait()
	return descriptors
}

// sendRead sends a request of class read, number i of n. It returns an error if the request was not served.
func sendRead(listen string, n, i int) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+listen+"/read", nil)
	if err != nil {
		return err
	}
	for name, value := range map[string]string{"X-Correlation-Id": fmt.Sprintf("%d-%d", n, i), "X-Service-Class": "read",
		"X-Account": fmt.Sprintf("tenant-%d", i%largeFleetTenants), "X-Session-Key": strconv.Itoa(i),
		"X-Time-Left-Ms": "10000"} {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("got %s with %v, want 200", response.Status, response.Header)
	}
	return nil
}

// peakMemoryKB returns the peak resident memory of a program in kB.
func peakMemoryKB(t *testing.T, p *program) int {
	t.Helper()
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.Process.Pid), "status"))
	if err != nil {
		t.Fatal(err)
	}
	_, peak, _ := bytes.Cut(status, []byte("VmHWM:"))
	kb, err := strconv.Atoi(string(bytes.Fields(peak)[0]))
	if err != nil {
		t.Fatal(err)
	}
	return kb
}

// Guards against exceeding the smallest documented limits of memory and file descriptors in a large fleet. The sidecar
// must accept the full-length configuration and endpoint list of such a fleet, serve requests, and continue to serve
// when half of the endpoints drain at once.
func TestLargeFleetFitsSmallestLimits(t *testing.T) {
	fleet, listen := newLargeFleet(t), freeAddress(t)
	p := launch(t, command(t, fleet.config(t, listen)))
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(p.log.String())
		}
	})
	awaitReady(t, listen)

	descriptors := sendReads(t, p, listen, 2*largeFleetEndpoints)
	if readyServed, drainingServed := fleet.ready.served.Load(), fleet.draining.served.Load(); readyServed == 0 ||
		drainingServed == 0 {
		t.Errorf("got %d requests at the first half of the list and %d at the second, want more than 0 at both",
			readyServed, drainingServed)
	}
	close(fleet.drain)
	select { // the sidecar calls discovery again only when the balancer has version 43 of the list
	case <-fleet.callAfterDrain:
	case <-time.After(20 * time.Second):
		t.Fatal("got no discovery call in 20 s after the drain was listed, want one")
	}
	before := fleet.draining.served.Load()
	descriptors = max(descriptors, sendReads(t, p, listen, largeFleetEndpoints+1))
	if late := fleet.draining.served.Load() - before; late > 0 {
		t.Errorf("got %d requests at draining endpoints, want none", late)
	}
	if descriptors > minSockets {
		t.Errorf("got %d open descriptors, want at most %d", descriptors, minSockets)
	}
	kb := peakMemoryKB(t, p)
	if kb > minMemoryMB<<10 && !raceDetectorEnabled() {
		t.Errorf("got peak memory %d kB, want at most %d MB", kb, minMemoryMB)
	}
	t.Logf("%d descriptors, peak memory %d kB", descriptors, kb)
}
