package upstream

import (
	"context"
	"net"
	"slices"
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
	Address   string // host:port
	StartedMS int64  // when the incarnation started, in Unix milliseconds
	closed    bool   // guarded by Client.mu
}

// Counts are the numbers of connections to endpoints. Except for Open they are totals since the start.
type Counts struct {
	Open         int           // connections that are open now, including those being dialled
	DialTime     time.Duration // time spent on dialling
	Dials        uint64        // connections dialled
	Failed       uint64        // dials that failed
	LimitReached uint64        // attempts and probes that found the limit on open connections reached
}

// Counts returns the numbers of connections.
func (u *Client) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Counts{u.open, u.dialTime, u.dials, u.failedDials, u.limitReached}
}

// ConnectionLimits are the bounds on connections to endpoints.
type ConnectionLimits struct {
	DialTimeout    time.Duration
	MaxIdle        time.Duration // a connection is used again at most so long after its last response
	MaxConnections int
}

// Limits returns the bounds in force.
func (u *Client) Limits() ConnectionLimits {
	u.mu.Lock()
	defer u.mu.Unlock()
	return ConnectionLimits{u.Dialer.Timeout, u.maxIdle, u.maxOpen}
}

// SetMaxConnections sets the limit on open connections, and closes idle ones beyond it.
func (u *Client) SetMaxConnections(maxOpen int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxOpen = maxOpen
	for endpoint, list := range u.idle {
		u.closeOldest(endpoint, max(0, min(len(list), u.open-maxOpen)))
	}
}

// IdleConnections returns the number of idle connections.
func (u *Client) IdleConnections() (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, list := range u.idle {
		n += len(list)
	}
	return n
}

// Retire closes an endpoint for good, and its idle connections. Exchanges that have begun go on.
func (u *Client) Retire(endpoint *Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	endpoint.closed = true
	for _, c := range u.idle[endpoint] {
		u.closeConn(c)
	}
	delete(u.idle, endpoint)
}

// Retired reports whether [Client.Retire] has closed an endpoint.
func (u *Client) Retired(endpoint *Endpoint) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return endpoint.closed
}

// Prune closes connections that have been idle for too long.
func (u *Client) Prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for endpoint, list := range u.idle {
		expired := 0 // the longest idle come first
		for expired < len(list) && time.Since(list[expired].idleSince) >= u.maxIdle {
			expired++
		}
		u.closeOldest(endpoint, expired)
	}
}

// connect returns the most recently used idle connection to an endpoint, or opens one.
func (u *Client) connect(ctx context.Context, endpoint *Endpoint, isProbe bool) (*conn, error) {
	c, err := u.reserve(endpoint, isProbe)
	if c != nil || err != nil {
		return c, err
	}
	start := time.Now()
	dialer := u.currentDialer()
	var raw net.Conn
	err = system.Retry(ctx, system.DialRetryTimeout, system.DialRetryDelay, system.IsShortage, func() error {
		raw, err = dialer.DialContext(ctx, "tcp", endpoint.Address)
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
	return newConn(raw, endpoint), nil
}

// currentDialer returns the dialer with the timeout in force.
func (u *Client) currentDialer() net.Dialer {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.Dialer
}

// reserve returns an idle connection, or nil with the right to open one. Where endpoint lists are long, probes alone
// could hold all connections that may be open: they leave some to requests.
func (u *Client) reserve(endpoint *Endpoint, isProbe bool) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if endpoint.closed {
		return nil, errEndpointClosed
	}
	if c := u.popIdle(endpoint); c != nil {
		return c, nil
	}
	maxOpen := u.maxOpen
	if isProbe {
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

// release returns a connection from its owner to the pool, or closes it.
func (u *Client) release(c *conn, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reusable || c.endpoint.closed {
		u.closeConn(c)
		return
	}
	c.idleSince, c.used = time.Now(), true
	u.idle[c.endpoint] = append(u.idle[c.endpoint], c)
}

// popIdle returns the most recently used idle connection to an endpoint of those whose reuse delay is over, or nil. It
// closes those that it finds unusable. The reuse delay is there because a duplicate of the last response may follow
// it, which would be taken for the response to the next request. The caller holds u.mu.
func (u *Client) popIdle(endpoint *Endpoint) *conn {
	for {
		list := u.idle[endpoint]
		latest := len(list) - 1
		for latest >= 0 && time.Since(list[latest].idleSince) < u.ReuseDelay {
			latest--
		}
		if latest < 0 {
			return nil
		}
		c := list[latest]
		u.setIdle(endpoint, slices.Delete(list, latest, latest+1))
		if time.Since(c.idleSince) < u.maxIdle && c.alive() {
			return c
		}
		u.closeConn(c)
	}
}

// setIdle replaces the list of idle connections to an endpoint. An empty list is removed. The caller holds u.mu.
func (u *Client) setIdle(endpoint *Endpoint, list []*conn) {
	if len(list) == 0 {
		delete(u.idle, endpoint)
		return
	}
	u.idle[endpoint] = list
}

// closeAnyIdle closes one idle connection, if there is one, so that another can be opened. The caller holds u.mu.
func (u *Client) closeAnyIdle() {
	for endpoint := range u.idle {
		u.closeOldest(endpoint, 1)
		return
	}
}

// closeOldest closes the count longest idle connections to an endpoint. The caller holds u.mu.
func (u *Client) closeOldest(endpoint *Endpoint, count int) {
	list := u.idle[endpoint]
	for _, c := range list[:count] {
		u.closeConn(c)
	}
	// Not list[count:]: the array would keep the closed connections and their buffers.
	u.setIdle(endpoint, slices.Delete(list, 0, count))
}

// closeConn closes a connection. It is the only place that does. The caller holds u.mu.
func (u *Client) closeConn(c *conn) {
	c.Close()
	u.open--
}
