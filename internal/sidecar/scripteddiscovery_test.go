//go:build go1.25

package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"oakproxy/internal/discovery"
	"oakproxy/internal/system"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// pipes is a listener whose connections are pipes within the process.
type pipes struct {
	conns chan net.Conn
	end   chan struct{}
	once  sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), end: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.end:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.end) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case p.conns <- theirs:
		return ours, nil
	case <-p.end:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordedCall is a call that the registry of a test took.
type recordedCall struct {
	at     time.Time
	wait   time.Duration
	silent bool // it was never answered
}

// scriptedDiscovery is a registry whose open calls fall silent when a test says so.
type scriptedDiscovery struct {
	mu               sync.Mutex
	list             discovery.List
	calls            []recordedCall
	open             int           // calls that wait for a change, and have not fallen silent
	silencing        chan struct{} // closed: calls open then are never answered
	resetting        chan struct{} // closed: connections of calls open then are reset
	changed          chan struct{} // closed: the list has changed
	unresponsive     bool          // calls made while it is are never answered
	queueDelay       time.Duration // that a call waits for its turn
	down             bool          // calls made while it is end with 503
	malformedReplies []string      // to answer the next calls with, in place of the list
	openReply        string        // the same for the one that is open
}

func (s *scriptedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.FormValue("wait_ms"))
	wait := time.Duration(ms) * time.Millisecond
	s.mu.Lock()
	i, mute := len(s.calls), s.silencing
	s.calls = append(s.calls, recordedCall{at: time.Now(), wait: wait})
	behind := r.FormValue("after") != strconv.FormatUint(s.list.Version, 10)
	cut, fresh, deaf, down, turn, words := s.resetting, s.changed, s.unresponsive, s.down, s.queueDelay, ""
	if len(s.malformedReplies) > 0 {
		words, s.malformedReplies = s.malformedReplies[0], s.malformedReplies[1:]
	}
	s.mu.Unlock()
	if turn > 0 { // a timer of no time at all, in a bubble with -race, now and then crashes Go 1.26's runtime
		system.Sleep(r.Context(), turn)
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if words != "" {
		io.WriteString(w, words)
		return
	}
	if deaf {
		<-r.Context().Done()
		return
	}
	if wait > 0 && !behind {
		s.addOpen(1)
		var over, reset, muted bool
		select {
		case <-time.After(wait):
		case <-fresh:
		case <-r.Context().Done():
			over = true
		case <-cut:
			reset = true
		case <-mute:
			muted = true
		}
		s.addOpen(-1)
		switch {
		case over:
			return
		case reset:
			panic(http.ErrAbortHandler)
		case muted:
			s.mu.Lock()
			s.calls[i].silent = true
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait > 0 && s.openReply != "" {
		io.WriteString(w, s.openReply)
		s.openReply = ""
		return
	}
	answer := discovery.List{Version: s.list.Version, Entries: []discovery.Entry{}}
	if r.FormValue("after") != strconv.FormatUint(s.list.Version, 10) {
		answer = s.list
	}
	json.NewEncoder(w).Encode(answer)
}

// drainEndpoint has the endpoint drain, and answers the open calls with the change.
func (s *scriptedDiscovery) drainEndpoint() {
	s.mu.Lock()
	defer s.mu.Unlock()
	draining := ready("s-1", "127.0.0.1:1")
	draining.Health = "Terminating"
	s.list = discovery.List{Version: s.list.Version + 1, Complete: true, Entries: []discovery.Entry{draining}}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setResponsive sets whether calls are answered from now on.
func (s *scriptedDiscovery) setResponsive(is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = !is
}

// replyToOpenCall answers the open call with this text.
func (s *scriptedDiscovery) replyToOpenCall(words string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openReply = words
}

// pendingReplies returns how many malformed replies are still to be sent.
func (s *scriptedDiscovery) pendingReplies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.malformedReplies) + len(s.openReply)
}

// resetConnections ends the connections of all open calls.
func (s *scriptedDiscovery) resetConnections() {
	s.mu.Lock()
	close(s.resetting)
	s.resetting = make(chan struct{})
	s.mu.Unlock()
	synctest.Wait()
}

// addOpen counts a call that begins (1) or ends (-1) to wait for a change.
func (s *scriptedDiscovery) addOpen(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += n
}

// awaitOpenCall waits until a call waits for a change.
func (s *scriptedDiscovery) awaitOpenCall() {
	for {
		synctest.Wait()
		s.mu.Lock()
		waits := s.open > 0
		s.mu.Unlock()
		if waits {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// silenceOpenCalls keeps all open calls from being answered, ever, and returns the last of them.
func (s *scriptedDiscovery) silenceOpenCalls() recordedCall {
	s.mu.Lock()
	close(s.silencing)
	s.silencing = make(chan struct{})
	s.mu.Unlock()
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[len(s.calls)-1]
}

// newScriptedDiscovery starts a discovery that lists one endpoint, and returns how to dial it.
func newScriptedDiscovery(t *testing.T) (*scriptedDiscovery, dialer) {
	listener := newPipes()
	dir := &scriptedDiscovery{
		list:      discovery.List{Version: 1, Complete: true, Entries: []discovery.Entry{ready("s-1", "127.0.0.1:1")}},
		silencing: make(chan struct{}),
		resetting: make(chan struct{}),
		changed:   make(chan struct{}),
	}
	server := &http.Server{Handler: dir, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go server.Serve(listener)
	t.Cleanup(func() {
		server.Close()
		listener.Close()
	})
	return dir, listener.dial
}

type dialer = func(ctx context.Context, network, address string) (net.Conn, error)
