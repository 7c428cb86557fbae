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

// Endpoint is a TCP server whose answers a test writes byte by byte.
type Endpoint struct {
	Address string

	mu       sync.Mutex
	conns    int
	requests []*http.Request // read by next
}

func NewEndpoint(t *testing.T, serve func(e *Endpoint, conn net.Conn, in *bufio.Reader)) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &Endpoint{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			go func() {
				defer conn.Close()
				serve(e, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return e
}

// Next reads a whole request, or returns nil when the connection has ended.
func (e *Endpoint) Next(in *bufio.Reader) *http.Request {
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

// Seen counts the requests read and the connections accepted.
func (e *Endpoint) Seen() (requests, conns int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests), e.conns
}

// Request returns one of the requests read.
func (e *Endpoint) Request(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[i]
}
