package upstream

import (
	"context"
	"syscall"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/sidecartest"
)

// While an attempt waits for its connection, the reason to send the request may disappear. Then the attempt must not
// begin, and its outcome must prove that the request never ran.
func TestGateClosedDuringDialPreventsAttempt(t *testing.T) {
	for name, closeGate := range map[string]func(u *Client, endpoint *Endpoint, g *Gate, cancel func()){
		"endpoint retired":  func(u *Client, endpoint *Endpoint, _ *Gate, _ func()) { u.Retire(endpoint) },
		"client left":       func(_ *Client, _ *Endpoint, g *Gate, _ func()) { g.ClientGone = func() bool { return true } },
		"retry too late":    func(_ *Client, _ *Endpoint, g *Gate, _ func()) { g.NotAfter = time.Now() },
		"gate closed":       func(_ *Client, _ *Endpoint, g *Gate, _ func()) { g.Close() },
		"attempt cancelled": func(_ *Client, _ *Endpoint, _ *Gate, cancel func()) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
			u, endpoint, g := newTestClient(t, 1), &Endpoint{Address: e.Address}, &Gate{}
			dial := sidecartest.BlockDials(&u.Dialer, e.Address)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan Result)
			go func() { done <- u.Attempt(ctx, endpoint, newGetRequest("/"), g, nil) }()
			<-dial.Started
			closeGate(u, endpoint, g, cancel)
			close(dial.Unblock)
			if r := <-done; r.Status != balancer.NotSent {
				t.Errorf("status %v, want NotSent", r.Status)
			}
			if n, _ := e.Counts(); n != 0 {
				t.Errorf("the endpoint received %d requests, want none", n)
			}
		})
	}
}

// An attempt that is waiting for its connection must not begin if its endpoint is retired meanwhile. No later attempt
// may begin either.
func TestRetireDuringDialPreventsAttempt(t *testing.T) {
	e := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(sidecartest.ServedResponse))
	u, endpoint := newTestClient(t, 1), &Endpoint{Address: e.Address}
	dialling, unblock := make(chan struct{}), make(chan struct{})
	u.Dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		close(dialling)
		<-unblock
		return nil
	}
	done := make(chan Result)
	go func() { done <- getOnce(context.Background(), u, endpoint, "/") }()
	<-dialling
	u.Retire(endpoint)
	close(unblock)
	if r := <-done; r.Status != balancer.NotSent {
		t.Errorf("status %v, want NotSent", r.Status)
	}
	if n, _ := e.Counts(); n != 0 {
		t.Errorf("the retired endpoint received %d requests, want none", n)
	}
	if r := getOnce(context.Background(), u, endpoint, "/"); r.Status != balancer.NotSent || u.open != 0 {
		t.Errorf("later attempt: status %v, want NotSent; %d connections open, want 0", r.Status, u.open)
	}
}
