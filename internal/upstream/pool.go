package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"oakproxy/internal/system"
)

const (
	// defaultReuseDelay is how long a connection is not used after a response. If the endpoint sends a duplicate of the
	// response, the duplicate arrives some milliseconds later. The delay is longer than that, so the check before the next
	// use of the connection finds the duplicate.
	defaultReuseDelay = 20 * time.Millisecond

	// probeReserveDivisor sets how many connections probes leave to requests: pool.maxOpen / probeReserveDivisor, where
	// pool.maxOpen is the limit on open connections.
	probeReserveDivisor = 4
)

// Endpoint is one incarnation of an endpoint at one address; each start of the endpoint begins a new incarnation.
// [Client.Retire] closes the incarnation permanently when the endpoint is draining, removed or restarted.
type Endpoint struct {
	Address       string // host:port
	StartedUnixMS int64  // when the incarnation started, in Unix milliseconds
	closed        bool   // whether Client.Retire has closed the endpoint; guarded by pool.mu
}

// pool owns the idle connections to endpoints and limits the number of open connections, including those in use. Its
// exported methods are also methods of [Client] and may be called concurrently.
type pool struct {
	// Dialer opens connections. The configuration sets its Timeout.
	Dialer net.Dialer
	// ReuseDelay is how long a connection is not used after a response. It must be set before the first attempt.
	ReuseDelay time.Duration

	mu          sync.Mutex            // guards Dialer.Timeout, Endpoint.closed and the fields below
	maxIdleTime time.Duration         // time after which an idle connection is not used again
	maxOpen     int                   // maximum number of connections counted in open
	open        int                   // number of connections that are not closed, including those being dialled
	idle        map[*Endpoint][]*conn // idle connections by endpoint, the most recently used last

	// Totals since the start of the process; see Counts.
	dialTime                         time.Duration
	dials, failedDials, limitReached uint64
}

// newPool returns a pool with at most maxOpen open connections. Its timeouts have yet to be set.
func newPool(maxOpen int) *pool {
	return &pool{ReuseDelay: defaultReuseDelay, maxOpen: maxOpen, idle: map[*Endpoint][]*conn{}}
}

// setTimeouts sets the dial timeout, and derives the maximum idle time of a connection. idle is the time after which
// endpoints may close an idle connection.
func (p *pool) setTimeouts(dial, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Dialer.Timeout = dial
	// An endpoint closes an idle connection at the latest when the endpoint's own idle timeout has passed. A request that
	// is written on a closed connection is lost, so a connection is reused only within 3/4 of that timeout.
	p.maxIdleTime = idle * 3 / 4
}

// Counts are the numbers of connections to endpoints. All fields except Open are totals since the start of the process.
type Counts struct {
	Open         int           // connections that are open now, including those being dialled
	DialTime     time.Duration // time spent dialling
	Dials        uint64        // dials that were begun
	FailedDials  uint64        // dials that failed
	LimitReached uint64        // attempts and probes that failed because the limit on open connections was reached
}

// Counts returns the current numbers of connections.
func (p *pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{p.open, p.dialTime, p.dials, p.failedDials, p.limitReached}
}

// ConnectionLimits are the limits on connections to endpoints.
type ConnectionLimits struct {
	DialTimeout    time.Duration
	MaxIdleTime    time.Duration // time after a connection's latest response, within which it may be reused
	MaxConnections int
}

// Limits returns the current limits.
func (p *pool) Limits() ConnectionLimits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ConnectionLimits{p.Dialer.Timeout, p.maxIdleTime, p.maxOpen}
}

// SetMaxConnections sets the limit on open connections. If more are open, it closes idle connections until the limit is
// met or no idle connection is left.
func (p *pool) SetMaxConnections(maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
	for endpoint, list := range p.idle {
		p.closeOldest(endpoint, max(0, min(len(list), p.open-maxOpen)))
	}
}

// IdleConnections returns the number of idle connections.
func (p *pool) IdleConnections() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// Retire closes an endpoint permanently, and its idle connections. Exchanges that have begun are not interrupted.
func (p *pool) Retire(endpoint *Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint.closed = true
	for _, c := range p.idle[endpoint] {
		p.closeConn(c)
	}
	delete(p.idle, endpoint)
}

// Retired reports whether [Client.Retire] has closed an endpoint.
func (p *pool) Retired(endpoint *Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return endpoint.closed
}

