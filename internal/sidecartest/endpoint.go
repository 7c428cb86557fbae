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
	Address string // host:port of the endpoint's listener

	mu          sync.Mutex
	connections int             // number of accepted connections
	requests    []*http.Request // complete requests, in the order in which ReadRequest read them
}

// Handler serves one connection to an Endpoint. It reads requests with e.ReadRequest(in). The connection is closed when
// the handler returns.
type Handler = func(e *Endpoint, conn net.Conn, in *bufio.Reader)

// NewEndpoint starts an endpoint that runs handle for each connection. It accepts connections until the test ends.
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

// ReadRequest reads a request with its body, counts it and returns it. It returns nil if the connection ends before the
// request is complete.
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

// Counts returns the number of requests that ReadRequest has read, and the number of accepted connections.
func (e *Endpoint) Counts() (requests, connections int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests), e.connections
}

// Request returns the i-th request that ReadRequest has read, counted from 0 over all connections.
func (e *Endpoint) Request(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[i]
}
