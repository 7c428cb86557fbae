package sidecartest

import (
	"bufio"
	"io"
	"net"
	"strings"
)

// Responses of endpoints, as they are sent on the wire.
const (
	// ServedResponse is a response with the body "done".
	ServedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

	// FailedResponse is a response to a request that failed; the endpoint may have executed it.
	FailedResponse = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"

	// RejectedResponse is a response to a request that the endpoint rejected without executing it.
	RejectedResponse = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// AlwaysRespond returns a Handler that writes the same response to every request.
func AlwaysRespond(response string) Handler {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			io.WriteString(conn, response)
		}
	}
}

// RespondFirstThen returns a Handler that responds to the endpoint's first request, counted over all connections, with
// the parameter first, and to all other requests with the parameter others.
func RespondFirstThen(first, others string) Handler {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			response := others
			if requests, _ := e.Counts(); requests == 1 {
				response = first
			}
			io.WriteString(conn, response)
		}
	}
}

// BlockAll returns a Handler that serves each request only after the Handler has received from the channel release.
func BlockAll(release <-chan struct{}) Handler { return blockPaths("", release) }

// BlockPay returns a Handler that serves requests whose path begins with /pay only after the Handler has received
// from the channel release, and all other requests immediately.
func BlockPay(release <-chan struct{}) Handler { return blockPaths("/pay", release) }

// blockPaths returns a Handler that serves requests whose path begins with prefix only after the Handler has
// received from the channel release, and all other requests immediately.
func blockPaths(prefix string, release <-chan struct{}) Handler {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for r := e.ReadRequest(in); r != nil; r = e.ReadRequest(in) {
			if strings.HasPrefix(r.RequestURI, prefix) {
				<-release
			}
			io.WriteString(conn, ServedResponse)
		}
	}
}

// NeverRespond is a Handler that reads requests and never responds.
func NeverRespond(e *Endpoint, _ net.Conn, in *bufio.Reader) {
	for e.ReadRequest(in) != nil {
	}
}
