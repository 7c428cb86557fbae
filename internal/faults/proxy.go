// Package faults injects faults into a running sidecar, for tests. It provides a fault proxy in front of endpoints,
// faults of the disk and the wall clock, pauses of a process, and a limit on a process's file descriptors.
//
// Faults are deterministic: the test chooses each one. The package does not check how the sidecar reacts to them.
package faults

import (
	"fmt"
	"io"
	"net"
	"time"
)

// ConnFault describes the fault of one connection through a Proxy. The zero ConnFault means no fault.
type ConnFault struct {
	Delay         time.Duration // delay before the proxy dials the endpoint and forwards anything
	Blackhole     bool          // the proxy reads what the client sends, but does not forward it
	ResetOnAccept bool          // the proxy resets the connection as soon as it has accepted it
	TruncateAfter int           // response bytes after which the connection is reset; 0: no limit
	CleanEnd      bool          // a truncated connection ends with a FIN instead of a reset
	ChunkBytes    int           // maximum bytes of a response per write to the client; 0: 32 KiB
}

// Proxy is a TCP proxy on the loopback interface in front of one address. NewProxy starts it and Close stops it.
type Proxy struct {
	upstream    string                         // address of the endpoint
	chooseFault func(connection int) ConnFault // returns the fault of a connection, given the connection's number, from 0
	listener    net.Listener
}

// NewProxy starts a proxy in front of the address upstream. chooseFault returns the fault of a connection, given the
// connection's number, which counts from 0. chooseFault is not called concurrently.
func NewProxy(upstream string, chooseFault func(connection int) ConnFault) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a fault proxy in front of %s: %w", upstream, err)
	}
	p := &Proxy{upstream: upstream, chooseFault: chooseFault, listener: listener}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the listener. Open connections continue until one of their sides closes them.
func (p *Proxy) Close() error { return p.listener.Close() }

// accept serves each connection in its own goroutine, until the listener is closed.
func (p *Proxy) accept() {
	for number := 0; ; number++ {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn), p.chooseFault(number))
	}
}

// serve forwards one connection and applies its fault. An error of either side ends the connection, as on a real
// network.
func (p *Proxy) serve(client *net.TCPConn, fault ConnFault) {
	defer client.Close()
	if fault.ResetOnAccept {
		resetOnClose(client)
		return
	}
	if fault.Blackhole {
		_, _ = io.Copy(io.Discard, client) // returns when the client closes or resets the connection
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
		_, _ = io.Copy(endpoint, client) // on an error the endpoint has received only a part of the bytes
		_ = endpoint.CloseWrite()        // fails if the endpoint closed the connection first
	}()
	fault.relayResponses(client, endpoint)
}

// resetOnClose makes the Close of conn send a reset.
func resetOnClose(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only if conn is already closed
}

// relayResponses forwards the endpoint's bytes to the client until either side ends the connection. If f.TruncateAfter
// is not 0, it stops after that many bytes and, unless f.CleanEnd is set, makes the later close of client a reset.
func (f ConnFault) relayResponses(client, endpoint *net.TCPConn) {
	forwarded, buffer := 0, make([]byte, 32<<10)
	if f.ChunkBytes > 0 {
		buffer = buffer[:f.ChunkBytes]
	}
	for {
		n, readErr := endpoint.Read(buffer)
		if f.TruncateAfter > 0 && forwarded+n >= f.TruncateAfter {
			_, _ = client.Write(buffer[:f.TruncateAfter-forwarded]) // an error does not matter: the connection ends anyway
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
