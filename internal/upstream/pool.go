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
	// defaultReuseDelay keeps a connection out of use after a response: a duplicate of the response, if the endpoint
	// sends one, comes some milliseconds later.
	defaultReuseDelay = 20 * time.Millisecond

	// probeReserveDivisor sets the part of the connections that probes leave to requests: one in so many.
	probeReserveDivisor = 4
)

// Endpoint is one incarnation of an endpoint at one address. It is closed for good by [Client.Retire], once the
// endpoint is draining, removed or restarted.
type Endpoint struct {
	Address       string // host:port
	StartedUnixMS int64  // when the incarnation started, in Unix milliseconds
	closed        bool   // guarded by pool.mu
}

// pool owns the idle connections to endpoints and bounds the number of open ones, those in use included. Its exported
// methods are those of [Client], and may be called concurrently.
type pool struct {
	// Dialer opens connections. Its Timeout changes with the configuration.
	Dialer net.Dialer
	// ReuseDelay is how long a connection stays unused after a response. It is set before the first attempt.
	ReuseDelay time.Duration

	mu      sync.Mutex            // guards Dialer.Timeout, Endpoint.closed and what follows
	maxIdle time.Duration         // idle connections are not used for longer
	maxOpen int                   // limit on open
	open    int                   // connections that are not closed, including those being dialled
	idle    map[*Endpoint][]*conn // by endpoint, the most recently used last

	// Totals since the start.
	dialTime                         time.Duration
	dials, failedDials, limitReached uint64
}

func newPool(maxOpen int) *pool {
	return &pool{ReuseDelay: defaultReuseDelay, maxOpen: maxOpen, idle: map[*Endpoint][]*conn{}}
}

// setTimeouts sets the time limit of a dial, and that after which endpoints close an idle connection.
func (p *pool) setTimeouts(dial, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Dialer.Timeout = dial
	// An endpoint closes an idle connection after its idle timeout at the latest,
	// and what is written to it from then on is lost.
	p.maxIdle = idle * 3 / 4
}

// Counts are the numbers of connections to endpoints. Except for Open they are totals since the start.
type Counts struct {
	Open         int           // connections that are open now, including those being dialled
	DialTime     time.Duration // time spent on dialling
	Dials        uint64        // connections dialled
	FailedDials  uint64        // dials that failed
	LimitReached uint64        // attempts and probes that found the limit on open connections reached
}

// Counts returns the numbers of connections.
func (p *pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{p.open, p.dialTime, p.dials, p.failedDials, p.limitReached}
}

// ConnectionLimits are the bounds on connections to endpoints.
type ConnectionLimits struct {
	DialTimeout    time.Duration
	MaxIdle        time.Duration // a connection is used again at most so long after its last response
	MaxConnections int
}

// Limits returns the bounds in force.
func (p *pool) Limits() ConnectionLimits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ConnectionLimits{p.Dialer.Timeout, p.maxIdle, p.maxOpen}
}

// SetMaxConnections sets the limit on open connections, and closes idle ones beyond it.
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

// Retire closes an endpoint for good, and its idle connections. Exchanges that have begun go on.
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

// Prune closes connections that have been idle for too long.
func (p *pool) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, list := range p.idle {
		expired := 0 // the longest idle come first
		for expired < len(list) && time.Since(list[expired].idleSince) >= p.maxIdle {
			expired++
		}
		p.closeOldest(endpoint, expired)
	}
}

// connect returns the most recently used idle connection to an endpoint, or opens one.
func (p *pool) connect(ctx context.Context, endpoint *Endpoint, isProbe bool) (*conn, error) {
	c, err := p.reserve(endpoint, isProbe)
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

// currentDialer returns the dialer with the timeout in force.
func (p *pool) currentDialer() net.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Dialer
}

// reserve returns an idle connection, or nil with the right to open one. Where endpoint lists are long, probes alone
// could hold all connections that may be open: they leave some to requests.
func (p *pool) reserve(endpoint *Endpoint, isProbe bool) (*conn, error) {
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

// release returns a connection from its owner to the pool, or closes it.
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

// popIdle returns the most recently used idle connection to an endpoint of those whose reuse delay is over, or nil. It
// closes those that it finds unusable. The reuse delay is there because a duplicate of the last response may follow
// it, which would be taken for the response to the next request. The caller holds p.mu.
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
		if time.Since(c.idleSince) < p.maxIdle && c.alive() {
			return c
		}
		p.closeConn(c)
	}
}

// setIdle replaces the list of idle connections to an endpoint. An empty list is removed. The caller holds p.mu.
func (p *pool) setIdle(endpoint *Endpoint, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, endpoint)
		return
	}
	p.idle[endpoint] = list
}

// closeAnyIdle closes one idle connection, if there is one, so that another can be opened. The caller holds p.mu.
func (p *pool) closeAnyIdle() {
	for endpoint := range p.idle {
		p.closeOldest(endpoint, 1)
		return
	}
}

// closeOldest closes the count longest idle connections to an endpoint. The caller holds p.mu.
func (p *pool) closeOldest(endpoint *Endpoint, count int) {
	list := p.idle[endpoint]
	for _, c := range list[:count] {
		p.closeConn(c)
	}
	// Not list[count:]: the array would keep the closed connections and their buffers.
	p.setIdle(endpoint, slices.Delete(list, 0, count))
}

// closeConn closes a connection. It is the only place that does. The caller holds p.mu.
func (p *pool) closeConn(c *conn) {
	c.Close()
	p.open--
}
