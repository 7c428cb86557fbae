// Package faults injects faults into a running sidecar, for tests: a fault proxy before its endpoints, faults of its
// disk and wall clock, pauses, and a limit on its descriptors.
//
// Faults are deterministic: the test chooses each one. The package checks nothing of what the sidecar makes of them.
package faults

import (
	"fmt"
	"io"
	"net"
	"time"
)

// ConnFault is the fault of one connection through a Proxy. The zero ConnFault is none.
type ConnFault struct {
	Delay         time.Duration // before anything is forwarded to the endpoint
	Blackhole     bool          // what the client sends is read and not forwarded
	ResetOnAccept bool          // the connection is reset as soon as it is accepted
	TruncateAfter int           // bytes of the responses, after which the connection ends by a reset; 0: never
	CleanEnd      bool          // a truncated connection ends by a FIN in place of a reset
	ChunkBytes    int           // responses are written in chunks of at most so many bytes; 0: as they come
}

// Proxy is a TCP proxy before one address, on loopback. NewProxy starts it; Close ends it.
type Proxy struct {
	upstream string
	choose   func(connection int) ConnFault
	listener net.Listener
}

// NewProxy starts a proxy before an upstream address. choose names the fault of each connection by its number, which
// counts from 0. Calls of it come one at a time.
func NewProxy(upstream string, choose func(connection int) ConnFault) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a fault proxy before %s: %w", upstream, err)
	}
	p := &Proxy{upstream: upstream, choose: choose, listener: listener}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the listener. Connections go on until one of their sides ends.
func (p *Proxy) Close() error { return p.listener.Close() }

// accept serves each connection on a goroutine of its own until the listener is closed.
func (p *Proxy) accept() {
	for number := 0; ; number++ {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn), p.choose(number))
	}
}

// serve forwards one connection with its fault. Errors of either side end the connection, as on a real network.
func (p *Proxy) serve(client *net.TCPConn, fault ConnFault) {
	defer client.Close()
	if fault.ResetOnAccept {
		resetOnClose(client)
		return
	}
	if fault.Blackhole {
		_, _ = io.Copy(io.Discard, client) // until the client ends, in whatever way
		return
	}
	time.Sleep(fault.Delay)
	conn, err := net.Dial("tcp", p.upstream)
	if err != nil {
		resetOnClose(client)
		return
	}
	endpoint := conn.(*net.TCPConn)
	defer endpoint.Close()
	go func() {
		_, _ = io.Copy(endpoint, client) // the endpoint sees how far it came
		_ = endpoint.CloseWrite()        // fails where the endpoint has ended first
	}()
	fault.relayResponses(client, endpoint)
}

// resetOnClose makes Close send a reset.
func resetOnClose(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on a connection that is closed
}

// relayResponses forwards the endpoint's bytes to the client until either side ends or the fault does.
func (f ConnFault) relayResponses(client, endpoint *net.TCPConn) {
	forwarded, buffer := 0, make([]byte, 32<<10)
	if f.ChunkBytes > 0 {
		buffer = buffer[:f.ChunkBytes]
	}
	for {
		n, readErr := endpoint.Read(buffer)
		if f.TruncateAfter > 0 && forwarded+n >= f.TruncateAfter {
			_, _ = client.Write(buffer[:f.TruncateAfter-forwarded]) // the connection ends in either case
			if !f.CleanEnd {
				resetOnClose(client)
			}
			return
		}
		forwarded += n
		if _, err := client.Write(buffer[:n]); err != nil || readErr != nil {
			return
		}
	}
}
