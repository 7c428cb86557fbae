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

// Listener is the listener of the application's side. It bounds the connections
// as they are accepted: a limit that acts when a request comes would let silent
// connections use up the descriptors that attempts and discovery need.
type Listener struct {
	net.Listener
	Log            *slog.Logger // may be nil
	MaxConnections int
	MaxUsed        int

	mu      sync.Mutex
	open    int
	asked   int       // of those, the ones that a request has come on
	waiting list.List // of *clientConn, with no whole request; the longest without a byte first
	closing list.List // of *clientConn, half-closed until the client ends its side; oldest first
	closes  CloseCounts
	failed  uint64    // accepts
	logged  time.Time // the latest of them that the log has
}

const (
	closeDrain       = 500 * time.Millisecond // for a client to end its side after the sidecar has
	maxDrainBytes    = 1 << 20                // bytes read behind a request, to find its client's end
	rejectionTimeout = 20 * time.Millisecond  // for writing a rejection
	MaxRejected      = 4                      // connections beyond the limit that are told so; out of reservedSockets
	rejection        = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// Accept returns the next connection. Beyond the limit one that carries nothing makes
// room: one that is being closed, or the one that has been silent for longest, whether idle
// or half-way through a head: a slow client goes on writing. Where all have a request open
// or something to read, the new one is told that there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || system.IsErrno(err, system.FatalAcceptErrors) {
			return nil, err
		}
		if err != nil { // of this moment, or of one connection: net/http would end the service for some of them
			l.acceptFailed(err)
			time.Sleep(system.AcceptRetryDelay)
			continue
		}
		accepted := time.Now()
		c := &Conn{Conn: raw, owner: l, AcceptedAt: accepted, begun: accepted}
		switch l.admit(c) {
		case admitted:
			return c, nil
		case rejected:
			io.WriteString(raw, rejection) // it has room for that
			c.closeFor(closedNoRoom)
		case dropped:
			l.closed(closedNoRoom)
			raw.Close()
		}
	}
}

// admission is what becomes of a new connection.
type admission uint8

const (
	admitted admission = iota
	rejected           // there is no room but for saying so
	dropped            // nor for that
)

// admit counts a new connection in and closes those that must go for it.
func (l *Listener) admit(c *Conn) admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.MaxConnections && l.evict() {
	}
	if l.open >= l.MaxConnections+MaxRejected {
		return dropped
	}
	room := l.open < l.MaxConnections
	l.open++
	c.since = time.Now()
	if !room {
		return rejected
	}
	c.place = l.waiting.PushBack(c)
	return admitted
}

// evict closes one connection that carries nothing. It holds l.mu.
func (l *Listener) evict() bool {
	if e := l.closing.Front(); e != nil {
		c := e.Value.(*Conn)
		c.leave()
		c.Conn.Close()
		return true
	}
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c.giveWay() {
			l.closes[closedForRoom]++
			c.leave()
			c.Conn.Close()
			return true
		}
	}
	return false
}

// SetLimits sets the most connections, and has silent ones beyond that end.
func (l *Listener) SetLimits(most, maxAsked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.MaxConnections, l.MaxUsed = most, maxAsked
	over := l.open - most
	for e := l.waiting.Front(); e != nil && over > 0; e = e.Next() {
		e.Value.(*Conn).expire()
		over--
	}
}

// Crowded says that so many connections have been asked on that answers should
// end theirs. Some clients ask once and keep the connection for good, and clients
// may hold only so many: kept here, these would leave none for the next request.
func (l *Listener) Crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked > l.MaxUsed
}

// Count returns the number of open connections.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// acceptFailed counts a failed accept, and records one a second at most.
func (l *Listener) acceptFailed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
	if l.Log != nil && time.Since(l.logged) >= time.Second {
		l.logged = time.Now()
		l.Log.Warn("accept failed", "error", err, "total_failures", l.failed)
	}
}

// closed counts a connection that ended for this reason.
func (l *Listener) closed(reason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closes[reason]++
}

// CloseCounts returns the connections closed so far, by reason.
func (l *Listener) CloseCounts() CloseCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closes
}

// heard marks that a connection was not silent just now.
func (l *Listener) heard(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.place != nil {
		c.since = time.Now()
		l.waiting.MoveToBack(c.place)
	}
}

// CloseIdle has connections end that have had no request open for so long: those that
// requests came on for quiet, others for silent. A request that crosses is taken.
func (l *Listener) CloseIdle(quiet, silent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		least := silent
		if c.asked {
			least = quiet
		}
		if time.Since(c.since) >= least {
			c.expire()
		}
	}
}

// RejectPartial ends connections on which a request has come in part and no more than that, with a refusal.
func (l *Listener) RejectPartial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		e.Value.(*Conn).interrupt()
	}
}

// drainLater marks that a connection is half-closed, unless it is closed already.
func (l *Listener) drainLater(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.gone {
		return false
	}
	if c.place != nil {
		l.waiting.Remove(c.place)
		c.place = nil
	}
	c.drained = l.closing.PushBack(c)
	return true
}

// Limits returns the bounds in force: on connections, and on those that a request has come on.
func (l *Listener) Limits() (most, maxAsked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.MaxConnections, l.MaxUsed
}

// PartialBytes returns how many bytes have come of requests that are not whole yet.
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
