package sidecartest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Endpoint is an endpoint whose responses a test writes byte by byte.
type Endpoint struct {
	Address string // host:port at which it listens

	mu          sync.Mutex
	connections int
	requests    []*http.Request // read by Next
}

// Handler serves one connection to an Endpoint, which is closed when it returns. It reads requests by e.Next(in).
type Handler = func(e *Endpoint, conn net.Conn, in *bufio.Reader)

// NewEndpoint starts an endpoint that runs handle for each connection, until the test ends.
func NewEndpoint(t *testing.T, handle Handler) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &Endpoint{Address: listener.Addr().String()}
	go e.accept(listener, handle)
	return e
}

// accept serves connections until the listener is closed.
func (e *Endpoint) accept(listener net.Listener, handle Handler) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connections++
		e.mu.Unlock()
		go func() {
			defer conn.Close()
			handle(e, conn, bufio.NewReader(conn))
		}()
	}
}

// ReadRequest reads a request with its body, and counts it. It returns nil if the connection ends before the request does.
func (e *Endpoint) ReadRequest(in *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	e.mu.Lock()
	e.requests = append(e.requests, r)
	e.mu.Unlock()
	return r
}

// Counts returns the number of requests read, and of connections accepted.
func (e *Endpoint) Counts() (requests, connections int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests), e.connections
}

// Request returns the request that was read as number i, from 0.
func (e *Endpoint) Request(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[i]
}
