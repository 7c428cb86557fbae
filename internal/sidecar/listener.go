package sidecar

import (
	"container/list"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"
)

// clients is the listener of the application's side. It bounds the connections
// as they are accepted: a limit that acts when a request comes would let silent
// connections use up the descriptors that attempts and discovery need.
type clients struct {
	net.Listener
	log      *slog.Logger // may be nil
	most     int
	maxAsked int

	mu      sync.Mutex
	open    int
	asked   int       // of those, the ones that a request has come on
	waiting list.List // of *clientConn, with no whole request; the longest without a byte first
	closing list.List // of *clientConn, half-closed until the client ends its side; oldest first
	closes  closeCounts
	failed  uint64    // accepts
	logged  time.Time // the latest of them that the log has
}

const (
	closeDrain       = 500 * time.Millisecond // for a client to end its side after the sidecar has
	maxDrainBytes    = 1 << 20                // bytes read behind a request, to find its client's end
	rejectionTimeout = 20 * time.Millisecond  // for writing a rejection
	maxRejected      = 4                      // connections beyond the limit that are told so; out of socketSpare
	rejection        = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// Accept returns the next connection. Beyond the limit one that carries nothing makes
// room: one that is being closed, or the one that has been silent for longest, whether idle
// or half-way through a head: a slow client goes on writing. Where all have a request open
// or something to read, the new one is told that there is no room.
func (l *clients) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || isOneOf(err, brokenListener) {
			return nil, err
		}
		if err != nil { // of this moment, or of one connection: net/http would end the service for some of them
			l.acceptFailed(err)
			time.Sleep(acceptPause)
			continue
		}
		accepted := time.Now()
		c := &clientConn{Conn: raw, owner: l, accepted: accepted, begun: accepted}
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
func (l *clients) admit(c *clientConn) admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.most && l.evict() {
	}
	if l.open >= l.most+maxRejected {
		return dropped
	}
	room := l.open < l.most
	l.open++
	c.since = time.Now()
	if !room {
		return rejected
	}
	c.place = l.waiting.PushBack(c)
	return admitted
}

// evict closes one connection that carries nothing. It holds l.mu.
func (l *clients) evict() bool {
	if e := l.closing.Front(); e != nil {
		c := e.Value.(*clientConn)
		c.leave()
		c.Conn.Close()
		return true
	}
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); c.giveWay() {
			l.closes[closedForRoom]++
			c.leave()
			c.Conn.Close()
			return true
		}
	}
	return false
}

// limit sets the most connections, and has silent ones beyond that end.
func (l *clients) limit(most, maxAsked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most, l.maxAsked = most, maxAsked
	over := l.open - most
	for e := l.waiting.Front(); e != nil && over > 0; e = e.Next() {
		e.Value.(*clientConn).expire()
		over--
	}
}

// crowded says that so many connections have been asked on that answers should
// end theirs. Some clients ask once and keep the connection for good, and clients
// may hold only so many: kept here, these would leave none for the next request.
func (l *clients) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked > l.maxAsked
}

// count returns the number of open connections.
func (l *clients) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// acceptFailed counts a failed accept, and records one a second at most.
func (l *clients) acceptFailed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
	if l.log != nil && time.Since(l.logged) >= time.Second {
		l.logged = time.Now()
		l.log.Warn("accept failed", "error", err, "total_failures", l.failed)
	}
}

// closed counts a connection that ended for this reason.
func (l *clients) closed(reason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closes[reason]++
}

// closeCounts returns the connections closed so far, by reason.
func (l *clients) closeCounts() closeCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closes
}

// heard marks that a connection was not silent just now.
func (l *clients) heard(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.place != nil {
		c.since = time.Now()
		l.waiting.MoveToBack(c.place)
	}
}

// sweep has connections end that have had no request open for so long: those that
// requests came on for quiet, others for silent. A request that crosses is taken.
func (l *clients) sweep(quiet, silent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		least := silent
		if c.asked {
			least = quiet
		}
		if time.Since(c.since) >= least {
			c.expire()
		}
	}
}

// refusePartial ends connections on which a request has come in part and no more than that, with a refusal.
func (l *clients) refusePartial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).interrupt()
	}
}

// drainLater marks that a connection is half-closed, unless it is closed already.
func (l *clients) drainLater(c *clientConn) bool {
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

// limits returns the bounds in force: on connections, and on those that a request has come on.
func (l *clients) limits() (most, maxAsked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most, l.maxAsked
}

// partialBytes returns how many bytes have come of requests that are not whole yet.
func (l *clients) partialBytes() (bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		c.mu.Lock()
		bytes += c.head.size
		c.mu.Unlock()
	}
	return bytes
}
