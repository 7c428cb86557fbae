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
// net/http owns the connection. It has one goroutine per connection, which calls Read, Write, SetReadDeadline and
// Close. The same goroutine runs the handler, which calls the methods that concern requests, such as BeginRequest.
// While the handler runs, net/http also calls Read from a second goroutine. Callers of Listener's methods run in other
// goroutines, and expire, reject or evict connections that have no open request.
type Conn struct {
	net.Conn
	listener *Listener

	// AcceptedAt is the time at which the connection was accepted. It does not change.
	AcceptedAt time.Time
	// Requests is the number of requests that have begun on the connection. Only BeginRequest writes it, with
	// listener.mu held.
	Requests int

	// The following fields are guarded by listener.mu.
	state        connState     // changed only by listener.setState
	listElement  *list.Element // the entry in listener.waiting (stateWaiting) or listener.closing (stateClosing); else nil
	lastActivity time.Time     // latest of these times: accept, last bytes read, end of the last request
	used         bool          // a request and its response are complete

	mu sync.Mutex // guards the fields below

	// The request that is being read, and its response.
	head httpmsg.HeadScanner // scans what was read since the last complete request
	// headMemory is what is reserved for the head that was read last, until TakeHeadMemory, EndRequest or Close.
	headMemory int64
	headTaken  bool // TakeHeadMemory was called for the head that was read last
	// requestStart is the time at which the request began: the accept for the first request of the connection, and the
	// first byte for each later request. Until that byte it is zero.
	requestStart     time.Time
	tracksLastByte   bool // whether lastByte is kept up to date: from TrackLastByte to FinishRequestRead
	lastByte         lastByteEstimate
	bodyLength       int64         // length of the body for lastByte, -1 if unknown
	responseWritten  bool          // something was written since the start of the request
	awaitingResponse bool          // a complete request was read and its response has not begun
	pipelined        bool          // bytes were read after a complete request; they are not served
	endUnseen        bool          // so many bytes follow the request that a disconnect behind them is not noticed
	disconnected     chan struct{} // closed on a disconnect after pipelined bytes; nil before NotifyDisconnect

	// Whether the connection may be read, and how it is closed.
	phase readPhase // changed only by setPhase
	// readDeadline is the read deadline that net/http or Body set last. expireIfIdle and rejectIfPartial change only the
	// deadline of the socket, so that readDeadline can be restored.
	readDeadline  time.Time
	peerClosed    bool // the client has closed its side, or the connection is broken
	relaying      bool // a relayed response is incomplete: see beginRelay
	rejectPartial bool // Close answers a partly received request with rejectionResponse
	headRefused   bool // there is no memory for the head that is being read: Close answers with rejectionResponse
}

// newConn returns the Conn for raw, a connection that was just accepted.
func newConn(raw net.Conn, l *Listener) *Conn {
	now := time.Now()
	return &Conn{Conn: raw, listener: l, AcceptedAt: now, requestStart: now}
}

// watchReadBytes is how many bytes net/http reads to notice a disconnect while the handler runs, after the end of the
// request.
const watchReadBytes = 1

// Read reads what the client sends. It returns net.ErrClosed once the connection was evicted or Close was called.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	readsBlocked := c.phase.blocksReads()
	if c.tracksLastByte && len(p) > watchReadBytes {
		c.lastByte.awaitsClient = c.observeLastByte()
	}
	c.mu.Unlock()
	if readsBlocked {
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
	if !c.reserveHeadMemory() {
		return 0, errHeadRefused
	}
	return n, err
}

// recordRead records the result of a read of the socket, and returns the result for the caller of Read. If the
// connection was evicted or closed during the read, the result is net.ErrClosed and no data.
func (c *Conn) recordRead(data []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endBodyRead(len(data))
	if c.phase.blocksReads() {
		data, err = nil, net.ErrClosed
	}
	if c.requestStart.IsZero() {
		c.requestStart = time.Now()
	}
	c.responseWritten = c.responseWritten && c.head.Size > 0
	c.head.Scan(data)
	if len(data) > 0 && c.phase == phaseExpiring { // the data arrived while the expiry began
		c.setPhase(phaseOpen)
		c.Conn.SetReadDeadline(c.readDeadline)
	}
	if len(data) > 0 && c.awaitingResponse {
		c.startDisconnectWatch()
	}
	c.peerClosed = c.peerClosed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return len(data), err
}

// Write writes a part of a response to the client.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responseWritten = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline sets the read deadline, as net.Conn does. It also records the deadline. While the idle connection
// expires, the deadline is set only if the expiry is cancelled: it would replace that of the expiry.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.phase == phaseExpiring {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// limitNextRead sets the read deadline and ignores the error of the call: setting it fails only on a closed connection,
// and then the next read fails, too.
func (c *Conn) limitNextRead(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	c.Conn.SetReadDeadline(deadline)
}

// limitSendBuffer limits how many bytes of a response the kernel holds that the client has not received yet. If a
// client stops reading, a write then soon blocks and reaches its deadline. If the kernel refuses the limit, the write
// blocks only after more bytes.
func (c *Conn) limitSendBuffer(bytes int) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(bytes)
	}
}

// BeginRequest marks that a request is open on the connection. Until EndRequest, the connection is then neither evicted
// nor expired. BeginRequest returns false if the connection was evicted or closed; the request must not be served then.
func (c *Conn) BeginRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.listener.setState(c, stateServing) {
		return false
	}
	c.Requests++
	return true
}

// FinishRequestRead marks that a request has been read completely. What is read afterwards belongs to the next request.
// bodyLength is the length of the request's body in bytes, or -1 if it is unknown. The result is true if no bytes after
// the end of the request have been read; it is always false if the length is unknown.
func (c *Conn) FinishRequestRead(bodyLength int64) (nothingFollows bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	nothingFollows = bodyLength >= 0 && c.head.Size == c.head.HeadSize+bodyLength
	c.head, c.requestStart, c.tracksLastByte = httpmsg.HeadScanner{}, time.Time{}, false
	return nothingFollows
}

// EndRequest marks that the response to the open request is complete and that the connection waits for the next
// request. It does nothing if no request is open.
func (c *Conn) EndRequest() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.listener.setState(c, stateWaiting) && !c.used {
		c.used = true
		c.listener.used++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHeadMemory()
}

// HasAmbiguousLength reports whether the request's head states the length of its body more than once: in several
// Content-Length lines, or in Content-Length and Transfer-Encoding. net/http hides this from handlers, and the bytes
// after such a head may be a smuggled request.
func (c *Conn) HasAmbiguousLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.ContentLengthCount > 1 || c.head.ContentLengthCount > 0 && c.head.HasTransferEncoding
}

// ClientClosed reports whether the client has closed its side of the connection or the connection is broken, even if
// there are still bytes to read before the end. It also reports true if that can't be known, because of the bytes that
// follow the request.
func (c *Conn) ClientClosed() bool {
	c.mu.Lock()
	alreadyClosed, endUnseen := c.peerClosed, c.endUnseen
	c.mu.Unlock()
	if alreadyClosed {
		return true
	}
	switch system.Peek(c.Conn) {
	case system.PeekClosed:
		return true
	case system.PeekData:
		return endUnseen || system.PeerClosed(c.Conn)
	}
	return false
}
