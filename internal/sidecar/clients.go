package sidecar

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// clients is the listener of the application's side. It bounds the connections
// as they are accepted: a limit that acts when a request comes would let silent
// connections use up the descriptors that attempts and discovery need.
type clients struct {
	net.Listener
	most      int
	mostAsked int

	mu      sync.Mutex
	open    int
	asked   int       // of those, the ones that a request has come on
	waiting list.List // of *clientConn, with no whole request; the longest without a byte first
}

// Accept returns the next connection. Beyond the limit the one that has been silent
// for longest makes room, whether idle or half-way through a request: a slow client
// goes on writing. Where all have a request open, the new one is closed.
func (l *clients) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &clientConn{Conn: raw, owner: l, begun: time.Now()}
		if old, ok := l.admit(c); ok {
			if old != nil {
				old.Conn.Close()
			}
			return c, nil
		}
		raw.Close()
	}
}

// admit counts a new connection in and names the one that must go for it, if any.
func (l *clients) admit(c *clientConn) (old *clientConn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.most {
		longest := l.waiting.Front()
		if longest == nil {
			return nil, false
		}
		old = longest.Value.(*clientConn)
		old.leave()
	}
	l.open++
	c.since = time.Now()
	c.place = l.waiting.PushBack(c)
	return old, true
}

// limit sets the most connections, and has silent ones beyond that end.
func (l *clients) limit(most, mostAsked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most, l.mostAsked = most, mostAsked
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
	return l.asked > l.mostAsked
}

// count returns the number of open connections.
func (l *clients) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
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

// clientConn is one connection of a client. It carries one request at a time.
type clientConn struct {
	net.Conn
	owner *clients
	place *list.Element // in owner.waiting; nil while a request is open
	since time.Time     // it has waited without a byte
	asked bool          // a request has come on it
	left  bool          // no longer counted

	mu      sync.Mutex // net/http reads on while a handler runs
	head    headScan
	begun   time.Time // of the request that is being read: of the first one with the connection
	readBy  time.Time // the deadline that net/http has set
	expired bool      // it is to end unless something has come
}

// expire ends a connection on which nothing has come since its last request. It
// wakes the read that waits there, and Read has the last word.
func (c *clientConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.size == 0 {
		c.expired = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// spared says that a connection which was to end has got something to read after
// all: closed now, it would take a request along.
func (c *clientConn) spared() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired {
		return false // the deadline was net/http's own
	}
	c.expired = false
	if c.head.size == 0 && !readable(c.Conn) || !c.readBy.IsZero() && !time.Now().Before(c.readBy) {
		return false
	}
	c.Conn.SetReadDeadline(c.readBy)
	return true
}

func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy = t
	return c.Conn.SetReadDeadline(t)
}

// gone says that the client has ended its side, as far as that can be seen: behind bytes
// that were not read yet it can't.
func (c *clientConn) gone() bool { return peek(c.Conn) == ended }

// boundBuffer bounds what the system takes of an answer before the client does, so
// that a write tells in time whether the client still reads.
func (c *clientConn) boundBuffer(size int) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetWriteBuffer(size)
	}
}

// cut has the connection end in a reset, so that what it carried is not taken for
// whole where only its end would tell.
func (c *clientConn) cut() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
}

// leave ends the counting of a connection. It holds owner.mu.
func (c *clientConn) leave() {
	if c.left {
		return
	}
	c.left = true
	c.owner.open--
	if c.asked {
		c.owner.asked--
	}
	if c.place != nil {
		c.owner.waiting.Remove(c.place)
		c.place = nil
	}
}

func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	c.leave()
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.spared() {
			continue
		}
		c.mu.Lock()
		if c.begun.IsZero() {
			c.begun = time.Now()
		}
		c.head.scan(p[:n])
		c.mu.Unlock()
		if n > 0 {
			c.owner.heard(c)
		}
		return n, err
	}
}

// begin marks that a request is open; false says that its connection has just had
// to make room.
func (c *clientConn) begin() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.left {
		return false
	}
	c.owner.waiting.Remove(c.place)
	c.place = nil
	if !c.asked {
		c.asked = true
		c.owner.asked++
	}
	return true
}

// alone says that nothing came behind a request, whose body has this length (-1:
// unknown) and has been read. What is read from here on belongs to the next.
func (c *clientConn) alone(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	alone := length >= 0 && c.head.size == c.head.end+length
	c.head, c.begun = headScan{}, time.Time{}
	return alone
}

// done marks that the request has its whole answer.
func (c *clientConn) done() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if !c.left && c.place == nil {
		c.since = time.Now()
		c.place = c.owner.waiting.PushBack(c)
	}
}

// ambiguous says whether the request's head states its body's length in two ways.
func (c *clientConn) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.lengths > 1 || c.head.lengths > 0 && c.head.coding
}

// headScan looks at the bytes of a message for what net/http hides: where a head
// has both Content-Length and Transfer-Encoding, the former is dropped without a
// word, and what one reader takes for the body another takes for a request.
type headScan struct {
	line    []byte // start of the current line
	started bool   // a line with something on it has come
	lengths int    // Content-Length was there so often
	coding  bool   // Transfer-Encoding was there
	closing bool   // Connection: close was there
	size    int64  // of all that came
	end     int64  // size at the end of the head; 0 before
}

var (
	lengthName = []byte("content-length:")
	codingName = []byte("transfer-encoding:")
	endName    = []byte("connection:")
)

// lineKept is as much of a line as is looked at.
const lineKept = 64

func (h *headScan) scan(p []byte) {
	start := h.size
	h.size += int64(len(p))
	for rest := p; h.end == 0 && len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte("\n"))
		if room := lineKept - len(h.line); room > 0 {
			h.line = append(h.line, line[:min(room, len(line))]...)
		}
		if rest = after; !ended {
			return
		}
		lower := bytes.ToLower(bytes.TrimSuffix(h.line, []byte("\r")))
		if bytes.HasPrefix(lower, lengthName) {
			h.lengths++
		}
		h.coding = h.coding || bytes.HasPrefix(lower, codingName)
		if value, ok := bytes.CutPrefix(lower, endName); ok {
			h.closing = h.closing || bytes.Contains(value, []byte("close"))
		}
		// net/http skips empty lines ahead of a request.
		if len(lower) > 0 {
			h.started = true
		} else if h.started {
			h.end = start + int64(len(p)-len(rest))
		}
		h.line = h.line[:0]
	}
}
