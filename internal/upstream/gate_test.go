package upstream

import (
	"context"
	"syscall"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/sidecartest"
)

// What an attempt waits for its connection may undo its decision: then it never begins,
// and proves that it never ran.
func TestGateShutsWhileDialling(t *testing.T) {
	for why, shut := range map[string]func(u *Client, at *Endpoint, g *Gate, cancel func()){
		"the endpoint drains":      func(u *Client, at *Endpoint, _ *Gate, _ func()) { u.Retire(at) },
		"the client leaves":        func(_ *Client, _ *Endpoint, g *Gate, _ func()) { g.ClientGone = func() bool { return true } },
		"a repeat comes too late":  func(_ *Client, _ *Endpoint, g *Gate, _ func()) { g.NotAfter = time.Now() },
		"the request is over":      func(_ *Client, _ *Endpoint, g *Gate, _ func()) { g.Close() },
		"the attempt is cancelled": func(_ *Client, _ *Endpoint, _ *Gate, cancel func()) { cancel() },
	} {
		t.Run(why, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
			u, at, g := newTestUpstream(t, 1), &Endpoint{Address: e.Address}, &Gate{}
			dial := sidecartest.BlockDials(&u.Dialer, e.Address)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan Result)
			go func() { done <- u.Attempt(ctx, at, get("/"), g) }()
			<-dial.Begun
			shut(u, at, g, cancel)
			close(dial.Unblock)
			if r := <-done; r.Status != balancer.NotSent {
				t.Errorf("status %v, want Moot", r.Status)
			}
			if n, _ := e.Seen(); n != 0 {
				t.Errorf("the endpoint got %d requests", n)
			}
		})
	}
}

// A send that waited for its connection must not start once its endpoint drains.
func TestDrainDuringDial(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	u, at := newTestUpstream(t, 1), &Endpoint{Address: e.Address}
	dialling, unblock := make(chan struct{}), make(chan struct{})
	u.Dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		close(dialling)
		<-unblock
		return nil
	}
	done := make(chan Result)
	go func() { done <- u.Attempt(context.Background(), at, get("/"), &Gate{}) }()
	<-dialling
	u.Retire(at)
	close(unblock)
	if r := <-done; r.Status != balancer.NotSent {
		t.Errorf("status %v, want Moot", r.Status)
	}
	if n, _ := e.Seen(); n != 0 {
		t.Errorf("the draining endpoint got %d requests", n)
	}
	if r := u.Attempt(context.Background(), at, get("/"), &Gate{}); r.Status != balancer.NotSent || u.open != 0 {
		t.Errorf("later: status %v, want Moot; %d connections open", r.Status, u.open)
	}
}
