package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"
	"weak"

	"oakproxy/balancer"
	"oakproxy/internal/sidecartest"
)

// No request may be written on an idle connection that its endpoint has closed: the outcome would be a reset, which
// does not show whether the request has run.
func TestStaleIdleConnectionIsReplaced(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		io.WriteString(conn, sidecartest.ServedResponse)
		conn.Close()
		closed <- struct{}{}
	})
	u, endpoint := newTestClient(t, 1), &Endpoint{Address: e.Address}
	for i := range 2 {
		if r := getOnce(context.Background(), u, endpoint, "/"); r.Status != balancer.OK {
			t.Fatalf("attempt %d: status %v, want OK", i, r.Status)
		}
		<-closed
		sidecartest.Await(t, "the end of the connection to arrive", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return len(u.idle[endpoint]) == 0 || !u.idle[endpoint][0].alive()
		})
	}
}

// Idle connections are closed before the endpoint's own idle timeout has passed, both by Prune and by an attempt that
// would otherwise use such a connection.
func TestIdleConnectionsExpireBeforeEndpointClosesThem(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	u, endpoint := newTestClient(t, 4), &Endpoint{Address: e.Address}
	if limit := 5 * time.Second; u.maxIdleTime > limit*4/5 {
		t.Errorf("the maximum idle time is %v, want at most 4/5 of the endpoint's %v", u.maxIdleTime, limit)
	}
	mustSucceed := func() {
		t.Helper()
		if r := getOnce(context.Background(), u, endpoint, "/"); r.Status != balancer.OK {
			t.Fatalf("status %v, want OK", r.Status)
		}
	}
	mustSucceed()
	u.idle[endpoint][0].idleSince = time.Now().Add(-u.maxIdleTime)
	mustSucceed()
	if _, conns := e.Counts(); conns != 2 {
		t.Errorf("%d connections, want 2: a second one after the maximum idle time", conns)
	}
	u.Prune()
	if u.open != 1 {
		t.Errorf("Prune left %d connections open, want 1: the recently used one", u.open)
	}
	u.idle[endpoint][0].idleSince = time.Now().Add(-u.maxIdleTime)
	u.Prune()
	if u.open != 0 || len(u.idle[endpoint]) != 0 {
		t.Errorf("Prune left %d connections open, %d of them idle; want none", u.open, len(u.idle[endpoint]))
	}
	mustSucceed()
	if u.Retire(endpoint); u.open != 0 {
		t.Errorf("a retired endpoint has %d open connections, want none", u.open)
	}
}

// The number of open connections is limited. To open a connection to another endpoint, the pool closes an idle
// connection, but not a connection that is in use.
func TestOpenConnectionsAreLimited(t *testing.T) {
	quick := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	slow := sidecartest.NewEndpoint(t, sidecartest.NeverRespond)
	u := newTestClient(t, 1)
	if r := getOnce(context.Background(), u, &Endpoint{Address: quick.Address}, "/"); r.Status != balancer.OK {
		t.Fatalf("first request: status %v, want OK", r.Status)
	}
	ctx, cancel := context.WithCancel(context.Background())
	slowResult := make(chan Result)
	go func() { slowResult <- getOnce(ctx, u, &Endpoint{Address: slow.Address}, "/") }()
	sidecartest.Await(t, "the slow endpoint's request", func() bool { n, _ := slow.Counts(); return n == 1 })
	if r := getOnce(context.Background(), u, &Endpoint{Address: quick.Address}, "/"); r.Status != balancer.NotSent {
		t.Errorf("request beyond the limit: status %v, want NotSent", r.Status)
	}
	cancel()
	if r := <-slowResult; r.Status != balancer.Cancelled {
		t.Errorf("cancelled request: status %v, want Cancelled", r.Status)
	}
	if r := getOnce(context.Background(), u, &Endpoint{Address: quick.Address}, "/"); r.Status != balancer.OK {
		t.Errorf("request below the limit again: status %v, want OK", r.Status)
	}
}

// With a long endpoint list, probes alone could hold every connection that may be open.
// Therefore some connections are reserved for requests.
func TestProbesLeaveConnectionsForRequests(t *testing.T) {
	u, endpoint := newTestClient(t, 8), &Endpoint{Address: sidecartest.ClosedAddress(t)}
	for i, c := range []struct {
		isProbe bool
		maxOpen int
	}{{true, 6}, {false, 8}} {
		for u.open < c.maxOpen {
			if _, err := u.popIdleOrReserve(endpoint, c.isProbe); err != nil {
				t.Fatalf("case %d: no further connection after %d of %d: %v", i, u.open, c.maxOpen, err)
			}
		}
		if _, err := u.popIdleOrReserve(endpoint, c.isProbe); !errors.Is(err, errConnectionLimit) {
			t.Errorf("case %d: a further connection with %d of 8 open: got %v, want %v", i, u.open, err, errConnectionLimit)
		}
		if r := u.Probe(t.Context(), endpoint); r.Status != balancer.NotSent {
			t.Errorf("case %d: probe at the limit: status %v, want NotSent", i, r.Status)
		}
	}
}

// The memory of a closed connection is garbage-collected. With a long endpoint list, most endpoints have had a
// connection at some time, so closed connections that remain reachable would use much memory.
func TestClosedConnectionsAreCollected(t *testing.T) {
	const endpoints, maxOpen = 20, 4
	for _, c := range []struct {
		name   string
		shrink func(u *Client)
		want   int
	}{
		{"limit reached", func(*Client) {}, maxOpen},
		{"limit lowered", func(u *Client) { u.SetMaxConnections(1) }, 1},
		{"idle timeout", func(u *Client) { u.maxIdleTime = 0; u.Prune() }, 0},
	} {
		u := newTestClient(t, maxOpen)
		var all []weak.Pointer[conn]
		for range endpoints {
			e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
			endpoint := &Endpoint{Address: e.Address}
			if r := getOnce(t.Context(), u, endpoint, "/"); r.Status != balancer.OK {
				t.Fatalf("%s: status %v, want OK", c.name, r.Status)
			}
			all = append(all, weak.Make(u.idle[endpoint][0]))
		}
		c.shrink(u)
		// Contexts and the network poller drop their references to a connection a moment after it was closed.
		sidecartest.Await(t, "closed connections to be collected, "+c.name, func() bool {
			runtime.GC()
			reachable := 0
			for _, p := range all {
				if p.Value() != nil {
					reachable++
				}
			}
			return reachable <= c.want
		})
		if len(u.idle) != c.want {
			t.Errorf("%s: %d endpoints have idle connections, want %d", c.name, len(u.idle), c.want)
		}
		runtime.KeepAlive(u)
	}
}
