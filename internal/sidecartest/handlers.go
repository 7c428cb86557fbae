package sidecartest

import (
	"bufio"
	"io"
	"net"
	"strings"
)

// Responses of endpoints, as bytes on the wire.
const (
	// Served is a response with the body "done".
	Served = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

	// Failing is a response to a request that failed, and may have run.
	Failing = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"

	// Rejected is a response to a request that was rejected, and has not run.
	Rejected = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// Always returns a Handler that writes the same response to every request.
func Always(response string) Handler {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			io.WriteString(conn, response)
		}
	}
}

// FirstThen returns a Handler that writes one response to the endpoint's first request, over all connections, and
// another to the others.
func FirstThen(first, others string) Handler {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			response := others
			if requests, _ := e.Seen(); requests == 1 {
				response = first
			}
			io.WriteString(conn, response)
		}
	}
}

// BlockAll returns a Handler that serves each request after a receive from release.
func BlockAll(release <-chan struct{}) Handler { return blockPaths("", release) }

// BlockPay returns a Handler that serves every request, but those whose path begins with /pay only after a receive from
// release.
func BlockPay(release <-chan struct{}) Handler { return blockPaths("/pay", release) }

// blockPaths returns a Handler that serves requests whose path has a prefix after a receive from release, and others at
// once.
func blockPaths(prefix string, release <-chan struct{}) Handler {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for r := e.Next(in); r != nil; r = e.Next(in) {
			if strings.HasPrefix(r.RequestURI, prefix) {
				<-release
			}
			io.WriteString(conn, Served)
		}
	}
}

// Silent is a Handler that reads requests and writes nothing.
func Silent(e *Endpoint, _ net.Conn, in *bufio.Reader) {
	for e.Next(in) != nil {
	}
}
