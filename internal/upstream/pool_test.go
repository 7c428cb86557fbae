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
func TestStaleIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		io.WriteString(conn, sidecartest.Served)
		conn.Close()
		closed <- struct{}{}
	})
	u, at := newTestUpstream(t, 1), &Endpoint{Address: e.Address}
	for i := range 2 {
		if r := u.Attempt(context.Background(), at, get("/"), &Gate{}); r.Status != balancer.OK {
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

// Idle connections are retired before the endpoint's own limit, both when one is
// asked for and by the regular sweep.
func TestIdleConnectionsAreRetiredEarly(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	u, at := newTestUpstream(t, 4), &Endpoint{Address: e.Address}
	if limit := 5 * time.Second; u.maxIdle > limit*4/5 {
		t.Errorf("idle connections are used for %v of %v", u.maxIdle, limit)
	}
	attempt := func() {
		t.Helper()
		if r := u.Attempt(context.Background(), at, get("/"), &Gate{}); r.Status != balancer.OK {
			t.Fatalf("status %v", r.Status)
		}
	}
	attempt()
	u.idle[at][0].idleSince = time.Now().Add(-u.maxIdle)
	attempt()
	if _, conns := e.Seen(); conns != 2 {
		t.Errorf("%d connections, want a second one after the idle time", conns)
	}
	u.Prune()
	if u.open != 1 {
		t.Errorf("the sweep left %d connections open, want the one in use lately", u.open)
	}
	u.idle[at][0].idleSince = time.Now().Add(-u.maxIdle)
	u.Prune()
	if u.open != 0 || len(u.idle[at]) != 0 {
		t.Errorf("the sweep left %d open connections", u.open)
	}
	attempt()
	if u.Retire(at); u.open != 0 {
		t.Errorf("an endpoint that is gone keeps %d connections", u.open)
	}
}

// The descriptors are bounded: an idle connection makes room, a busy one does not.
func TestConnectionsAreBounded(t *testing.T) {
	quick, slow := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served)), sidecartest.NewEndpoint(t, sidecartest.Silent)
	u := newTestUpstream(t, 1)
	if r := u.Attempt(context.Background(), &Endpoint{Address: quick.Address}, get("/"), &Gate{}); r.Status != balancer.OK {
		t.Fatalf("status %v", r.Status)
	}
	ctx, cancel := context.WithCancel(context.Background())
	busy := make(chan Result)
	go func() { busy <- u.Attempt(ctx, &Endpoint{Address: slow.Address}, get("/"), &Gate{}) }()
	sidecartest.Await(t, "the slow endpoint's request", func() bool { n, _ := slow.Seen(); return n == 1 })
	if r := u.Attempt(context.Background(), &Endpoint{Address: quick.Address}, get("/"), &Gate{}); r.Status != balancer.NotSent {
		t.Errorf("beyond the limit: status %v, want Moot", r.Status)
	}
	cancel()
	if r := <-busy; r.Status != balancer.Cancelled {
		t.Errorf("called off: status %v, want Cancelled", r.Status)
	}
	if r := u.Attempt(context.Background(), &Endpoint{Address: quick.Address}, get("/"), &Gate{}); r.Status != balancer.OK {
		t.Errorf("with room again: status %v, want OK", r.Status)
	}
}

// Where lists are long, probes alone could hold every connection that may be open:
// some are left to requests.
func TestProbesLeaveConnectionsToRequests(t *testing.T) {
	u, at := newTestUpstream(t, 8), &Endpoint{Address: sidecartest.ClosedAddress(t)}
	for i, c := range []struct {
		probe bool
		most  int
	}{{true, 6}, {false, 8}} {
		for u.open < c.most {
			if _, err := u.reserve(at, c.probe); err != nil {
				t.Fatalf("%d connections are open, no other one can be: %v", u.open, err)
			}
		}
		if _, err := u.reserve(at, c.probe); !errors.Is(err, errConnectionLimit) {
			t.Errorf("case %d: %d of 8 connections are open, and one more: %v", i, u.open, err)
		}
		if r := u.Probe(t.Context(), at); r.Status != balancer.NotSent {
			t.Errorf("case %d: a probe without a connection: %v", i, r.Status)
		}
	}
}

// A closed connection gives its memory back: where endpoints are many, most of them had one.
func TestClosedConnectionsAreNotKept(t *testing.T) {
	const endpoints, maxOpen = 20, 4
	for _, c := range []struct {
		name string
		drop func(u *Client)
		kept int
	}{
		{"to make room", func(*Client) {}, maxOpen},
		{"beyond a lower limit", func(u *Client) { u.SetMaxConnections(1) }, 1},
		{"idle for too long", func(u *Client) { u.maxIdle = 0; u.Prune() }, 0},
	} {
		u := newTestUpstream(t, maxOpen)
		var all []weak.Pointer[conn]
		for range endpoints {
			e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
			to := &Endpoint{Address: e.Address}
			if r := u.Attempt(t.Context(), to, get("/"), &Gate{}); r.Status != balancer.OK {
				t.Fatalf("%s: status %v", c.name, r.Status)
			}
			all = append(all, weak.Make(u.idle[to][0]))
		}
		c.drop(u)
		// Their contexts and pollers let go of them a moment later.
		sidecartest.Await(t, "closed connections to be collected, "+c.name, func() bool {
			runtime.GC()
			kept := 0
			for _, p := range all {
				if p.Value() != nil {
					kept++
				}
			}
			return kept <= c.kept
		})
		if len(u.idle) != c.kept {
			t.Errorf("%s: %d endpoints have idle connections, want %d", c.name, len(u.idle), c.kept)
		}
		runtime.KeepAlive(u)
	}
}
