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

// pipeListener is a listener whose connections are in-process pipes, created by its dial method.
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
	at       time.Time     // time of arrival
	wait     time.Duration // wait time that the caller asked for
	silenced bool          // whether the call is never answered
}

// scriptedDiscovery is a discovery service whose responses and faults a test controls.
type scriptedDiscovery struct {
	mu               sync.Mutex
	list             discovery.List
	calls            []recordedCall
	openCalls        int           // number of calls that wait for a change and are not silenced
	silence          chan struct{} // channel closed and replaced to leave the calls then open unanswered
	reset            chan struct{} // channel closed and replaced to reset the connections of the calls then open
	changed          chan struct{} // channel closed and replaced when the list changes
	unresponsive     bool          // while set, new calls are never answered
	queueDelay       time.Duration // delay before a new call is handled
	down             bool          // while set, new calls are answered with status 503
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
	// A delay of 0 is skipped: with -race, a zero timer in a synctest bubble sometimes crashes the runtime of Go 1.26.
	if queueDelay > 0 {
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

// callSignals are the channels that end the wait of an open call. The call copies them from the service on its arrival.
type callSignals struct{ silenced, reset, changed <-chan struct{} }

// awaitChange makes a call wait until the list changes or the wait time has passed. It reports whether the call should
// be answered. A silenced call waits until its client gives up. For a reset call, awaitChange panics, which closes the
// connection.
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

// drainEndpoint changes the endpoint's health to draining. The open calls are then answered.
func (s *scriptedDiscovery) drainEndpoint() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = completeList(s.list.Version+1, drainingEntry("s-1", "127.0.0.1:1"))
	close(s.changed)
	s.changed = make(chan struct{})
}

// setResponsive sets whether calls that arrive from now on are answered.
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

// pendingReplies returns the number of malformed replies that have not been sent, plus the length of the reply to the
// open call if that has not been sent. It returns 0 once all have been sent.
func (s *scriptedDiscovery) pendingReplies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.malformedReplies) + len(s.openReply)
}

// resetConnections resets the connections of all open calls.
func (s *scriptedDiscovery) resetConnections() {
	s.mu.Lock()
	close(s.reset)
	s.reset = make(chan struct{})
	s.mu.Unlock()
	synctest.Wait()
}

// addOpen adds n to the number of open calls: 1 when a call begins to wait for a change, -1 when its wait ends.
func (s *scriptedDiscovery) addOpen(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openCalls += n
}

// awaitOpenCall returns once at least one call waits for a change.
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

// silenceOpenCalls leaves all open calls unanswered and returns the latest call received.
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

// newScriptedDiscovery starts a discovery service that lists one endpoint, and returns it with its dial function. The
// service runs until the test ends.
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

// dialFunc is a replacement for net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)
