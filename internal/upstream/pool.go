package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"time"

	"oakproxy/internal/system"
)

// The connections to endpoints: how many there are, and which one a request or a probe takes.

const (
	defaultReuseDelay   = 20 * time.Millisecond // a connection rests after an answer: a second one comes some milliseconds late
	probeReserveDivisor = 4                     // one in so many connections is left to requests
)

// Counts tells of connections to endpoints: those open now and, since the start, those dialled, those that
// never came up, and the attempts and probes that found no room for one.
type Counts struct {
	Open                        int
	DialTime                    time.Duration
	Dials, Failed, LimitReached uint64
}

func (u *Client) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Counts{u.open, u.dialTime, u.dials, u.failedDials, u.limitReached}
}

// Endpoint is one life of an endpoint at one address. It is closed for good once
// the endpoint is told draining or gone, or has restarted.
type Endpoint struct {
	Address   string
	StartedMS int64
	closed    bool // under upstream.mu
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	endpoint     *Endpoint
	reader       *bufio.Reader
	limit        io.LimitedReader // of an answer
	ctx          context.Context  // of the attempt
	stallTimeout time.Duration    // without a byte, until a read is given up; 0: no limit
	idleSince    time.Time
	used         bool // it has carried a request before
}

// connect returns the connection to t that was used last, or opens one.
func (u *Client) connect(ctx context.Context, t *Endpoint, probe bool) (*conn, error) {
	c, err := u.reserve(t, probe)
	if c != nil || err != nil {
		return c, err
	}
	start := time.Now()
	dialer := u.currentDialer()
	var raw net.Conn
	err = system.Retry(ctx, system.DialRetryTimeout, system.DialRetryDelay, system.IsShortage, func() error {
		raw, err = dialer.DialContext(ctx, "tcp", t.Address)
		return err
	})
	u.mu.Lock()
	u.dialTime += time.Since(start)
	if err != nil {
		u.open--
		u.failedDials++
	}
	u.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return newConn(raw, t), nil
}

func newConn(raw net.Conn, t *Endpoint) *conn {
	c := &conn{Conn: raw, endpoint: t}
	c.limit.R = c
	c.reader = bufio.NewReaderSize(&c.limit, maxResponseHeadBytes)
	return c
}

// currentDialer returns the dialer with the time-out in force.
func (u *Client) currentDialer() net.Dialer {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Dialer
}

// reserve returns an idle connection, or none with the right to open one. Where lists
// are long, probes alone could hold all that may be open: they leave some to requests.
func (u *Client) reserve(t *Endpoint, probe bool) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.closed {
		return nil, errEndpointClosed
	}
	if c := u.popIdle(t); c != nil {
		return c, nil
	}
	maxOpen := u.maxOpen
	if probe {
		maxOpen -= maxOpen / probeReserveDivisor
	}
	if u.open >= maxOpen {
		u.closeAnyIdle()
	}
	if u.open >= maxOpen {
		u.limitReached++
		return nil, errConnectionLimit
	}
	u.open++
	u.dials++
	return nil, nil
}

// popIdle returns the connection to t that was used last of those that have rested, or nil, and closes those
// that are of no more use. What was answered just now may get a second answer, which would be taken for that of
// the next request: it rests. It holds u.mu.
func (u *Client) popIdle(t *Endpoint) *conn {
	for {
		list := u.idle[t]
		latest := len(list) - 1
		for latest >= 0 && time.Since(list[latest].idleSince) < u.ReuseDelay {
			latest--
		}
		if latest < 0 {
			return nil
		}
		c := list[latest]
		u.setIdle(t, slices.Delete(list, latest, latest+1))
		if time.Since(c.idleSince) < u.maxIdle && c.alive() {
			return c
		}
		u.closeConn(c)
	}
}

// closeAnyIdle closes an idle connection, if there is one, to make room for another. It holds u.mu.
func (u *Client) closeAnyIdle() {
	for t := range u.idle {
		u.closeOldest(t, 1)
		return
	}
}

// SetMaxConnections sets the most connections, and closes idle ones beyond that.
func (u *Client) SetMaxConnections(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxOpen = most
	for t, list := range u.idle {
		u.closeOldest(t, max(0, min(len(list), u.open-most)))
	}
}

// closeConn closes a connection. It holds u.mu.
func (u *Client) closeConn(c *conn) {
	c.Close()
	u.open--
}

// closeOldest closes the connections to t that have been idle for longest, so many of them. It holds u.mu.
func (u *Client) closeOldest(t *Endpoint, count int) {
	list := u.idle[t]
	for _, c := range list[:count] {
		u.closeConn(c)
	}
	// Not list[count:]: the array would keep the closed connections and their buffers.
	u.setIdle(t, slices.Delete(list, 0, count))
}

// setIdle keeps the idle connections to t; none takes no room. It holds u.mu.
func (u *Client) setIdle(t *Endpoint, list []*conn) {
	if len(list) == 0 {
		delete(u.idle, t)
		return
	}
	u.idle[t] = list
}

// release keeps a connection for the next request, or closes it.
func (u *Client) release(c *conn, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !keep || c.endpoint.closed {
		u.closeConn(c)
		return
	}
	c.idleSince, c.used = time.Now(), true
	u.idle[c.endpoint] = append(u.idle[c.endpoint], c)
}

// Retire closes a target for good, and its idle connections. What is out there
// goes on.
func (u *Client) Retire(t *Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t.closed = true
	for _, c := range u.idle[t] {
		u.closeConn(c)
	}
	delete(u.idle, t)
}

// Prune closes connections that have been idle for too long.
func (u *Client) Prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for t, list := range u.idle {
		old := 0 // the longest idle come first
		for old < len(list) && time.Since(list[old].idleSince) >= u.maxIdle {
			old++
		}
		u.closeOldest(t, old)
	}
}

// alive says whether an idle connection is open and silent. An endpoint may
// close it at any time, and a request written after that is lost as a reset
// that may have run.
func (c *conn) alive() bool { return !system.Readable(c.Conn) }

// IdleConnections returns how many connections carry no request.
func (u *Client) IdleConnections() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, list := range u.idle {
		n += len(list)
	}
	return n
}

// Retired reports whether nothing may be sent to t any more.
func (u *Client) Retired(t *Endpoint) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return t.closed
}

// ConnectionLimits are the bounds on connections to endpoints that are in force.
type ConnectionLimits struct {
	DialTimeout    time.Duration
	MaxIdle        time.Duration // a connection is used again at most so long after its last response
	MaxConnections int
}

// ConnectionLimits returns the bounds in force.
func (u *Client) Limits() ConnectionLimits {
	u.mu.Lock()
	defer u.mu.Unlock()
	return ConnectionLimits{u.Dialer.Timeout, u.maxIdle, u.maxOpen}
}
