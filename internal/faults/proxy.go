// Package faults makes trouble for a running sidecar, for tests: a proxy before its endpoints, and shims of its disk
// and wall clock, its signals and its descriptors.
package faults

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what becomes of one connection through a Proxy. The zero Fault leaves it alone.
type Fault struct {
	Late        time.Duration // until bytes go to the endpoint
	Silent      bool          // what the client sends is read, and goes nowhere
	ResetAfter  int           // bytes of the answers, after which the connection is reset; 0: never
	PieceBytes  int           // answers come in writes of so many bytes; 0: as they are
	EndsAtOnce  bool          // the connection is reset as soon as it is open
	HalfAnswers bool          // the endpoint's side ends after ResetAfter bytes without a reset
}

// Proxy is a TCP proxy before one address.
type Proxy struct {
	Address string // where it listens, on loopback

	to       string
	choose   func(connection int) Fault
	listener net.Listener

	mu          sync.Mutex
	connections int
}

// NewProxy starts a proxy before an address. choose names the fault of each connection, which count from 0. Close it.
func NewProxy(to string, choose func(connection int) Fault) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), to: to, choose: choose, listener: listener}
	go p.accept()
	return p, nil
}

// Close ends the listener. Connections go on.
func (p *Proxy) Close() error { return p.listener.Close() }

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		number := p.connections
		p.connections++
		p.mu.Unlock()
		go p.carry(conn.(*net.TCPConn), p.choose(number))
	}
}

// carry passes one connection on, with its fault.
func (p *Proxy) carry(client *net.TCPConn, fault Fault) {
	defer client.Close()
	if fault.EndsAtOnce {
		client.SetLinger(0)
		return
	}
	if fault.Silent {
		io.Copy(io.Discard, client)
		return
	}
	time.Sleep(fault.Late)
	conn, err := net.Dial("tcp", p.to)
	if err != nil {
		client.SetLinger(0)
		return
	}
	endpoint := conn.(*net.TCPConn)
	defer endpoint.Close()
	go func() {
		io.Copy(endpoint, client)
		endpoint.CloseWrite()
	}()
	fault.answer(client, endpoint)
}

// answer passes the endpoint's bytes on until they end or the fault does.
func (f Fault) answer(client, endpoint *net.TCPConn) {
	passed, buffer := 0, make([]byte, 32<<10)
	if f.PieceBytes > 0 {
		buffer = buffer[:f.PieceBytes]
	}
	for {
		n, err := endpoint.Read(buffer)
		if f.ResetAfter > 0 && passed+n >= f.ResetAfter {
			client.Write(buffer[:f.ResetAfter-passed])
			if !f.HalfAnswers {
				client.SetLinger(0)
			}
			return
		}
		passed += n
		if _, failed := client.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}
