package downstream

import (
	"io"
	"net"
	"time"

	"oakproxy/internal/system"
)

const (
	// closeTimeout is how long a client has to end its side after the sidecar has ended its own.
	closeTimeout = 500 * time.Millisecond
	// rejectionTimeout is for writing rejectionResponse.
	rejectionTimeout = 20 * time.Millisecond
	// rejectionResponse answers a client that has no handler: one beyond the connection limit, or one whose request
	// came in part before a termination.
	rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
		"Connection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// wakeReads is a deadline in the past: it ends a read that waits.
var wakeReads = time.Unix(1, 0)

// Close ends the connection. It is the one way in which a client's connection ends, but for an eviction. A connection
// that is closed over something unread is reset, and a response that the client has not read yet is lost with it. So
// the sidecar ends its own side, waits up to closeTimeout for the client to end its side, and closes then. It reads
// nothing meanwhile: a request that crosses the close is not served, and its client may send it again.
//
// Close does not wait, and always returns nil: a socket that is given up leaves nothing to do when closing it fails.
func (c *Conn) Close() error {
	c.closeWithReason(c.currentCloseReason())
	return nil
}

// currentCloseReason returns why net/http closes the connection now.
func (c *Conn) currentCloseReason() closeReason {
	c.listener.mu.Lock()
	waiting := c.state == stateWaiting
	c.listener.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.resetOnClose:
		return closedTruncated
	case c.peerClosed:
		return closedByClient
	case c.phase == phaseExpired:
		return closedDraining
	case waiting:
		return closedIdle
	}
	return closedAfterResponse
}

// closeWithReason closes the connection and counts why. Calls after the first do nothing.
func (c *Conn) closeWithReason(reason closeReason) {
	c.mu.Lock()
	evicted := c.phase == phaseEvicted // and counted as such
	atOnce := c.resetOnClose || c.peerClosed || evicted
	partial := c.rejectPartial && c.head.Size > 0 && c.head.HeadSize == 0 && !c.responseWritten
	first := c.setPhase(phaseClosed)
	c.mu.Unlock()
	if !first {
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
	c.listener.setState(c, stateReleased)
	c.listener.mu.Unlock()
	c.Conn.Close()
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
	c.setPhase(phaseEvicted) // unless Close was called already
	return true
}

// expireIfIdle has a connection end on which nothing has come since its latest request. It wakes the read that waits,
// and cancelExpiry decides there. It may be called again: net/http may have set a deadline of its own since the first
// call, and the read would wait on. The caller holds listener.mu.
func (c *Conn) expireIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Size > 0 {
		return
	}
	if c.phase == phaseExpiring || c.setPhase(phaseExpiring) {
		c.Conn.SetReadDeadline(wakeReads)
	}
}

// cancelExpiry decides what becomes of a connection whose read has met its deadline. It returns true where the deadline
// was that of expireIfIdle and something has come after all: a close would lose a request, so that the read goes on.
func (c *Conn) cancelExpiry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseExpiring {
		return false // the deadline was net/http's own, or the end of the connection is decided
	}
	nothingCame := c.head.Size == 0 && !system.Readable(c.Conn)
	pastDeadline := !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
	if nothingCame || pastDeadline {
		c.setPhase(phaseExpired)
		return false
	}
	c.setPhase(phaseOpen)
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
