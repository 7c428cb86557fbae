package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"oakproxy/balancer"
)

// held stops dials to an address until they are let go.
type held struct {
	begun, go_ chan struct{}
	once       sync.Once
}

// hold has the dials to this address wait.
func hold(u *upstream, held_ string) *held {
	h := &held{begun: make(chan struct{}), go_: make(chan struct{})}
	u.dialer.Control = func(_, address string, _ syscall.RawConn) error {
		if address == held_ {
			h.once.Do(func() { close(h.begun) })
			<-h.go_
		}
		return nil
	}
	return h
}

// What an attempt waits for its connection may undo its decision: then it never begins,
// and proves that it never ran.
func TestGateShutsWhileDialling(t *testing.T) {
	for why, shut := range map[string]func(u *upstream, at *target, g *gate, cancel func()){
		"the endpoint drains":      func(u *upstream, at *target, _ *gate, _ func()) { u.retire(at) },
		"the client leaves":        func(_ *upstream, _ *target, g *gate, _ func()) { g.gone = func() bool { return true } },
		"a repeat comes too late":  func(_ *upstream, _ *target, g *gate, _ func()) { g.latest = time.Now() },
		"the request is over":      func(_ *upstream, _ *target, g *gate, _ func()) { g.close() },
		"the attempt is cancelled": func(_ *upstream, _ *target, _ *gate, cancel func()) { cancel() },
	} {
		t.Run(why, func(t *testing.T) {
			e := newEndpoint(t, always(served))
			u, at, g := newTestUpstream(t, 1), &target{address: e.address}, &gate{}
			dial := hold(u, e.address)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan result)
			go func() { done <- u.attempt(ctx, at, get("/"), g) }()
			<-dial.begun
			shut(u, at, g, cancel)
			close(dial.go_)
			if r := <-done; r.status != balancer.NotSent {
				t.Errorf("status %v, want Moot", r.status)
			}
			if n, _ := e.seen(); n != 0 {
				t.Errorf("the endpoint got %d requests", n)
			}
		})
	}
}

// A repeat of a keyed request is decided within the window and waits for its connection
// until after it: it is not sent, and the client has its answer.
func TestRepeatIsNotSentAfterItsWindow(t *testing.T) {
	const window = 2 * time.Second // long enough to decide on the repeat within it
	reset := make(chan struct{})
	broken := newEndpoint(t, func(e *endpoint, conn net.Conn, in *bufio.Reader) {
		e.next(in)
		<-reset
	})
	slow := newEndpoint(t, always(served))
	w := start(t, func(s map[string]any) {
		s["classes"].([]any)[1].(map[string]any)["window"] = window.Microseconds()
		s["limits"].(map[string]any)["dial-timeout"] = patience.Microseconds()
	}, ready("s-1", broken.address))
	dial := hold(w.loop.up, slow.address)
	answer := make(chan reply, 1)
	go func() { answer <- w.send(w.request("pay", "x", time.Minute)) }()
	w.until("the first attempt", func() bool { n, _ := broken.seen(); return n == 1 })
	w.dir.change(func() {
		w.dir.list = registry{Seq: 1, Whole: true, Hosts: []host{ready("s-1", broken.address), ready("s-2", slow.address)}}
	})
	w.until("the news", func() bool {
		var n int
		w.do(func() { n = len(w.loop.fleet) })
		return n == 2
	})
	close(reset)
	<-dial.begun
	began := time.Now()
	await(t, "the end of the window", func() bool { return time.Since(began) > window })
	close(dial.go_)
	if got := <-answer; got.code != http.StatusServiceUnavailable {
		t.Errorf("got %+v, want 503", got)
	}
	if n, _ := slow.seen(); n != 0 {
		t.Error("the repeat was sent after its window")
	}
}

// A client that leaves while its request is dialled for has gone, whatever the settings
// say of cancelling.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	for name, may := range map[string]bool{"may cancel": true, "may not cancel": false} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, always(served))
			w := start(t, func(s map[string]any) { s["limits"].(map[string]any)["cancel"] = may }, ready("s-1", e.address))
			dial := hold(w.loop.up, e.address)
			conn := w.dial()
			w.request("pay", "x", time.Minute).Write(conn)
			<-dial.begun
			conn.Close()
			close(dial.go_) // at once: that it has left need not have been heard by then
			w.until("the outcome", func() bool { return len(w.spy.statuses()) == 1 })
			if all := w.spy.statuses(); !slices.Equal(all, []balancer.Status{balancer.NotSent}) {
				t.Errorf("outcomes %v, want moot", all)
			}
			if n, _ := e.seen(); n != 0 {
				t.Errorf("the endpoint got %d requests", n)
			}
		})
	}
}

// A request that its endpoint takes slowly is not finished: what it was told that the client has left would be wrong.
func TestRequestThatIsTakenSlowlyNeverRuns(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &conn{Conn: ours}
	got := make(chan []byte)
	go func() {
		in := make([]byte, 2*maxWriteAtOnce)
		n, _ := theirs.Read(in[:maxWriteAtOnce])
		time.Sleep(2 * maxWriteLag)
		rest, _ := io.ReadAll(theirs)
		got <- append(in[:n], rest...)
	}()
	data := bytes.Repeat([]byte("x"), 2*maxWriteAtOnce)
	if err := c.writeRequest(data); !errors.Is(err, errLate) {
		t.Errorf("the write ended with %v", err)
	}
	ours.Close()
	if n := len(<-got); n >= len(data) {
		t.Errorf("all %d bytes came", n)
	}
}
