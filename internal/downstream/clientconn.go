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
	owner    *Listener
	place    *list.Element // in owner.waiting; nil while a request is open
	drained  *list.Element // in owner.closing, once half-closed
	since    time.Time     // it has waited without a byte
	asked    bool          // a request has come on it
	Requests int           // requests that have come on it
	gone     bool          // no longer counted

	AcceptedAt time.Time

	mu      sync.Mutex    // net/http reads on while a handler runs
	evicted bool          // it had to make room: what comes now is not read
	ended   bool          // the client has ended its side, or the connection is broken
	resets  bool          // it is to end in a reset
	closed  bool          // Close was called
	inHand  bool          // a whole request has come and its answer has not begun
	behind  bool          // something came behind that request, which nobody will answer
	left    chan struct{} // closed when the client ends its side behind that; nil before
	head    httpmsg.HeadScanner
	begun   time.Time // of the request that is being read: of the first one with the connection
	readBy  time.Time // the deadline that net/http has set
	expired bool      // it is to end unless something has come
	swept   bool      // it was closed for that

	interrupted bool // a request that came in part is to be refused
	replied     bool // something was written since the request that is being read began
}

// expire ends a connection on which nothing has come since its last request. It
// wakes the read that waits there, and Read has the last word.
func (c *Conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Size == 0 {
		c.expired = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// interrupt ends the read of a request that has come in part.
func (c *Conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Size > 0 {
		c.interrupted = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// spared says that a connection which was to end has got something to read after
// all: closed now, it would take a request along.
func (c *Conn) spared() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired {
		return false // the deadline was net/http's own
	}
	c.expired = false
	if c.head.Size == 0 && !system.Readable(c.Conn) || !c.readBy.IsZero() && !time.Now().Before(c.readBy) {
		c.swept = true
		return false
	}
	c.Conn.SetReadDeadline(c.readBy)
	return true
}

func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy = t
	return c.Conn.SetReadDeadline(t)
}

// giveWay says whether a connection carries nothing and may be closed for another: with
// nothing to read, and less than a head read since its last request.
// From then on nothing is read of it: a request that crosses is the client's to repeat.
func (c *Conn) giveWay() bool {
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
	c.inHand, c.left = true, make(chan struct{})
	if !alone || c.head.Size > 0 {
		c.readBehind()
	}
	return c.left
}

// BeginResponse marks that the answer begins, and says whether something came behind the request.
func (c *Conn) BeginResponse() (behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHand = false
	return c.behind
}

// readBehind reads on until the client ends its side or the connection is closed, which
// it is after the answer. It holds c.mu.
func (c *Conn) readBehind() {
	if c.behind {
		return
	}
	c.behind = true
	go func() {
		err := c.drain(maxDrainBytes)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.ended = true
			close(c.left)
		}
	}()
}

// drain reads so many bytes and forgets them, or returns the error that ended that.
func (c *Conn) drain(most int) error {
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
	known := c.ended
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

// boundBuffer bounds what the system takes of an answer before the client does, so
// that a write tells in time whether the client still reads.
func (c *Conn) boundBuffer(size int) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetWriteBuffer(size)
	}
}

// ResetOnClose has the connection end in a reset, so that what it carried is not taken for
// whole where only its end would tell.
func (c *Conn) ResetOnClose() {
	c.mu.Lock()
	c.resets = true
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

// leave ends the counting of a connection. It holds owner.mu.
func (c *Conn) leave() {
	if c.gone {
		return
	}
	c.gone = true
	c.owner.open--
	if c.asked {
		c.owner.asked--
	}
	if c.place != nil {
		c.owner.waiting.Remove(c.place)
		c.place = nil
	}
	if c.drained != nil {
		c.owner.closing.Remove(c.drained)
		c.drained = nil
	}
}

// Close is the one way in which a client's connection ends, but for one that gives way.
// Closed over something unread the connection would be reset, and an answer that the client
// has not read yet would go with it: the sidecar ends its side, waits until the client has
// ended its own, for a while, and closes then. It reads nothing any more: a request that
// crosses is not taken, and its client may send it again.
func (c *Conn) Close() error { return c.closeFor(c.reason()) }

// reason says why net/http closes the connection now.
func (c *Conn) reason() closeReason {
	c.owner.mu.Lock()
	waiting := c.place != nil
	c.owner.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.resets:
		return closedBroken
	case c.ended:
		return closedByClient
	case c.swept:
		return closedLeaving
	case waiting:
		return closedIdle
	}
	return closedAnswered
}

// closeFor closes the connection and counts why.
func (c *Conn) closeFor(reason closeReason) error {
	c.mu.Lock()
	again, now := c.closed, c.resets || c.ended || c.evicted
	counted, partial := c.evicted, c.interrupted && c.head.Size > 0 && c.head.HeadSize == 0 && !c.replied
	c.closed = true
	c.mu.Unlock()
	if again {
		return nil
	}
	if !counted {
		c.owner.closed(reason)
	}
	if partial {
		c.Conn.SetWriteDeadline(time.Now().Add(rejectionTimeout))
		io.WriteString(c.Conn, rejection)
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if now || !ok || half.CloseWrite() != nil || !c.owner.drainLater(c) {
		return c.finish()
	}
	go func() {
		c.Conn.SetReadDeadline(time.Now().Add(closeDrain))
		system.AwaitPeerClosed(c.Conn)
		c.finish()
	}()
	return nil
}

// finish ends the counting of a connection and gives its descriptor back.
func (c *Conn) finish() error {
	c.owner.mu.Lock()
	c.leave()
	c.owner.mu.Unlock()
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
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.spared() {
			continue
		}
		c.mu.Lock()
		if c.evicted || c.closed {
			n, err = 0, net.ErrClosed
		}
		if c.begun.IsZero() {
			c.begun = time.Now()
		}
		c.replied = c.replied && c.head.Size > 0
		c.head.Scan(p[:n])
		if n > 0 && c.expired { // it came in the very instant
			c.expired = false
			c.Conn.SetReadDeadline(c.readBy)
		}
		if n > 0 && c.inHand {
			c.readBehind()
		}
		c.ended = c.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		c.mu.Unlock()
		if n > 0 {
			c.owner.heard(c)
		}
		return n, err
	}
}

func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.replied = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// BeginRequest marks that a request is open; false says that its connection is closed already.
func (c *Conn) BeginRequest() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.gone || c.place == nil {
		return false
	}
	c.owner.waiting.Remove(c.place)
	c.place = nil
	c.Requests++
	if !c.asked {
		c.asked = true
		c.owner.asked++
	}
	return true
}

// RequestRead says that nothing came behind a request, whose body has this length (-1:
// unknown) and has been read. What is read from here on belongs to the next.
func (c *Conn) RequestRead(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	alone := length >= 0 && c.head.Size == c.head.HeadSize+length
	c.head, c.begun = httpmsg.HeadScanner{}, time.Time{}
	return alone
}

// EndRequest marks that the request has its whole answer.
func (c *Conn) EndRequest() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if !c.gone && c.place == nil && c.drained == nil {
		c.since = time.Now()
		c.place = c.owner.waiting.PushBack(c)
	}
}

// AmbiguousLength says whether the request's head states its body's length in two ways.
func (c *Conn) AmbiguousLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.ContentLengths > 1 || c.head.ContentLengths > 0 && c.head.TransferEncoding
}