// Prune closes the connections that have been idle for the maximum idle time or longer.
func (p *pool) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, list := range p.idle {
		expiredCount := 0 // the connections that have been idle longest come first
		for expiredCount < len(list) && time.Since(list[expiredCount].idleSince) >= p.maxIdleTime {
			expiredCount++
		}
		p.closeOldest(endpoint, expiredCount)
	}
}

// connect returns the most recently used idle connection to an endpoint, or dials a new one if there is none.
func (p *pool) connect(ctx context.Context, endpoint *Endpoint, isProbe bool) (*conn, error) {
	c, err := p.popIdleOrReserve(endpoint, isProbe)
	if c != nil || err != nil {
		return c, err
	}
	start := time.Now()
	dialer := p.currentDialer()
	var raw net.Conn
	err = system.Retry(ctx, system.DialRetryTimeout, system.DialRetryDelay, system.IsShortage, func() error {
		raw, err = dialer.DialContext(ctx, "tcp", endpoint.Address)
		return err
	})
	p.mu.Lock()
	p.dialTime += time.Since(start)
	if err != nil {
		p.open--
		p.failedDials++
	}
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return newConn(raw, endpoint), nil
}

// currentDialer returns a copy of the dialer, with the current timeout.
func (p *pool) currentDialer() net.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Dialer
}

// popIdleOrReserve returns an idle connection to an endpoint. If there is none, it counts a new connection as open and
// returns nil: the caller must then dial the connection. Probes leave some connections to requests, because with long
// endpoint lists probes alone could hold all connections that may be open.
func (p *pool) popIdleOrReserve(endpoint *Endpoint, isProbe bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if endpoint.closed {
		return nil, errEndpointClosed
	}
	if c := p.popIdle(endpoint); c != nil {
		return c, nil
	}
	maxOpen := p.maxOpen
	if isProbe {
		maxOpen -= maxOpen / probeReserveDivisor
	}
	if p.open >= maxOpen {
		p.closeAnyIdle()
	}
	if p.open >= maxOpen {
		p.limitReached++
		return nil, errConnectionLimit
	}
	p.open++
	p.dials++
	return nil, nil
}

// release returns a connection from its owner to the pool. It closes the connection instead if the connection is not
// reusable or its endpoint is closed.
func (p *pool) release(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || c.endpoint.closed {
		p.closeConn(c)
		return
	}
	c.idleSince, c.used = time.Now(), true
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

// popIdle removes an idle connection to an endpoint from the pool and returns it, or returns nil if there is none. It
// chooses the most recently used connection among those whose reuse delay has passed, and closes the unusable
// connections that it finds. The reuse delay exists because a duplicate of the last response may arrive after the
// response, and would be read as the response to the next request. The caller must hold p.mu.
func (p *pool) popIdle(endpoint *Endpoint) *conn {
	for {
		list := p.idle[endpoint]
		latest := len(list) - 1
		for latest >= 0 && time.Since(list[latest].idleSince) < p.ReuseDelay {
			latest--
		}
		if latest < 0 {
			return nil
		}
		c := list[latest]
		p.setIdle(endpoint, slices.Delete(list, latest, latest+1))
		if time.Since(c.idleSince) < p.maxIdleTime && c.alive() {
			return c
		}
		p.closeConn(c)
	}
}

// setIdle replaces the list of idle connections to an endpoint. If the new list is empty, it removes the endpoint from
// p.idle. The caller must hold p.mu.
func (p *pool) setIdle(endpoint *Endpoint, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, endpoint)
		return
	}
	p.idle[endpoint] = list
}

// closeAnyIdle closes one idle connection, if there is one, so that another connection can be opened. It takes an
// arbitrary endpoint and closes the connection to it that has been idle longest. The caller must hold p.mu.
func (p *pool) closeAnyIdle() {
	for endpoint := range p.idle {
		p.closeOldest(endpoint, 1)
		return
	}
}

// closeOldest closes count connections to an endpoint, those that have been idle longest. The endpoint must have at
// least count idle connections. The caller must hold p.mu.
func (p *pool) closeOldest(endpoint *Endpoint, count int) {
	list := p.idle[endpoint]
	for _, c := range list[:count] {
		p.closeConn(c)
	}
	// slices.Delete clears the vacated elements. With list[count:] instead, the array would keep the closed connections
	// and their buffers reachable.
	p.setIdle(endpoint, slices.Delete(list, 0, count))
}

// closeConn closes a connection. No other function closes an established connection. The caller must hold p.mu.
func (p *pool) closeConn(c *conn) {
	_ = c.Close() // nothing can be done about an error: the connection is not used any more
	p.open--
}
