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
type Conn struct {
	net.Conn
	listener       *Listener
	waitingElement *list.Element // in owner.waiting; nil while a request is open
	closingElement *list.Element // in owner.closing, once half-closed
	lastActivity   time.Time     // it has waited without a byte
	used           bool          // a request has come on it
	Requests       int           // requests that have come on it
	released       bool          // no longer counted

	AcceptedAt time.Time

	mu               sync.Mutex    // net/http reads on while a handler runs
	evicted          bool          // it had to make room: what comes now is not read
	peerClosed       bool          // the client has ended its side, or the connection is broken
	resetOnClose     bool          // it is to end in a reset
	closed           bool          // Close was called
	awaitingResponse bool          // a whole request has come and its answer has not begun
	pipelined        bool          // something came behind that request, which nobody will answer
	disconnected     chan struct{} // closed when the client ends its side behind that; nil before
	head             httpmsg.HeadScanner
	requestStart     time.Time // of the request that is being read: of the first one with the connection
	readDeadline     time.Time // the deadline that net/http has set
	expiring         bool      // it is to end unless something has come
	idleExpired      bool      // it was closed for that

	rejectPartial   bool // a request that came in part is to be refused
	responseWritten bool // something was written since the request that is being read began
}

// expireIfIdle ends a connection on which nothing has come since its last request. It
// wakes the read that waits there, and Read has the last word.
func (c *Conn) expireIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Size == 0 {
		c.expiring = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// rejectIfPartial ends the read of a request that has come in part.
func (c *Conn) rejectIfPartial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Size > 0 {
		c.rejectPartial = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// cancelExpiry says that a connection which was to end has got something to read after
// all: closed now, it would take a request along.
func (c *Conn) cancelExpiry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expiring {
		return false // the deadline was net/http's own
	}
	c.expiring = false
	if c.head.Size == 0 && !system.Readable(c.Conn) || !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
		c.idleExpired = true
		return false
	}
	c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// tryEvict says whether a connection carries nothing and may be closed for another: with
// nothing to read, and less than a head read since its last request.
// From then on nothing is read of it: a request that crosses is the client's to repeat.
func (c *Conn) tryEvict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.HeadSize > 0 || system.Readable(c.Conn) {
		return false
	}
	c.evicted = true
	return true
}

// AwaitResponse marks that a whole request has come, with something behind it or not. Until its
// answer begins, the client's end is looked for behind whatever else comes: it sends one
// request at a time, and net/http, which would tell of the end, reads but one byte.
func (c *Conn) AwaitResponse(alone bool) (left <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse, c.disconnected = true, make(chan struct{})
	if !alone || c.head.Size > 0 {
		c.watchDisconnect()
	}
	return c.disconnected
}

// BeginResponse marks that the answer begins, and says whether something came behind the request.
func (c *Conn) BeginResponse() (behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse = false
	return c.pipelined
}

// watchDisconnect reads on until the client ends its side or the connection is closed, which
// it is after the answer. It holds c.mu.
func (c *Conn) watchDisconnect() {
	if c.pipelined {
		return
	}
	c.pipelined = true
	go func() {
		err := c.discard(maxDrainBytes)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.peerClosed = true
			close(c.disconnected)
		}
	}()
}

// discard reads so many bytes and forgets them, or returns the error that ended that.
func (c *Conn) discard(most int) error {
	var piece [1 << 10]byte
	for most > 0 {
		n, err := c.Conn.Read(piece[:])
		if err != nil {
			return err
		}
		most -= n
	}
	return nil
}

// ClientLeft says that the client has ended its side, also behind bytes that were not read yet.
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

// limitSendBuffer bounds what the system takes of an answer before the client does, so
// that a write tells in time whether the client still reads.
func (c *Conn) limitSendBuffer(size int) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetWriteBuffer(size)
	}
}

// ResetOnClose has the connection end in a reset, so that what it carried is not taken for
// whole where only its end would tell.
func (c *Conn) ResetOnClose() {
	c.mu.Lock()
	c.resetOnClose = true
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

// release ends the counting of a connection. It holds owner.mu.
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

// Close is the one way in which a client's connection ends, but for one that gives way.
// Closed over something unread the connection would be reset, and an answer that the client
// has not read yet would go with it: the sidecar ends its side, waits until the client has
// ended its own, for a while, and closes then. It reads nothing any more: a request that
// crosses is not taken, and its client may send it again.
func (c *Conn) Close() error { return c.closeWithReason(c.currentCloseReason()) }

// currentCloseReason says why net/http closes the connection now.
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

// closeWithReason closes the connection and counts why.
func (c *Conn) closeWithReason(reason closeReason) error {
	c.mu.Lock()
	again, now := c.closed, c.resetOnClose || c.peerClosed || c.evicted
	counted, partial := c.evicted, c.rejectPartial && c.head.Size > 0 && c.head.HeadSize == 0 && !c.responseWritten
	c.closed = true
	c.mu.Unlock()
	if again {
		return nil
	}
	if !counted {
		c.listener.countClose(reason)
	}
	if partial {
		c.Conn.SetWriteDeadline(time.Now().Add(rejectionTimeout))
		io.WriteString(c.Conn, rejectionResponse)
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if now || !ok || half.CloseWrite() != nil || !c.listener.beginClosing(c) {
		return c.releaseAndClose()
	}
	go func() {
		c.Conn.SetReadDeadline(time.Now().Add(closeDrain))
		system.AwaitPeerClosed(c.Conn)
		c.releaseAndClose()
	}()
	return nil
}

// releaseAndClose ends the counting of a connection and gives its descriptor back.
func (c *Conn) releaseAndClose() error {
	c.listener.mu.Lock()
	c.release()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	over := c.evicted || c.closed
	c.mu.Unlock()
	if over {
		return 0, net.ErrClosed
	}
	for {
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.cancelExpiry() {
			continue
		}
		c.mu.Lock()
		if c.evicted || c.closed {
			n, err = 0, net.ErrClosed
		}
		if c.requestStart.IsZero() {
			c.requestStart = time.Now()
		}
		c.responseWritten = c.responseWritten && c.head.Size > 0
		c.head.Scan(p[:n])
		if n > 0 && c.expiring { // it came in the very instant
			c.expiring = false
			c.Conn.SetReadDeadline(c.readDeadline)
		}
		if n > 0 && c.awaitingResponse {
			c.watchDisconnect()
		}
		c.peerClosed = c.peerClosed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		c.mu.Unlock()
		if n > 0 {
			c.listener.recordActivity(c)
		}
		return n, err
	}
}

func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responseWritten = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// BeginRequest marks that a request is open; false says that its connection is closed already.
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

// RequestRead says that nothing came behind a request, whose body has this length (-1:
// unknown) and has been read. What is read from here on belongs to the next.
func (c *Conn) RequestRead(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	alone := length >= 0 && c.head.Size == c.head.HeadSize+length
	c.head, c.requestStart = httpmsg.HeadScanner{}, time.Time{}
	return alone
}

// EndRequest marks that the request has its whole answer.
func (c *Conn) EndRequest() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.released && c.waitingElement == nil && c.closingElement == nil {
		c.lastActivity = time.Now()
		c.waitingElement = c.listener.waiting.PushBack(c)
	}
}

// AmbiguousLength says whether the request's head states its body's length in two ways.
func (c *Conn) AmbiguousLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.ContentLengths > 1 || c.head.ContentLengths > 0 && c.head.TransferEncoding
}
