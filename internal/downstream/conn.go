package downstream

import (
	"container/list"
	"errors"
	"io"
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
	waitingElement *list.Element // in listener.waiting; nil while a request is open or the connection closes
	closingElement *list.Element // in listener.closing; nil unless the connection is half-closed
	lastActivity   time.Time     // of the latest bytes, the accept, or the end of the latest request
	used           bool          // a request has come on it
	released       bool          // it is no longer counted

	mu sync.Mutex // guards what follows

	// The request that is being read, and its response.
	head             httpmsg.HeadScanner // of what came since the latest complete request
	requestStart     time.Time           // of the first request: the accept; zero before the first byte of a later one
	responseWritten  bool                // something was written since the request began
	awaitingResponse bool                // a complete request has come and its response has not begun
	pipelined        bool                // something came behind that request, which is not served
	disconnected     chan struct{}       // closed when the client ends its side behind pipelined bytes; nil before

	// The read deadline, which expiry moves for a moment.
	readDeadline time.Time // as net/http has set it
	expiring     bool      // the connection ends unless something has come: the read that waits decides
	idleExpired  bool      // it was decided to end

	// The end of the connection.
	evicted       bool // it was closed for another connection: nothing more is read
	closed        bool // Close was called: nothing more is read
	peerClosed    bool // the client has ended its side, or the connection is broken
	resetOnClose  bool // it ends in a reset
	rejectPartial bool // a request that came in part is answered by a rejection when the connection closes
}

// newConn returns a connection that was accepted now.
func newConn(raw net.Conn, l *Listener) *Conn {
	now := time.Now()
	return &Conn{Conn: raw, listener: l, AcceptedAt: now, requestStart: now}
}

// Read reads what the client sends. It returns net.ErrClosed once the connection's end is decided.
func (c *Conn) Read(p []byte) (int, error) {
	if c.endDecided() {
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

// endDecided reports whether the connection was evicted or closed.
func (c *Conn) endDecided() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted || c.closed
}

// recordRead notes what a read returned, and returns what its caller may see of it: nothing, where the connection's end
// was decided meanwhile.
func (c *Conn) recordRead(data []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.closed {
		data, err = nil, net.ErrClosed
	}
	if c.requestStart.IsZero() {
		c.requestStart = time.Now()
	}
	c.responseWritten = c.responseWritten && c.head.Size > 0
	c.head.Scan(data)
	if len(data) > 0 && c.expiring { // the data came while the expiry was being set
		c.expiring = false
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
// time whether the client still reads.
func (c *Conn) limitSendBuffer(bytes int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetWriteBuffer(bytes)
	}
	return nil
}

// BeginRequest marks that a request is open on the connection: from here on it is neither evicted nor expired. It returns
// false where the connection was evicted or is closed; the request is then not served.
func (c *Conn) BeginRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.released || c.waitingElement == nil {
		return false
	}
	c.listener.waiting.Remove(c.waitingElement)
	c.waitingElement = nil
	c.Requests++
	if !c.used {
		c.used = true
		c.listener.used++
	}
	return true
}

// RequestRead marks that a request has been read completely. What is read from here on belongs to the next one. length is
// the length of the request's body in bytes, -1 where it is unknown. The result says that nothing came behind the
// request; of a body whose length is unknown this is never said.
func (c *Conn) RequestRead(length int64) (alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	alone = length >= 0 && c.head.Size == c.head.HeadSize+length
	c.head, c.requestStart = httpmsg.HeadScanner{}, time.Time{}
	return alone
}

// EndRequest marks that the request has its complete response: the connection waits for the next request.
func (c *Conn) EndRequest() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.released && c.waitingElement == nil && c.closingElement == nil {
		c.lastActivity = time.Now()
		c.waitingElement = c.listener.waiting.PushBack(c)
	}
}

// AmbiguousLength reports whether the request's head states the length of its body in two ways. net/http hides this, and
// what follows such a head may be a smuggled request.
func (c *Conn) AmbiguousLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.ContentLengths > 1 || c.head.ContentLengths > 0 && c.head.TransferEncoding
}

