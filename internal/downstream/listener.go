package downstream

import (
	"container/list"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"oakproxy/internal/system"
)

// MaxRejected is how many connections beyond the limit may be open at a time while they are rejected. They use
// descriptors of the sidecar's reserve.
const MaxRejected = 4

// acceptErrorLogInterval is the least time between two log lines on failed accepts.
const acceptErrorLogInterval = time.Second

// Listener accepts the connections of clients, and bounds them as they are accepted: a limit that acts when a request
// comes would let silent connections use up the descriptors that attempts and discovery need.
//
// Accept is for one goroutine, that of net/http's Serve. All other methods are safe for concurrent use.
type Listener struct {
	net.Listener
	// Log records failed accepts. It may be nil. It is set before the first Accept.
	Log *slog.Logger
	// MaxConnections is the limit on open connections. Once Accept runs, SetLimits sets it, with mu held.
	MaxConnections int
	// MaxUsed is how many connections on which requests came may be kept open: see OverUsedLimit. Once Accept runs,
	// SetLimits sets it, with mu held.
	MaxUsed int

	mu                 sync.Mutex // guards what follows, and fields of Conn; taken before Conn.mu
	open               int        // connections that are counted
	used               int        // of those, the ones on which a request has come
	waiting            list.List  // of *Conn in stateWaiting; the one without a byte for longest is first
	closing            list.List  // of *Conn in stateClosing; the oldest is first
	closeCounts        CloseCounts
	acceptErrors       uint64
	lastAcceptErrorLog time.Time
}

// Accept returns the next connection, a *Conn. Beyond the limit a connection that carries nothing is evicted for it:
// one that is being closed, or else the one that has been silent for longest, whether idle or half-way through a
// head, since a slow client goes on writing. Where none carries nothing, the new connection gets a 503 and is closed.
// Accept goes on after an error of accept(2) that concerns the moment or one connection: net/http would end the
// service for some of them. It returns only errors after which no other call would do better, such as net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || system.IsErrno(err, system.FatalAcceptErrors) {
			return nil, err
		}
		if err != nil {
			l.recordAcceptError(err)
			time.Sleep(system.AcceptRetryDelay)
			continue
		}
		c := newConn(raw, l)
		switch l.admit(c) {
		case accepted:
			return c, nil
		case rejected:
			io.WriteString(raw, rejectionResponse) // the send buffer of a new connection takes it without waiting
			c.closeWithReason(closedConnectionLimit)
		case dropped:
			l.countClose(closedConnectionLimit)
			raw.Close()
		}
	}
}

// acceptDecision is what becomes of a new connection.
type acceptDecision uint8

const (
	accepted acceptDecision = iota
	rejected                // beyond the limit: it is counted until it has its 503 and is closed
	dropped                 // beyond MaxRejected too: it is closed at once and never counted as open
)

// admit counts a new connection and evicts those that have to go for it.
func (l *Listener) admit(c *Conn) acceptDecision {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.MaxConnections && l.evictOne() {
	}
	if l.open >= l.MaxConnections+MaxRejected {
		return dropped
	}
	withinLimit := l.open < l.MaxConnections
	if !withinLimit {
		l.setState(c, stateRejecting)
		return rejected
	}
	l.setState(c, stateWaiting)
	return accepted
}

// evictOne closes one connection that carries nothing, and reports whether there was one. The caller holds l.mu.
func (l *Listener) evictOne() bool {
	if e := l.closing.Front(); e != nil {
		c := e.Value.(*Conn)
		l.setState(c, stateReleased)
		c.Conn.Close()
		return true
	}
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c.tryEvict() {
			l.closeCounts[closedEvicted]++
			l.setState(c, stateReleased)
			c.Conn.Close()
			return true
		}
	}
	return false
}

// beginClosing marks that a connection is half-closed. It returns false where the connection is released already.
func (l *Listener) beginClosing(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.setState(c, stateClosing)
}

// SetLimits sets MaxConnections and MaxUsed, and expires as many silent connections as there are beyond the new limit.
func (l *Listener) SetLimits(maxConnections, maxUsed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.MaxConnections, l.MaxUsed = maxConnections, maxUsed
	excess := l.open - maxConnections
	for e := l.waiting.Front(); e != nil && excess > 0; e = e.Next() {
		e.Value.(*Conn).expireIfIdle()
		excess--
	}
}

// Limits returns the limits in force: MaxConnections and MaxUsed.
func (l *Listener) Limits() (maxConnections, maxUsed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.MaxConnections, l.MaxUsed
}

// OverUsedLimit reports whether requests have come on so many open connections that responses should close theirs. Some
// clients send one request and keep the connection for good, and all clients together may open only so many: kept here,
// these would leave none for the next request.
func (l *Listener) OverUsedLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used > l.MaxUsed
}

// Count returns the number of open connections, half-closed and rejected ones included.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// PartialBytes returns how many bytes have come of requests that are not complete yet.
func (l *Listener) PartialBytes() (bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		c.mu.Lock()
		bytes += c.head.Size
		c.mu.Unlock()
	}
	return bytes
}

// CloseCounts returns the number of connections closed so far, by reason.
func (l *Listener) CloseCounts() CloseCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeCounts
}

// ExpireIdle expires the connections that have had no request open and no byte for some time: minUsed for those on which
// requests came, minUnused for the others. A request that crosses the expiry is served.
func (l *Listener) ExpireIdle(minUsed, minUnused time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		minIdle := minUnused
		if c.used {
			minIdle = minUsed
		}
		if time.Since(c.lastActivity) >= minIdle {
			c.expireIfIdle()
		}
	}
}

// RejectPartial ends the connections on which a request has come in part and no more than that. Their clients get a
// 503.
func (l *Listener) RejectPartial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		e.Value.(*Conn).rejectIfPartial()
	}
}

// recordActivity marks that something has come on a connection.
func (l *Listener) recordActivity(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == stateWaiting {
		c.lastActivity = time.Now()
		l.waiting.MoveToBack(c.element)
	}
}

// recordAcceptError counts a failed accept, and logs one in each acceptErrorLogInterval at most.
func (l *Listener) recordAcceptError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptErrors++
	if l.Log != nil && time.Since(l.lastAcceptErrorLog) >= acceptErrorLogInterval {
		l.lastAcceptErrorLog = time.Now()
		l.Log.Warn("accept failed", "error", err, "total_failures", l.acceptErrors)
	}
}

// countClose counts a connection that ended for this reason.
func (l *Listener) countClose(reason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeCounts[reason]++
}
