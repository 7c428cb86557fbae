// Package httpconn reads requests and writes responses on HTTP/1.1 connections that are idle most of the time.
//
// A connection holds no buffer between requests. A single goroutine serves it: while the goroutine waits until the
// response is due, it also notices when the client disconnects. The package neither accepts connections nor routes
// requests, and it does not support pipelining.
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
	readBufferSize = 4 << 10  // size of a pooled read buffer, in bytes
	maxBodyBytes   = 64 << 10 // maximum size of a request body
)

// Errors after which the connection must be closed.
var (
	// ErrPipelined is returned when the client sends data before it has received the response to its previous request.
	ErrPipelined = errors.New("httpconn: client sent data before the response to its previous request")
	// ErrBodyTooLarge is returned for a request whose body is larger than 64 KiB.
	ErrBodyTooLarge = errors.New("httpconn: request body exceeds 64 KiB")
)

// pastDeadline is a time in the past. As a read deadline it makes a blocked read fail immediately.
var pastDeadline = time.Unix(1, 0)

// readerPool holds *bufio.Reader values that no connection is using.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// Traffic counts the bytes that a group of connections reads and writes. The zero value is ready for use. Traffic is
// safe for concurrent use.
type Traffic struct {
	in, out atomic.Uint64
}

// BytesIn returns the number of bytes read so far.
func (t *Traffic) BytesIn() uint64 { return t.in.Load() }

// BytesOut returns the number of bytes written so far.
func (t *Traffic) BytesOut() uint64 { return t.out.Load() }

// Conn is an accepted connection. Wake, WakeAt, Close and Reset are safe for concurrent use. Only the goroutine that
// serves the connection may call the other methods.
type Conn struct {
	socket       net.Conn
	traffic      *Traffic
	firstByte    [1]byte // first byte of the next request; valid if hasFirstByte is set
	hasFirstByte bool
}

// New returns a Conn for an accepted connection, whose bytes it counts in traffic.
func New(socket net.Conn, traffic *Traffic) *Conn {
	return &Conn{socket: socket, traffic: traffic}
}

// AwaitRequest blocks until the first byte of a request has arrived. It fails if the client disconnects or the time
// given to WakeAt has come.
func (c *Conn) AwaitRequest() error {
	n, err := c.socket.Read(c.firstByte[:])
	c.traffic.in.Add(uint64(n))
	c.hasFirstByte = n > 0
	if c.hasFirstByte {
		return nil
	}
	return err
}

// ReadRequest reads a complete request after AwaitRequest has returned nil. It counts the bytes of the body and
// discards them. It returns ErrBodyTooLarge if the body is too large, and ErrPipelined if more data has arrived after
// the body.
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

// AwaitWake blocks until Wake is called or the time given to WakeAt has come, and then returns nil. It fails if the
// client disconnects, and returns ErrPipelined if the client sends a byte.
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

// Wake makes AwaitWake return immediately: both a call in progress and every later call until WakeAt is called.
func (c *Conn) Wake() { c.WakeAt(pastDeadline) }

// WakeAt makes AwaitWake return at the given time; the zero time means never. AwaitRequest and ReadRequest fail at
// that time. Each call of WakeAt replaces the time of the previous one.
func (c *Conn) WakeAt(at time.Time) {
	// SetReadDeadline fails only on a closed connection, where reads fail anyway.
	_ = c.socket.SetReadDeadline(at)
}

// Write sends a complete response.
func (c *Conn) Write(response []byte) error {
	n, err := c.socket.Write(response)
	c.traffic.out.Add(uint64(n))
	return err
}

// Close closes the connection. It ignores errors: closing fails only for a connection that needs no further action,
// such as one that is already closed.
func (c *Conn) Close() { _ = c.socket.Close() }

// Reset closes the connection with a TCP reset, as the operating system does when the serving process dies.
func (c *Conn) Reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		// SetLinger fails only on a connection that is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.socket.Close()
}

// requestReader is an io.Reader that returns first the byte that AwaitRequest has read, and then the bytes from the
// socket.
type requestReader Conn

// Read implements io.Reader.
func (r *requestReader) Read(buffer []byte) (int, error) {
	if r.hasFirstByte && len(buffer) > 0 {
		buffer[0] = r.firstByte[0]
		r.hasFirstByte = false
		return 1, nil
	}
	n, err := r.socket.Read(buffer)
	r.traffic.in.Add(uint64(n))
	return n, err
}
