package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is the discovery service of the protocol page, for one sidecar.
type discovery struct {
	rec *record

	mu      sync.Mutex
	seq     uint64
	hosts   []host
	changed map[string]uint64 // version of each host's latest change
	news    chan struct{}     // closed at the next change
}

func newDiscovery(rec *record, hosts []host) *discovery {
	d := &discovery{rec: rec, seq: 1, hosts: hosts, changed: map[string]uint64{}, news: make(chan struct{})}
	for _, h := range hosts {
		d.changed[h.Host] = 1
	}
	return d
}

// setHealth changes the health of an endpoint.
func (d *discovery) setHealth(name, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for i := range d.hosts {
		if d.hosts[i].Host == name {
			d.hosts[i].Health = health
		}
	}
	d.changed[name] = d.seq
	d.rec.line("discovery", "version %d: %s is %s", d.seq, name, health)
	close(d.news)
	d.news = make(chan struct{})
}

// list returns the entries that changed after a version, or the whole list. The caller holds d.mu.
func (d *discovery) list(after uint64, whole bool) hostList {
	l := hostList{Seq: d.seq, Whole: whole, Hosts: []host{}}
	for _, h := range d.hosts {
		if whole || d.changed[h.Host] > after {
			l.Hosts = append(l.Hosts, h)
		}
	}
	return l
}

// ServeHTTP answers a call for the list.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	after, watchErr := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	wait := time.Duration(min(waitMS, 60000)) * time.Millisecond
	d.mu.Lock()
	if watchErr == nil && after >= d.seq && wait > 0 {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		d.mu.Lock()
	}
	l := d.list(after, watchErr != nil)
	d.mu.Unlock()
	text, _ := json.Marshal(l)
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
	d.rec.line("discovery", "told version %d (asked %q)", l.Seq, r.URL.RawQuery)
}

// serve serves discovery on a listener until the process ends.
func (d *discovery) serve(l net.Listener) { go (&http.Server{Handler: d}).Serve(l) }
