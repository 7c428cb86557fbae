package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"oakproxy/internal/system"
)

const (
	// maxBufferedWrite is the size in bytes that a connection's send buffer takes for sure: a write of no more does
	// not wait for the endpoint.
	maxBufferedWrite = 4 << 10

	// maxWriteLag bounds the time that the last bytes of a request may wait for its endpoint to take what is ahead
	// of them. X-Time-Left-Ms may exceed the client's remaining time by 0.15 s.
	maxWriteLag = 100 * time.Millisecond
)

// conn is a connection that carries one request at a time. Only its owner may use it: see the package comment.
type conn struct {
	net.Conn
	endpoint *Endpoint
	reader   *bufio.Reader
	limit    io.LimitedReader // between the connection and reader: bounds a response's head and interim responses

	// ctx is the context of the exchange under way. It is kept here because Read and Write have no parameter for
	// it, and they must notice a cancellation whose deadline they have just overwritten.
	ctx context.Context
	// stallTimeout bounds the time that a read waits for a byte; 0: no limit.
	stallTimeout time.Duration

	idleSince time.Time
	used      bool // it has carried a request before
}

func newConn(raw net.Conn, endpoint *Endpoint) *conn {
	c := &conn{Conn: raw, endpoint: endpoint}
	c.limit.R = c
	c.reader = bufio.NewReaderSize(&c.limit, maxResponseHeadBytes)
	return c
}

// Read reads within the stall timeout, if there is one.
func (c *conn) Read(p []byte) (int, error) {
	if c.stallTimeout > 0 {
		c.SetReadDeadline(time.Now().Add(c.stallTimeout))
		if err := c.ctx.Err(); err != nil {
			return 0, err // the deadline that interrupt has set may have been overwritten
		}
	}
	return c.Conn.Read(p)
}

// interrupt ends a read or write that is under way, and those that follow until a deadline is set.
func (c *conn) interrupt() { c.SetDeadline(time.Unix(1, 0)) }

// alive reports whether an idle connection is open and has nothing to read. An endpoint may close it at any time, and
// a request written after that is lost as a reset that may have run.
func (c *conn) alive() bool { return !system.Readable(c.Conn) }

// writeRequest writes an encoded request, or fails before its last byte. X-Time-Left-Ms counts from the time when the
// write began: an endpoint that takes the remainder too late for that must not run the request.
func (c *conn) writeRequest(data []byte) error {
	last := len(data) - 1
	if len(data) <= maxBufferedWrite {
		last = 0
	}
	start := time.Now()
	if _, err := c.Write(data[:last]); err != nil {
		return err
	}
	if time.Since(start) > maxWriteLag {
		return errTooLate
	}
	if n, err := c.Write(data[last:]); n < len(data)-last {
		return err
	}
	return nil
}
