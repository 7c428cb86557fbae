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
	largeEndpoints = 1024
	largeTenants   = 1024
	largePeers     = 1024
	largeSidecars  = 350
	minMemoryMB    = 32 // the smallest limits that the platform documents
	minSockets     = 256
)

// endpointList returns an endpoint list whose second half is in the given state.
func endpointList(seq int, whole bool, health, first, second string) []byte {
	var hosts []map[string]any
	for i := range largeEndpoints {
		h := map[string]any{"host": fmt.Sprintf("s-%08x", i), "dial": first, "site": "a", "class": "m",
			"block": i / 8, "health": "Ready", "share": 1.0, "born_ms": 0}
		if i >= largeEndpoints/2 {
			h["dial"], h["health"] = second, health
		}
		hosts = append(hosts, h)
	}
	text, err := json.MarshalIndent(map[string]any{"seq": seq, "whole": whole, "hosts": hosts}, "", "    ")
	if err != nil {
		panic(err)
	}
	return text
}

// countingEndpoint is an endpoint that counts what it serves.
type countingEndpoint struct{ served atomic.Int64 }

func (c *countingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/read") {
		c.served.Add(1)
	}
	io.WriteString(w, "done")
}

// raceDetectorEnabled reports whether the race detector is built in, which takes memory of its own.
func raceDetectorEnabled() bool {
	info, _ := debug.ReadBuildInfo()
	return info != nil && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}

// A large fleet fits the smallest limits: a configuration and a list at full length are accepted, requests are served,
// and half of the list can drain at once.
func TestLargeFleetFitsSmallestLimits(t *testing.T) {
	var ready, drains countingEndpoint
	a, b := httptest.NewServer(&ready), httptest.NewServer(&drains)
	defer a.Close()
	defer b.Close()
	first, second := a.Listener.Addr().String(), b.Listener.Addr().String()

	changed, watched := make(chan struct{}), make(chan struct{})
	var once sync.Once
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.FormValue("after") == "41" && r.FormValue("wait_ms") == "0":
			w.Write(endpointList(42, true, "Ready", first, second))
		case r.FormValue("after") == "42":
			select {
			case <-changed:
				w.Write(endpointList(43, false, "Terminating", first, second))
			case <-r.Context().Done():
			}
		default:
			once.Do(func() { close(watched) })
			<-r.Context().Done()
		}
	}))
	defer discovery.Close()

	peers := make([]string, largePeers)
	for i := range peers {
		peers[i] = fmt.Sprintf("10.3.%d.%d:7946", i/256, i%256)
	}
	tenants := make([]map[string]any, largeTenants)
	for i := range tenants {
		tenants[i] = map[string]any{"name": fmt.Sprintf("tenant-%d", i), "allowance-per-s": 10.0, "share": 1.0 / largeTenants}
	}
	listen := freeAddress(t)
	text, err := json.Marshal(map[string]any{"name": "n349", "listen": listen, "discovery": discovery.Listener.Addr().String(),
		"seed": "1f", "limits": map[string]any{"cores": 1, "memory_mb": minMemoryMB, "sockets": minSockets},
		"peer_listen": peers[largeSidecars-1], "peers": peers, "known": json.RawMessage(endpointList(41, true, "Ready", first, second)),
		"settings": map[string]any{"areas": []string{"a"}, "skus": []string{"m"}, "discovery": "subscribe",
			"peers-total": largeSidecars, "position": largeSidecars - 1, "tenants": tenants,
			"contract":  map[string]any{"ask-within": 1_000_000, "drain-grace": 500_000},
			"limits":    map[string]any{"keepalive": 5000000, "dial-timeout": 250000, "most-tries": 3, "probes": true},
			"reporting": map[string]any{"how": "none"},
			"classes":   []map[string]any{{"name": "read", "repeat": "pure", "target": 5000000, "give-up": 10000000, "credit": 1.0}}}})
	if err != nil {
		t.Fatal(err)
	}
	cmd := command(t, string(text))
	var log logBuffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
		if t.Failed() {
			t.Log(log.text.String())
		}
	}()
	waitFor(t, "the program to be ready", func() bool { return statusOf("http://"+listen+"/health/ready") == http.StatusOK })

	descriptors := 0
	send := func(n int) {
		t.Helper()
		var senders sync.WaitGroup
		next := make(chan int)
		for range 16 {
			senders.Add(1)
			go func() {
				defer senders.Done()
				for i := range next {
					r, err := http.NewRequest(http.MethodGet, "http://"+listen+"/read", nil)
					if err != nil {
						t.Error(err)
						continue
					}
					for name, value := range map[string]string{"X-Correlation-Id": fmt.Sprintf("%d-%d", n, i), "X-Service-Class": "read",
						"X-Account": fmt.Sprintf("tenant-%d", i%largeTenants), "X-Session-Key": strconv.Itoa(i), "X-Time-Left-Ms": "10000"} {
						r.Header.Set(name, value)
					}
					response, err := http.DefaultClient.Do(r)
					if err != nil {
						t.Errorf("request %d: %v", i, err)
						continue
					}
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
					if response.StatusCode != http.StatusOK {
						t.Errorf("request %d of %d: %s %v", i, n, response.Status, response.Header)
					}
				}
			}()
		}
		for i := range n {
			next <- i
			if i%50 == 0 {
				open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
				if err != nil {
					t.Error(err)
				}
				descriptors = max(descriptors, len(open))
			}
		}
		close(next)
		senders.Wait()
	}
	send(2 * largeEndpoints)
	if ready.served.Load() == 0 || drains.served.Load() == 0 {
		t.Errorf("%d requests went to one half of the list, %d to the other", ready.served.Load(), drains.served.Load())
	}
	close(changed)
	select { // the next call comes once the list before it was handed on
	case <-watched:
	case <-time.After(20 * time.Second):
		t.Fatal("no call after the change")
	}
	before := drains.served.Load()
	send(largeEndpoints + 1)
	if late := drains.served.Load() - before; late > 0 {
		t.Errorf("%d requests went to draining endpoints", late)
	}
	if descriptors > minSockets {
		t.Errorf("%d descriptors open, the limit is %d", descriptors, minSockets)
	}
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(cmd.Process.Pid), "status"))
	if err != nil {
		t.Fatal(err)
	}
	_, peak, _ := bytes.Cut(status, []byte("VmHWM:"))
	kb, err := strconv.Atoi(string(bytes.Fields(peak)[0]))
	if err != nil || kb > minMemoryMB<<10 && !raceDetectorEnabled() {
		t.Errorf("peak memory %d kB (%v), the limit is %d MB", kb, err, minMemoryMB)
	}
	t.Logf("%d descriptors, peak memory %d kB", descriptors, kb)
}
