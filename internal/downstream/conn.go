package downstream

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/system"
)

// Conn is one connection of a client. It carries one request at a time.
//
// net/http owns the connection: its goroutine of the connection calls Read, Write, SetReadDeadline and Close, and runs
// the handler, which calls the methods on requests. While a handler runs, net/http reads in a further goroutine. The
// listener's callers, from goroutines of their own, expire, reject or evict connections that have no request open.
type Conn struct {
	net.Conn
	listener *Listener

	// AcceptedAt is when the connection was accepted. It does not change.
	AcceptedAt time.Time
	// Requests is how many requests have come on the connection. BeginRequest writes it, with listener.mu held.
	Requests int

	// Guarded by listener.mu.
	state        connState     // changed by listener.setState alone
	element      *list.Element // in listener.waiting or listener.closing, as state says; nil in other states
	lastActivity time.Time     // of the latest bytes, the accept, or the end of the latest request
	used         bool          // a request has come on it

	mu sync.Mutex // guards what follows

	// The request that is being read, and its response.
	head             httpmsg.HeadScanner // of what came since the latest complete request
	requestStart     time.Time           // of the first request: the accept; zero before the first byte of a later one
	responseWritten  bool                // something was written since the request began
	awaitingResponse bool                // a complete request has come and its response has not begun
	pipelined        bool                // something came behind that request, which is not served
	disconnected     chan struct{}       // closed when the client ends its side behind pipelined bytes; nil before

	// Whether the connection may be read, and how it ends.
	phase         readPhase // changed by setPhase alone
	readDeadline  time.Time // as net/http has set it; an expiry moves that of the socket for a moment
	peerClosed    bool      // the client has ended its side, or the connection is broken
	resetOnClose  bool      // it ends in a reset
	rejectPartial bool      // a request that came in part is answered by a rejection when the connection closes
}

// newConn returns a connection that was accepted now.
func newConn(raw net.Conn, l *Listener) *Conn {
	now := time.Now()
	return &Conn{Conn: raw, listener: l, AcceptedAt: now, requestStart: now}
}

// Read reads what the client sends. It returns net.ErrClosed once the connection's end is decided.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	endDecided := c.phase.endDecided()
	c.mu.Unlock()
	if endDecided {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.cancelExpiry() {
		n, err = c.Conn.Read(p)
	}
	n, err = c.recordRead(p[:n], err)
	if n > 0 {
		c.listener.recordActivity(c)
	}
	return n, err
}

// recordRead notes what a read returned, and returns what its caller may see of it: nothing, where the connection's end
// was decided meanwhile.
func (c *Conn) recordRead(data []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase.endDecided() {
		data, err = nil, net.ErrClosed
	}
	if c.requestStart.IsZero() {
		c.requestStart = time.Now()
	}
	c.responseWritten = c.responseWritten && c.head.Size > 0
	c.head.Scan(data)
	if len(data) > 0 && c.phase == phaseExpiring { // the data came while the expiry was being set
		c.setPhase(phaseOpen)
		c.Conn.SetReadDeadline(c.readDeadline)
	}
	if len(data) > 0 && c.awaitingResponse {
		c.watchDisconnect()
	}
	c.peerClosed = c.peerClosed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return len(data), err
}

// Write writes a part of a response.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responseWritten = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline sets the deadline of reads, as net.Conn does.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// limitNextRead sets the deadline of reads. It fails only on a closed connection, which the next read reports.
func (c *Conn) limitNextRead(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	c.Conn.SetReadDeadline(deadline)
}

// limitSendBuffer bounds how many bytes the kernel takes of a response before the client does, so that a write tells in
// time whether the client still reads. Where the kernel refuses that, writes tell it later.
func (c *Conn) limitSendBuffer(bytes int) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(bytes)
	}
}

// BeginRequest marks that a request is open on the connection: from here on it is neither evicted nor expired. It
// returns false where the connection was evicted or is closed; the request is then not served.
func (c *Conn) BeginRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.listener.setState(c, stateServing) {
		return false
	}
	c.Requests++
	if !c.used {
		c.used = true
		c.listener.used++
	}
	return true
}

// RequestRead marks that a request has been read completely. What is read from here on belongs to the next one.
// length is the length of the request's body in bytes, -1 where it is unknown. The result says that nothing came
// behind the request; of a body whose length is unknown this is never said.
func (c *Conn) RequestRead(length int64) (alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	alone = length >= 0 && c.head.Size == c.head.HeadSize+length
	c.head, c.requestStart = httpmsg.HeadScanner{}, time.Time{}
	return alone
}

// EndRequest marks that the request has its complete response: the connection waits for the next request. It does
// nothing where no request is open.
func (c *Conn) EndRequest() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.setState(c, stateWaiting)
}

// HasAmbiguousLength reports whether the request's head states the length of its body in two ways. net/http hides this,
// and what follows such a head may be a smuggled request.
func (c *Conn) HasAmbiguousLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.ContentLengthCount > 1 || c.head.ContentLengthCount > 0 && c.head.HasTransferEncoding
}

// ClientClosed reports whether the client has ended its side of the connection or the connection is broken, also behind
// bytes that are still to be read.
func (c *Conn) ClientClosed() bool {
	c.mu.Lock()
	known := c.peerClosed
	c.mu.Unlock()
	if known {
		return true
	}
	switch system.Peek(c.Conn) {
	case system.PeekClosed:
		return true
	case system.PeekData:
		return system.PeerClosed(c.Conn)
	}
	return false
}
