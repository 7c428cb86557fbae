package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// endpoint is an endpoint of the protocol page. It serves every request with 200 after its work. The path of a request
// may ask for a long answer: /CLASS/long-BYTES-MILLISECONDS is answered with so many bytes at a steady rate over that
// time.
type endpoint struct {
	name     string
	rec      *record
	work     time.Duration
	inFlight atomic.Int64
	onHead   func(r *http.Request) // called when a request's head has come; may be nil
}

// serve serves the endpoint on a listener until the process ends.
func (e *endpoint) serve(l net.Listener) {
	server := http.Server{Handler: e, IdleTimeout: 60 * time.Second}
	go server.Serve(l)
}

// listen starts the endpoint on a free loopback address and returns the address.
func (e *endpoint) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	e.serve(l)
	return l.Addr().String(), nil
}

// ServeHTTP answers a probe or a request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/stats":
		fmt.Fprintf(w, "busy_reqs=%d", e.inFlight.Load())
		return
	case "/health/live":
		return
	}
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	if e.onHead != nil {
		e.onHead(r)
	}
	first := time.Now()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		e.rec.line(e.name, "%s: the body broke after %d bytes: %v", id, n, err)
		panic(http.ErrAbortHandler)
	}
	e.rec.line(e.name, "%s: runs %s %s, body %d bytes, time left %s ms, head came %d ms before", id, r.Method,
		r.URL.Path, n, r.Header.Get("X-Time-Left-Ms"), time.Since(first).Milliseconds())
	time.Sleep(e.work)
	var size, duration int
	if _, err := fmt.Sscanf(r.URL.Path, "/status-read/long-%d-%d", &size, &duration); err == nil {
		e.longAnswer(w, id, size, time.Duration(duration)*time.Millisecond)
		return
	}
	fmt.Fprintf(w, "served by %s: %s", e.name, id)
}

// longAnswer writes a long answer at a steady rate.
func (e *endpoint) longAnswer(w http.ResponseWriter, id string, size int, duration time.Duration) {
	const pause = 20 * time.Millisecond
	w.Header().Set("Content-Length", strconv.Itoa(size))
	piece := make([]byte, size/int(duration/pause)+1)
	for i := range piece {
		piece[i] = 'a'
	}
	given := 0
	for ; given < size; time.Sleep(pause) {
		n, err := w.Write(piece[:min(len(piece), size-given)])
		if given += n; err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err != nil {
			e.rec.line(e.name, "%s: the sidecar ended the answer at %d of %d bytes: %v", id, given, size, err)
			panic(http.ErrAbortHandler)
		}
	}
	e.rec.line(e.name, "%s: gave all %d bytes of the answer", id, given)
}
