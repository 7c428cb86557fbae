package sidecartest

import (
	"bufio"
	"io"
	"net"
	"strings"
)

// Always answers every request with the same bytes.
func Always(answer string) func(*Endpoint, net.Conn, *bufio.Reader) {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			io.WriteString(conn, answer)
		}
	}
}

const (
	Served     = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	Failing    = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	TurnedAway = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// PayWaits serves every request, those of class pay only once answer yields.
func PayWaits(answer <-chan struct{}) func(*Endpoint, net.Conn, *bufio.Reader) {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for r := e.Next(in); r != nil; r = e.Next(in) {
			if strings.HasPrefix(r.RequestURI, "/pay") {
				<-answer
			}
			io.WriteString(conn, Served)
		}
	}
}

// Silent takes requests and never answers.
func Silent(e *Endpoint, conn net.Conn, in *bufio.Reader) {
	for e.Next(in) != nil {
	}
}

// FirstThen answers the first request in one way and all others in another, over
// all connections.
func FirstThen(first, rest string) func(*Endpoint, net.Conn, *bufio.Reader) {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			if n, _ := e.Seen(); n == 1 {
				io.WriteString(conn, first)
			} else {
				io.WriteString(conn, rest)
			}
		}
	}
}