// ClientLeft reports whether the client has ended its side of the connection or the connection is broken, also behind
// bytes that are still to be read.
func (c *Conn) ClientLeft() bool {
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

const (
	// closeTimeout is how long a client has to end its side after the sidecar has ended its own.
	closeTimeout = 500 * time.Millisecond
	// rejectionTimeout is for writing rejectionResponse.
	rejectionTimeout = 20 * time.Millisecond
	// rejectionResponse answers a client that has no handler: one beyond the connection limit, or one whose request came
	// in part before a termination.
	rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// wakeReads is a deadline in the past: it ends a read that waits.
var wakeReads = time.Unix(1, 0)

// Close ends the connection. It is the one way in which a client's connection ends, but for an eviction. A connection
// that is closed over something unread is reset, and a response that the client has not read yet is lost with it. So the
// sidecar ends its own side, waits up to closeTimeout for the client to end its side, and closes then. It reads nothing
// meanwhile: a request that crosses the close is not served, and its client may send it again.
//
// Close does not wait, and always returns nil: a socket that is given up leaves nothing to do when closing it fails.
func (c *Conn) Close() error {
	c.closeWithReason(c.currentCloseReason())
	return nil
}

// currentCloseReason returns why net/http closes the connection now.
func (c *Conn) currentCloseReason() closeReason {
	c.listener.mu.Lock()
	waiting := c.waitingElement != nil
	c.listener.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.resetOnClose:
		return closedTruncated
	case c.peerClosed:
		return closedByClient
	case c.idleExpired:
		return closedDraining
	case waiting:
		return closedIdle
	}
	return closedAfterResponse
}

// closeWithReason closes the connection and counts why. Calls after the first do nothing.
func (c *Conn) closeWithReason(reason closeReason) {
	c.mu.Lock()
	again := c.closed
	evicted := c.evicted // and counted as such
	atOnce := c.resetOnClose || c.peerClosed || c.evicted
	partial := c.rejectPartial && c.head.Size > 0 && c.head.HeadSize == 0 && !c.responseWritten
	c.closed = true
	c.mu.Unlock()
	if again {
		return
	}
	if !evicted {
		c.listener.countClose(reason)
	}
	if partial {
		c.Conn.SetWriteDeadline(time.Now().Add(rejectionTimeout))
		io.WriteString(c.Conn, rejectionResponse)
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if atOnce || !ok || half.CloseWrite() != nil || !c.listener.beginClosing(c) {
		c.releaseAndClose()
		return
	}
	go func() {
		c.Conn.SetReadDeadline(time.Now().Add(closeTimeout))
		system.AwaitPeerClosed(c.Conn)
		c.releaseAndClose()
	}()
}

// releaseAndClose ends the counting of the connection and gives its descriptor back.
func (c *Conn) releaseAndClose() {
	c.listener.mu.Lock()
	c.release()
	c.listener.mu.Unlock()
	c.Conn.Close()
}

// release ends the counting of the connection. Calls after the first do nothing. The caller holds listener.mu.
func (c *Conn) release() {
	if c.released {
		return
	}
	c.released = true
	c.listener.open--
	if c.used {
		c.listener.used--
	}
	if c.waitingElement != nil {
		c.listener.waiting.Remove(c.waitingElement)
		c.waitingElement = nil
	}
	if c.closingElement != nil {
		c.listener.closing.Remove(c.closingElement)
		c.closingElement = nil
	}
}

// ResetOnClose has the connection end in a reset. A client that only learns from the end of the connection where its
// response ends then does not take a truncated one for complete.
func (c *Conn) ResetOnClose() {
	c.mu.Lock()
	c.resetOnClose = true
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

// tryEvict decides the end of a connection that carries nothing: there is nothing to read of it, and less than a head
// has come since its latest request. It returns false where the connection carries something. From a true result on
// nothing is read of it, and its caller closes it. The caller holds listener.mu.
func (c *Conn) tryEvict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.HeadSize > 0 || system.Readable(c.Conn) {
		return false
	}
	c.evicted = true
	return true
}

// expireIfIdle has a connection end on which nothing has come since its latest request. It wakes the read that waits,
// and cancelExpiry decides there. The caller holds listener.mu.
func (c *Conn) expireIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Size == 0 {
		c.expiring = true
		c.Conn.SetReadDeadline(wakeReads)
	}
}

// cancelExpiry decides what becomes of a connection whose read has met its deadline. It returns true where the deadline
// was that of expireIfIdle and something has come after all: a close would lose a request, so that the read goes on.
func (c *Conn) cancelExpiry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expiring {
		return false // the deadline was net/http's own
	}
	c.expiring = false
	nothingCame := c.head.Size == 0 && !system.Readable(c.Conn)
	pastDeadline := !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
	if nothingCame || pastDeadline {
		c.idleExpired = true
		return false
	}
	c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// rejectIfPartial ends the read of a request that has come in part. Close writes the rejection. The caller holds
// listener.mu.
func (c *Conn) rejectIfPartial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Size > 0 {
		c.rejectPartial = true
		c.Conn.SetReadDeadline(wakeReads)
	}
}

// maxPipelinedBytes bounds what is read behind a request to find the client's end there.
const maxPipelinedBytes = 1 << 20

// AwaitResponse marks that a complete request has come; alone says that nothing came behind it. The channel is closed
// when the client ends its side behind pipelined bytes before the response. Clients send one request at a time, so that
// nothing behind a request is served; and net/http, which would notice the end of the client, reads but one byte.
func (c *Conn) AwaitResponse(alone bool) (disconnected <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse, c.disconnected = true, make(chan struct{})
	if !alone || c.head.Size > 0 {
		c.watchDisconnect()
	}
	return c.disconnected
}

// BeginResponse marks that the response begins. The result says that something came behind the request: the connection
// has to be closed after the response.
func (c *Conn) BeginResponse() (pipelined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse = false
	return c.pipelined
}

// watchDisconnect marks that something came behind the request, and starts to look for the client's end behind that. Its
// goroutine ends when the connection is closed, which it is after the response, or sooner. The caller holds c.mu.
func (c *Conn) watchDisconnect() {
	if c.pipelined {
		return
	}
	c.pipelined = true
	go func() {
		err := c.discard(maxPipelinedBytes)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.peerClosed = true
			close(c.disconnected)
		}
	}()
}

// discard reads and drops limit bytes, or as many as come before an error, which it returns.
func (c *Conn) discard(limit int) error {
	var chunk [1 << 10]byte
	for limit > 0 {
		n, err := c.Conn.Read(chunk[:])
		if err != nil {
			return err
		}
		limit -= n
	}
	return nil
}
