// Package httpconn serves HTTP/1.1 on connections that are idle most of the time.
//
// A connection holds no buffer between requests. One goroutine serves it: that goroutine both waits until
// the response is due and notices that the client has disconnected. The package neither accepts
// connections nor routes requests, and it does not support pipelining.
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

// Errors after which a connection has to be closed.
var (
	// ErrPipelined is returned when a request begins before the response to the last one.
	ErrPipelined = errors.New("httpconn: request before the response to the last one")
	// ErrBodyTooLarge is returned for a request whose body is over 64 KiB.
	ErrBodyTooLarge = errors.New("httpconn: request body too large")
)

// pastDeadline is a deadline that has always passed.
var pastDeadline = time.Unix(1, 0)

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// Traffic counts the bytes of any number of connections.
type Traffic struct {
	in, out atomic.Uint64
}

// BytesIn returns the bytes read so far.
func (t *Traffic) BytesIn() uint64 { return t.in.Load() }

// BytesOut returns the bytes written so far.
func (t *Traffic) BytesOut() uint64 { return t.out.Load() }

// Conn is an accepted connection. Only the one goroutine that serves it may call its methods, except Wake,
// WakeAt, Close and Reset, which are safe for concurrent use.
type Conn struct {
	socket       net.Conn
	traffic      *Traffic
	firstByte    [1]byte // of the next request; valid if hasFirst
	hasFirstByte bool
}

// New wraps an accepted connection, whose bytes are counted in traffic.
func New(socket net.Conn, traffic *Traffic) *Conn {
	return &Conn{socket: socket, traffic: traffic}
}

// AwaitRequest blocks until the first byte of a request has arrived. It fails once the client has disconnected.
func (c *Conn) AwaitRequest() error {
	n, err := c.socket.Read(c.firstByte[:])
	c.traffic.in.Add(uint64(n))
	c.hasFirstByte = n > 0
	if c.hasFirstByte {
		return nil
	}
	return err
}

// ReadRequest reads a complete request. Its body is counted and discarded.
func (c *Conn) ReadRequest() (*http.Request, error) {
	reader := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(reader)
	reader.Reset((*requestReader)(c))
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

// AwaitWake blocks until Wake, or until the time given to WakeAt, and then returns nil. It fails when the
// client disconnects, and with ErrPipelined when it sends a byte.
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

// Wake ends AwaitWake, also one that begins later, until WakeAt is called.
func (c *Conn) Wake() { c.WakeAt(pastDeadline) }

// WakeAt ends AwaitWake at a time; the zero time means never. AwaitRequest and
// ReadRequest fail at that time, unless it is set again before.
func (c *Conn) WakeAt(at time.Time) {
	// It fails only on a closed connection, where reads end by themselves.
	_ = c.socket.SetReadDeadline(at)
}

// Write sends a complete response.
func (c *Conn) Write(response []byte) error {
	n, err := c.socket.Write(response)
	c.traffic.out.Add(uint64(n))
	return err
}

// Close closes the connection. Nothing is left to do when that fails, as it does on one that is closed.
func (c *Conn) Close() { _ = c.socket.Close() }

// Reset closes the connection with a TCP reset, as the system does when the serving process dies.
func (c *Conn) Reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		// It fails only on a connection that is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = c.socket.Close()
}

// requestReader reads a request, starting with the byte that AwaitRequest consumed.
type requestReader Conn

// Read implements io.Reader.
func (s *requestReader) Read(buffer []byte) (int, error) {
	if s.hasFirstByte && len(buffer) > 0 {
		buffer[0] = s.firstByte[0]
		s.hasFirstByte = false
		return 1, nil
	}
	n, err := s.socket.Read(buffer)
	s.traffic.in.Add(uint64(n))
	return n, err
}
