// Package httpconn serves HTTP/1.1 on connections that are idle most of the time.
//
// A connection holds no buffer between requests, and one goroutine both waits for
// the answer to become due and notices that the client has gone away.
package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readBufferSize = 4 << 10
	maxBodyBytes   = 64 << 10
)

// Errors of a connection that is of no more use.
var (
	// ErrPipelined is a request that began before the last one was answered.
	ErrPipelined = errors.New("httpconn: request before the answer to the last one")
	// ErrBodyTooLarge is a request whose body is over 64 KiB.
	ErrBodyTooLarge = errors.New("httpconn: request body too large")
)

// past is a deadline that has always been exceeded.
var past = time.Unix(1, 0)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// Traffic counts the bytes of any number of connections.
type Traffic struct {
	in, out atomic.Uint64
}

// BytesIn returns the bytes read so far.
func (t *Traffic) BytesIn() uint64 { return t.in.Load() }

// BytesOut returns the bytes written so far.
func (t *Traffic) BytesOut() uint64 { return t.out.Load() }

// Conn is an accepted connection. Its methods are for the one goroutine that serves
// it, except Wake, WakeAt, Close and Reset.
type Conn struct {
	socket  net.Conn
	traffic *Traffic
	first   [1]byte // of the next request, once hasFirst
	has     bool
}

// New wraps an accepted connection, whose bytes are counted in traffic.
func New(socket net.Conn, traffic *Traffic) *Conn {
	return &Conn{socket: socket, traffic: traffic}
}

// AwaitRequest blocks until the first byte of a request is there.
func (c *Conn) AwaitRequest() error {
	n, err := c.socket.Read(c.first[:])
	c.traffic.in.Add(uint64(n))
	c.has = n > 0
	if c.has {
		return nil
	}
	return err
}

// ReadRequest reads a request whole. Its body is counted and dropped.
func (c *Conn) ReadRequest() (*http.Request, error) {
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	reader.Reset((*source)(c))
	defer reader.Reset(nil)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	size, err := io.Copy(io.Discard, io.LimitReader(request.Body, maxBodyBytes+1))
	switch {
	case err != nil:
		return nil, err
	case size > maxBodyBytes:
		return nil, ErrBodyTooLarge
	case reader.Buffered() > 0:
		return nil, ErrPipelined
	}
	request.Body = http.NoBody
	return request, nil
}

// AwaitWake blocks until Wake, or until the time given to WakeAt, and then returns nil.
// An error says that the client has gone away, or broken the protocol.
func (c *Conn) AwaitWake() error {
	var unexpected [1]byte
	n, err := c.socket.Read(unexpected[:])
	switch {
	case n > 0:
		return ErrPipelined
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	}
	return err
}

// Wake ends AwaitWake, also one that is still to come, until WakeAt is called.
func (c *Conn) Wake() { c.WakeAt(past) }

// WakeAt ends AwaitWake at a time; the zero time means never. AwaitRequest and
// ReadRequest fail at that time, unless it is set anew before.
func (c *Conn) WakeAt(at time.Time) {
	// It fails only on a closed connection, where reads end by themselves.
	_ = c.socket.SetReadDeadline(at)
}

// Write sends a whole answer.
func (c *Conn) Write(answer []byte) error {
	n, err := c.socket.Write(answer)
	c.traffic.out.Add(uint64(n))
	return err
}

// Close ends the connection in order.
func (c *Conn) Close() error { return c.socket.Close() }

// Reset breaks the connection, as when the process that served it dies.
func (c *Conn) Reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		// It fails only on a connection that is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = c.socket.Close()
}

// source reads a request: first the byte that AwaitRequest took.
type source Conn

func (s *source) Read(buffer []byte) (int, error) {
	if s.has && len(buffer) > 0 {
		buffer[0] = s.first[0]
		s.has = false
		return 1, nil
	}
	n, err := s.socket.Read(buffer)
	s.traffic.in.Add(uint64(n))
	return n, err
}
