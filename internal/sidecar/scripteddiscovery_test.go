//go:build go1.25

package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oakproxy/internal/discovery"
	"oakproxy/internal/system"
)

// pipeListener is a listener whose connections are pipeListener within the process.
type pipeListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordedCall is a call that a scriptedDiscovery received.
type recordedCall struct {
	at       time.Time
	wait     time.Duration
	silenced bool // whether it is never answered
}

// scriptedDiscovery is a discovery service whose responses and faults a test controls.
type scriptedDiscovery struct {
	mu               sync.Mutex
	list             discovery.List
	calls            []recordedCall
	openCalls        int           // calls that wait for a change and are not silenced
	silence          chan struct{} // closed: calls open then are never answered
	reset            chan struct{} // closed: connections of calls open then are reset
	changed          chan struct{} // closed: the list has changed
	unresponsive     bool          // while it is set, new calls are never answered
	queueDelay       time.Duration // time that a new call is queued
	down             bool          // while it is set, new calls are answered 503
	malformedReplies []string      // responses to the next calls, in place of the list
	openReply        string        // response to the open call, in place of the list
}

func (s *scriptedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.FormValue("wait_ms"))
	wait := time.Duration(ms) * time.Millisecond
	s.mu.Lock()
	call, signals := len(s.calls), callSignals{s.silence, s.reset, s.changed}
	s.calls = append(s.calls, recordedCall{at: time.Now(), wait: wait})
	outdated := r.FormValue("after") != strconv.FormatUint(s.list.Version, 10)
	unresponsive, down, queueDelay, malformed := s.unresponsive, s.down, s.queueDelay, ""
	if len(s.malformedReplies) > 0 {
		malformed, s.malformedReplies = s.malformedReplies[0], s.malformedReplies[1:]
	}
	s.mu.Unlock()
	if queueDelay > 0 { // with -race, a timer of zero in a synctest bubble sometimes crashes the runtime of Go 1.26
		system.Sleep(r.Context(), queueDelay)
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if malformed != "" {
		io.WriteString(w, malformed)
		return
	}
	if unresponsive {
		<-r.Context().Done()
		return
	}
	if wait > 0 && !outdated && !s.awaitChange(r.Context(), call, wait, signals) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait > 0 && s.openReply != "" {
		io.WriteString(w, s.openReply)
		s.openReply = ""
		return
	}
	response := discovery.List{Version: s.list.Version, Entries: []discovery.Entry{}}
	if r.FormValue("after") != strconv.FormatUint(s.list.Version, 10) {
		response = s.list
	}
	json.NewEncoder(w).Encode(response)
}

// callSignals end the wait of an open call. They are taken when the call arrives.
type callSignals struct{ silenced, reset, changed <-chan struct{} }

// awaitChange keeps an open call waiting for a change of the list. It reports whether the call is to be answered. A
// silenced call waits until its client gives up; the connection of a reset call is closed by a panic.
func (s *scriptedDiscovery) awaitChange(
	ctx context.Context,
	call int,
	wait time.Duration,
	signals callSignals,
) (answer bool) {
	s.addOpen(1)
	var isCancelled, isReset, isSilenced bool
	select {
	case <-time.After(wait):
	case <-signals.changed:
	case <-ctx.Done():
		isCancelled = true
	case <-signals.reset:
		isReset = true
	case <-signals.silenced:
		isSilenced = true
	}
	s.addOpen(-1)
	switch {
	case isCancelled:
		return false
	case isReset:
		panic(http.ErrAbortHandler)
	case isSilenced:
		s.mu.Lock()
		s.calls[call].silenced = true
		s.mu.Unlock()
		<-ctx.Done()
		return false
	}
	return true
}

// drainEndpoint has the endpoint drain, and answers the open calls with the change.
func (s *scriptedDiscovery) drainEndpoint() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = completeList(s.list.Version+1, drainingEntry("s-1", "127.0.0.1:1"))
	close(s.changed)
	s.changed = make(chan struct{})
}

// setResponsive sets whether calls are answered from now on.
func (s *scriptedDiscovery) setResponsive(responsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = !responsive
}

// replyToOpenCall sets the response to the open call, in place of the list.
func (s *scriptedDiscovery) replyToOpenCall(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openReply = text
}

// pendingReplies returns a number that is 0 once all malformed replies and the open reply were sent.
func (s *scriptedDiscovery) pendingReplies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.malformedReplies) + len(s.openReply)
}

// resetConnections ends the connections of all open calls.
func (s *scriptedDiscovery) resetConnections() {
	s.mu.Lock()
	close(s.reset)
	s.reset = make(chan struct{})
	s.mu.Unlock()
	synctest.Wait()
}

// addOpen counts a call that begins (1) or ends (-1) to wait for a change.
func (s *scriptedDiscovery) addOpen(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openCalls += n
}

// awaitOpenCall waits until a call waits for a change.
func (s *scriptedDiscovery) awaitOpenCall() {
	for {
		synctest.Wait()
		s.mu.Lock()
		waiting := s.openCalls > 0
		s.mu.Unlock()
		if waiting {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// silenceOpenCalls prevents all open calls from being answered and returns the last of them.
func (s *scriptedDiscovery) silenceOpenCalls() recordedCall {
	s.mu.Lock()
	close(s.silence)
	s.silence = make(chan struct{})
	s.mu.Unlock()
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[len(s.calls)-1]
}

// newScriptedDiscovery starts a discovery that lists one endpoint, and returns how to dial it.
func newScriptedDiscovery(t *testing.T) (*scriptedDiscovery, dialFunc) {
	t.Helper()
	listener := newPipeListener()
	service := &scriptedDiscovery{
		list:    completeList(1, ready("s-1", "127.0.0.1:1")),
		silence: make(chan struct{}),
		reset:   make(chan struct{}),
		changed: make(chan struct{}),
	}
	server := &http.Server{Handler: service, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go server.Serve(listener)
	t.Cleanup(func() {
		server.Close()
		listener.Close()
	})
	return service, listener.dial
}

// dialFunc dials in place of net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
