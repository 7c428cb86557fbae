package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/system"
)

const (
	// maxBufferedWrite is the number of bytes that a connection's send buffer always accepts: a write of at most this
	// size does not wait for the endpoint.
	maxBufferedWrite = 4 << 10

	// maxWriteDelay limits how long the last bytes of a request may wait until the endpoint has accepted the bytes before
	// them. X-Time-Left-Ms is sent before this wait, so its value exceeds the client's remaining time by the duration of
	// the wait. It may exceed that time by at most 0.15 s, so the limit must be less than 0.15 s.
	maxWriteDelay = 100 * time.Millisecond
)

// conn is a connection to an endpoint that carries one request at a time. Only its owner may use it; see the package
// comment.
type conn struct {
	net.Conn
	endpoint *Endpoint
	reader   *bufio.Reader
	// readLimit is between the connection and reader. It limits the size of a response's head and interim responses, but
	// not that of the body of a 200 response.
	readLimit io.LimitedReader

	// ctx is the context of the current exchange. It is a field because Read and uploadWriter.Write have no context
	// parameter, and they must notice a cancellation after they have overwritten the deadline that interruptOn set.
	ctx context.Context
	// readLimits limits how long a read waits for a byte.
	readLimits readLimits

	// enlargedFrom is the budget from which the larger read buffer was reserved; nil if the buffer has its usual size.
	enlargedFrom *httpmsg.MemoryBudget

	idleSince time.Time // when the connection was last returned to the pool
	used      bool      // whether the connection has carried a request before
}

// newConn returns a conn for an established connection to an endpoint.
func newConn(raw net.Conn, endpoint *Endpoint) *conn {
	c := &conn{Conn: raw, endpoint: endpoint}
	c.readLimit.R = c
	c.reader = bufio.NewReaderSize(&c.readLimit, readBufferBytes)
	return c
}

// readLimits limits how long a read from a connection waits for a byte. The zero value sets no limit.
type readLimits struct {
	maxSilence time.Duration // limit on the wait of each read; 0 means that the read ends at notBefore
	notBefore  time.Time     // the wait does not end earlier, however long it is
	notAfter   time.Time     // the wait does not end later; the zero value means that there is no such time
}

// deadline returns the deadline of a read that begins now. It is zero if there is no limit.
func (l *readLimits) deadline(now time.Time) time.Time {
	deadline := l.notBefore
	if l.maxSilence > 0 && now.Add(l.maxSilence).After(deadline) {
		deadline = now.Add(l.maxSilence)
	}
	if !l.notAfter.IsZero() && (deadline.IsZero() || deadline.After(l.notAfter)) {
		deadline = l.notAfter
	}
	return deadline
}

// limitReads sets the limits of later reads. It must not be called while a read is in progress.
func (c *conn) limitReads(limits readLimits) {
	if limits == (readLimits{}) && c.readLimits != limits {
		c.SetReadDeadline(time.Time{})
	}
	c.readLimits = limits
}

// enlargeReader gives the connection a read buffer for the longest head. What was read remains in it. It reports false if
// there is no memory for it. A connection with such a buffer must not be reused.
func (c *conn) enlargeReader(memory *httpmsg.MemoryBudget) bool {
	if c.enlargedFrom != nil {
		return true
	}
	if !memory.Reserve(maxResponseHeadBytes) {
		return false
	}
	c.enlargedFrom = memory
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	from := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), &c.readLimit)
	c.reader = bufio.NewReaderSize(from, maxResponseHeadBytes)
	return true
}

// Close closes the connection and releases the memory of a larger read buffer.
func (c *conn) Close() error {
	if c.enlargedFrom != nil {
		c.enlargedFrom.Release(maxResponseHeadBytes)
		c.enlargedFrom = nil
	}
	return c.Conn.Close()
}

// Read reads from the connection. It fails if no byte arrives within the connection's readLimits; a later read may
// succeed.
func (c *conn) Read(p []byte) (int, error) {
	if deadline := c.readLimits.deadline(time.Now()); !deadline.IsZero() {
		c.SetReadDeadline(deadline)
	}
	if err := c.ctx.Err(); err != nil {
		return 0, err // the deadline that interruptOn has set may have been overwritten
	}
	return c.Conn.Read(p)
}

// interruptOn makes any read or write fail from the end of ctx on. The caller must call the returned function, after which
// the end of ctx has no effect on the connection any more, and the deadlines of the connection are not set.
func (c *conn) interruptOn(ctx context.Context) (stop func()) {
	var mu sync.Mutex // held while the deadlines are changed
	stopped := false
	unregister := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			c.SetDeadline(time.Unix(1, 0))
		}
	})
	return func() {
		if unregister() {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		c.SetDeadline(time.Time{})
	}
}

// alive reports whether an idle connection is open and has nothing to read. An endpoint may close an idle connection at
// any time. A request that is written on a closed connection is lost: its outcome is a reset, which does not show
// whether the request has run.
func (c *conn) alive() bool { return !system.Readable(c.Conn) }

// writeRequest writes an encoded request. If it returns an error, the last byte was not written.
//
// X-Time-Left-Ms is the time that the client has left at the start of the write, and the endpoint must not run a
// request whose X-Time-Left-Ms is wrong. If a request has more than maxBufferedWrite bytes, writeRequest therefore
// writes all bytes except the last one first. If that takes longer than maxWriteDelay, it does not write the last byte.
func (c *conn) writeRequest(data []byte) error {
	last := len(data) - 1
	if len(data) <= maxBufferedWrite {
		last = 0
	}
	start := time.Now()
	if _, err := c.Write(data[:last]); err != nil {
		return err
	}
	if time.Since(start) > maxWriteDelay {
		return errTooLate
	}
	if n, err := c.Write(data[last:]); n < len(data)-last {
		return err
	}
	return nil
}
