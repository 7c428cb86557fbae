package downstream

import (
	"io"
	"net"
	"time"

	"oakproxy/internal/system"
)

const (
	// closeTimeout is how long the sidecar, having closed its own side, waits for the client to close the other side.
	closeTimeout = 500 * time.Millisecond
	// rejectionTimeout limits the writing of rejectionResponse.
	rejectionTimeout = 20 * time.Millisecond
	// rejectionResponse is the response to a client for which no handler runs: one whose connection exceeds the
	// connection limit, one whose request was only partly received at a termination, or one for whose request head
	// there is no memory.
	rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
		"Connection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// expiredDeadline is a deadline in the past. Setting it as the read deadline wakes a read that is waiting.
var expiredDeadline = time.Unix(1, 0)

// Close closes the connection. Every connection that Accept returns is closed by a call of Close, unless the listener
// has evicted it.
//
// The kernel resets a connection that is closed with unread bytes, and a response that the client has not read yet is
// lost then. Therefore Close closes the sidecar's side first, and a goroutine closes the socket once the client has
// closed its side, or after closeTimeout. Nothing is read in between: a request that the client sends during that time
// is not served, and the client may safely send it again.
//
// Close does not block, and always returns nil: nothing can be done if closing the abandoned socket fails.
func (c *Conn) Close() error {
	c.closeWithReason(c.currentCloseReason())
	return nil
}

// currentCloseReason returns the reason for which net/http is closing the connection.
func (c *Conn) currentCloseReason() closeReason {
	c.listener.mu.Lock()
	waiting := c.state == stateWaiting
	c.listener.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.relaying:
		return closedTruncated
	case c.headRefused:
		return closedHeadMemory
	case c.peerClosed:
		return closedByClient
	case c.phase == phaseExpired:
		return closedDraining
	case waiting:
		return closedIdle
	}
	return closedAfterResponse
}

// closeWithReason closes the connection and counts the close under reason. Calls after the first do nothing.
func (c *Conn) closeWithReason(reason closeReason) {
	c.mu.Lock()
	evicted := c.phase == phaseEvicted // if so, evictOne has counted the close
	closeNow := c.relaying || c.peerClosed || evicted
	partial := c.rejectPartial && c.head.Size > 0 && c.head.HeadSize == 0
	sendRejection := (partial || c.headRefused) && !c.responseWritten
	firstCall := c.setPhase(phaseClosed)
	c.releaseHeadMemory()
	c.mu.Unlock()
	if !firstCall {
		return
	}
	if !evicted {
		c.listener.countClose(reason)
	}
	if sendRejection {
		c.Conn.SetWriteDeadline(time.Now().Add(rejectionTimeout))
		io.WriteString(c.Conn, rejectionResponse)
	}
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if closeNow || !ok || halfCloser.CloseWrite() != nil || !c.listener.beginClosing(c) {
		c.releaseAndClose()
		return
	}
	go func() {
		c.Conn.SetReadDeadline(time.Now().Add(closeTimeout))
		system.AwaitPeerClosed(c.Conn)
		c.releaseAndClose()
	}()
}

// releaseAndClose stops counting the connection as open and releases its file descriptor.
func (c *Conn) releaseAndClose() {
	c.listener.mu.Lock()
	c.listener.setState(c, stateReleased)
	c.listener.mu.Unlock()
	c.Conn.Close()
}

// beginRelay marks that the response is incomplete until endRelay is called. If the connection ends before that, it
// ends with a reset, whether Close is called or the process is killed. Otherwise, a client that recognizes the end of
// its response only by the end of the connection would take a truncated response for a complete one.
func (c *Conn) beginRelay() { c.setRelaying(true, lingerReset) }

// endRelay marks that the last byte of the response has been written.
func (c *Conn) endRelay() { c.setRelaying(false, lingerDefault) }

// Values of the socket option SO_LINGER, in seconds. The kernel applies the option to each way of closing the socket.
const (
	lingerDefault = -1 // the kernel sends what has been written, and then the end of the connection
	lingerReset   = 0  // the kernel resets the connection
)

// setRelaying sets the field relaying and the socket option SO_LINGER.
func (c *Conn) setRelaying(relaying bool, linger int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relaying = relaying
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(linger)
	}
}

// Relaying reports whether a relayed response has begun and is incomplete.
func (c *Conn) Relaying() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relaying
}

// tryEvict marks the connection as evicted if it can be evicted without losing a request: the socket has nothing to
// read, and no complete head was read since the last complete request. It returns false, and changes nothing, if the
// connection cannot be evicted. If it returns true, nothing more is read from the connection and the caller must close
// it. The caller holds listener.mu.
func (c *Conn) tryEvict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.HeadSize > 0 || system.Readable(c.Conn) {
		return false
	}
	c.setPhase(phaseEvicted) // has no effect if Close was called already
	return true
}

// expireIfIdle starts the expiry of the connection if nothing was read from it since the last complete request. It
// wakes the waiting read, which calls cancelExpiry to decide whether the connection is closed. The caller holds
// listener.mu.
func (c *Conn) expireIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Size > 0 {
		return
	}
	if c.phase == phaseExpiring || c.setPhase(phaseExpiring) {
		c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// cancelExpiry is called when a read has reached its deadline. It returns true if the deadline was set by expireIfIdle
// and bytes have arrived nevertheless. Closing the connection would then lose a request, so the caller must repeat the
// read. If no bytes have arrived, or the deadline in c.readDeadline has passed, too, cancelExpiry completes the expiry
// and returns false. It also returns false if the connection is not expiring.
func (c *Conn) cancelExpiry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseExpiring {
		return false // the deadline was not that of an expiry, or the connection was evicted or closed meanwhile
	}
	nothingArrived := c.head.Size == 0 && !system.Readable(c.Conn)
	pastDeadline := !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
	if nothingArrived || pastDeadline {
		c.setPhase(phaseExpired)
		return false
	}
	c.setPhase(phaseOpen)
	c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// rejectIfPartial wakes the read of a request head that was partly received, so that net/http closes the connection.
// Close then writes rejectionResponse. rejectIfPartial does nothing if no part of a request was read. The caller holds
// listener.mu.
func (c *Conn) rejectIfPartial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Size > 0 {
		c.rejectPartial = true
		c.Conn.SetReadDeadline(expiredDeadline)
	}
}
