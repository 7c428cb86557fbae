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

// An idle connection that its endpoint has closed must not be written to: the
// request would end as a reset that may have run.
func TestStaleIdleConnectionIsReplaced(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.ReadRequest(in)
		io.WriteString(conn, sidecartest.ServedResponse)
		conn.Close()
		closed <- struct{}{}
	})
	u, at := newTestClient(t, 1), &Endpoint{Address: e.Address}
	for i := range 2 {
		if r := getOnce(context.Background(), u, at, "/"); r.Status != balancer.OK {
			t.Fatalf("attempt %d: status %v, want OK", i, r.Status)
		}
		<-closed
		sidecartest.Await(t, "the end of the connection to arrive", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return len(u.idle[at]) == 0 || !u.idle[at][0].alive()
		})
	}
}

// Idle connections are closed before the endpoint's own idle timeout, both when one is
// requested and by Prune.
func TestIdleConnectionsExpireBeforeEndpointClosesThem(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	u, at := newTestClient(t, 4), &Endpoint{Address: e.Address}
	if limit := 5 * time.Second; u.maxIdle > limit*4/5 {
		t.Errorf("idle connections are used for %v of %v", u.maxIdle, limit)
	}
	mustSucceed := func() {
		t.Helper()
		if r := getOnce(context.Background(), u, at, "/"); r.Status != balancer.OK {
			t.Fatalf("status %v", r.Status)
		}
	}
	mustSucceed()
	u.idle[at][0].idleSince = time.Now().Add(-u.maxIdle)
	mustSucceed()
	if _, conns := e.Counts(); conns != 2 {
		t.Errorf("%d connections, want a second one after the idle timeout", conns)
	}
	u.Prune()
	if u.open != 1 {
		t.Errorf("Prune left %d connections open, want the recently used one", u.open)
	}
	u.idle[at][0].idleSince = time.Now().Add(-u.maxIdle)
	u.Prune()
	if u.open != 0 || len(u.idle[at]) != 0 {
		t.Errorf("Prune left %d connections open, want none", u.open)
	}
	mustSucceed()
	if u.Retire(at); u.open != 0 {
		t.Errorf("a retired endpoint keeps %d connections", u.open)
	}
}

// The number of connections is limited: an idle one is closed for another endpoint, one in use is not.
func TestOpenConnectionsAreLimited(t *testing.T) {
	quick := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	slow := sidecartest.NewEndpoint(t, sidecartest.NeverRespond)
	u := newTestClient(t, 1)
	if r := getOnce(context.Background(), u, &Endpoint{Address: quick.Address}, "/"); r.Status != balancer.OK {
		t.Fatalf("status %v", r.Status)
	}
	ctx, cancel := context.WithCancel(context.Background())
	busy := make(chan Result)
	go func() { busy <- getOnce(ctx, u, &Endpoint{Address: slow.Address}, "/") }()
	sidecartest.Await(t, "the slow endpoint's request", func() bool { n, _ := slow.Counts(); return n == 1 })
	if r := getOnce(context.Background(), u, &Endpoint{Address: quick.Address}, "/"); r.Status != balancer.NotSent {
		t.Errorf("beyond the limit: status %v, want NotSent", r.Status)
	}
	cancel()
	if r := <-busy; r.Status != balancer.Cancelled {
		t.Errorf("cancelled: status %v, want Cancelled", r.Status)
	}
	if r := getOnce(context.Background(), u, &Endpoint{Address: quick.Address}, "/"); r.Status != balancer.OK {
		t.Errorf("below the limit again: status %v, want OK", r.Status)
	}
}

// Where endpoint lists are long, probes alone could hold every connection that may be open:
// some are reserved for requests.
func TestProbesLeaveConnectionsForRequests(t *testing.T) {
	u, at := newTestClient(t, 8), &Endpoint{Address: sidecartest.ClosedAddress(t)}
	for i, c := range []struct {
		isProbe bool
		maxOpen int
	}{{true, 6}, {false, 8}} {
		for u.open < c.maxOpen {
			if _, err := u.reserve(at, c.isProbe); err != nil {
				t.Fatalf("%d connections are open, no other one can be: %v", u.open, err)
			}
		}
		if _, err := u.reserve(at, c.isProbe); !errors.Is(err, errConnectionLimit) {
			t.Errorf("case %d: %d of 8 connections are open, and one more: %v", i, u.open, err)
		}
		if r := u.Probe(t.Context(), at); r.Status != balancer.NotSent {
			t.Errorf("case %d: a probe without a connection: %v", i, r.Status)
		}
	}
}

// The memory of a closed connection is collected: among many endpoints most have had one.
func TestClosedConnectionsAreCollected(t *testing.T) {
	const endpoints, maxOpen = 20, 4
	for _, c := range []struct {
		name   string
		shrink func(u *Client)
		want   int
	}{
		{"limit reached", func(*Client) {}, maxOpen},
		{"limit lowered", func(u *Client) { u.SetMaxConnections(1) }, 1},
		{"idle timeout", func(u *Client) { u.maxIdle = 0; u.Prune() }, 0},
	} {
		u := newTestClient(t, maxOpen)
		var all []weak.Pointer[conn]
		for range endpoints {
			e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
			to := &Endpoint{Address: e.Address}
			if r := getOnce(t.Context(), u, to, "/"); r.Status != balancer.OK {
				t.Fatalf("%s: status %v", c.name, r.Status)
			}
			all = append(all, weak.Make(u.idle[to][0]))
		}
		c.shrink(u)
		// Contexts and the network poller drop their references a moment later.
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
