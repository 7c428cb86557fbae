package downstream

import (
	"container/list"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/system"
)

// MaxRejected is the largest number of connections beyond Listener.MaxConnections that may be open at a time while they
// are being rejected. They use file descriptors that the sidecar keeps in reserve.
const MaxRejected = 4

// acceptErrorLogInterval is the minimum time between two log lines about failed accepts.
const acceptErrorLogInterval = time.Second

// Listener accepts the connections of clients and limits their number at accept. If the limit applied only once a
// request arrives, connections without requests could use up the file descriptors that attempts and discovery need.
//
// Accept must be called by one goroutine only, that of net/http's Serve. All other methods are safe for concurrent use.
type Listener struct {
	net.Listener
	// Log receives at most one line about failed accepts per acceptErrorLogInterval. Nil means that they are not logged.
	// Set it before the first Accept.
	Log *slog.Logger
	// Memory is the memory for what connections make the sidecar keep. Set it before the first Accept.
	Memory *httpmsg.MemoryBudgets
	// MaxConnections is the limit on open connections. Once Accept was called, only SetLimits changes it, with mu held.
	MaxConnections int
	// MaxUsed is the limit on open connections that have carried a request: see OverUsedLimit. Once Accept was called,
	// only SetLimits changes it, with mu held.
	MaxUsed int

	mu                 sync.Mutex // guards the fields below and some fields of Conn; taken before Conn.mu
	open               int        // the number of open connections, rejected and half-closed ones included
	used               int        // the number of open connections that have carried a request and its response
	waiting            list.List  // every *Conn in stateWaiting, ordered by lastActivity, the earliest first
	closing            list.List  // every *Conn in stateClosing, ordered by the time of the half-close, the earliest first
	closeCounts        CloseCounts
	acceptErrors       uint64
	lastAcceptErrorLog time.Time

	gate system.PauseGate // paused while no connection is accepted
}

// Accept returns the next connection, which is a *Conn. If the limit is reached, Accept makes room by evicting a
// connection that carries no request: one that is being closed or, if there is none, the one that has been silent for
// longest. A silent connection may be idle or have sent a part of a request head. A client that is merely slow keeps
// sending, so its connection is not silent for long. If no connection can be evicted, the new one gets a 503 and is
// closed.
//
// After an error of accept(2) that is transient or concerns one connection, Accept tries again, because net/http would
// stop serving after some of these errors. It returns only errors after which no later call can succeed, such as
// net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.gate.Wait()
		raw, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // accepting was paused
			continue
		}
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
			io.WriteString(raw, rejectionResponse) // does not block: it fits the empty send buffer of a new connection
			c.closeWithReason(closedConnectionLimit)
		case dropped:
			l.countClose(closedConnectionLimit)
			raw.Close()
		}
	}
}

// acceptDecision is the decision of admit on a new connection.
type acceptDecision uint8

const (
	accepted acceptDecision = iota
	rejected                // the limit is reached: the connection gets a 503, and counts as open until it is closed
	dropped                 // MaxRejected is reached, too: the connection is closed at once and never counted as open
)

// admit decides on a new connection. It counts the connection as open if it returns accepted or rejected. It evicts
// other connections if that is needed to stay within the limit.
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

// minUsedIdle is how long a connection that has carried a request is kept open without the next one. The protocol allows
// closing it after that time.
const minUsedIdle = 2 * time.Second

// evictOne closes one connection that carries no request, and reports whether there was one. The connections that clients
// use are kept, up to twice MaxUsed: a crowd of new connections must not cost clients the ones that they have. The caller
// holds l.mu.
func (l *Listener) evictOne() bool {
	if e := l.closing.Front(); e != nil {
		c := e.Value.(*Conn)
		l.setState(c, stateReleased)
		c.Conn.Close()
		return true
	}
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		inUse := c.used && l.used <= 2*l.MaxUsed && time.Since(c.lastActivity) < minUsedIdle
		if !inUse && c.tryEvict() {
			l.closeCounts[closedEvicted]++
			l.setState(c, stateReleased)
			c.Conn.Close()
			return true
		}
	}
	return false
}

// beginClosing marks that a connection is half-closed. It returns false if the connection was already released.
func (l *Listener) beginClosing(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.setState(c, stateClosing)
}

// SetLimits sets MaxConnections and MaxUsed. If more than maxConnections connections are open, it selects as many as
// exceed the limit from those without an open request, the longest silent first. It starts the expiry of each selected
// connection, except those on which a part of a request has arrived.
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

// OverUsedLimit reports whether too many open connections have carried a request, so that the response on c should close
// c. Some clients send one request and then keep the connection open indefinitely. The number of connections that all
// clients together may open is limited, so such connections would leave none for the next request. Beyond MaxUsed, only
// connections on their first request are closed; beyond twice MaxUsed, all are.
func (l *Listener) OverUsedLimit(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := l.used
	if !c.used {
		used++
	}
	return used > l.MaxUsed && (c.Requests <= 1 || used > 2*l.MaxUsed)
}

// Count returns the number of open connections, half-closed and rejected ones included.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// PartialBytes returns how many bytes were read of requests whose handlers have not begun yet.
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

// ExpireIdle starts the expiry of connections that have had no open request and received no bytes for some time:
// minUsed for connections that have carried a request, minUnused for all others. A request that arrives during the
// expiry is served.
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

// RejectPartial closes the connections that have received only a part of a request head. Their clients get a 503.
func (l *Listener) RejectPartial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		e.Value.(*Conn).rejectIfPartial()
	}
}

// recordActivity records that bytes were read from a connection.
func (l *Listener) recordActivity(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == stateWaiting {
		c.lastActivity = time.Now()
		l.waiting.MoveToBack(c.listElement)
	}
}

// recordAcceptError counts a failed accept, and logs at most one per acceptErrorLogInterval.
func (l *Listener) recordAcceptError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptErrors++
	if l.Log != nil && time.Since(l.lastAcceptErrorLog) >= acceptErrorLogInterval {
		l.lastAcceptErrorLog = time.Now()
		l.Log.Warn("accept failed", "error", err, "total_failures", l.acceptErrors)
	}
}

// countClose counts a connection that was closed for the given reason.
func (l *Listener) countClose(reason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeCounts[reason]++
}
