// Package admin serves the operators' calls at the sidecar's second address: health, cordon and uncordon of endpoints,
// quiesce and resume of the sidecar.
//
// It shares no connections, limits or memory budget with the clients' side, so that operators get through when the
// sidecar is overloaded. What they set goes into an operatorstate.Store, which puts it in force and keeps it for the
// next process; this package holds no state of its own. It does not authenticate its callers: the address must be
// reachable for operators only.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"time"

	"oakproxy/internal/downstream"
	"oakproxy/internal/handover"
	"oakproxy/internal/operatorstate"
)

// MaxConnections is how many connections are open at once. Their descriptors are part of those that the sidecar
// reserves.
const MaxConnections = 12

// CallTimeout limits the reading of a call, and the writing of its response.
const CallTimeout = 2 * time.Second

const (
	maxHeadBytes = 4 << 10
	maxBodyBytes = 4 << 10 // of a body that is read and not used
)

// Sidecar is what the calls ask of the sidecar. Its methods are called by many goroutines.
type Sidecar interface {
	// Ready reports whether the process can serve. A drain by operators does not count: a process that takes over
	// during one must be found ready, too.
	Ready() bool
	// KnowsEndpoint reports whether there is an endpoint of this name to cordon or uncordon.
	KnowsEndpoint(name string) bool
}

// Server answers calls. Make one with NewServer.
type Server struct {
	sidecar Sidecar
	store   *operatorstate.Store
	log     *slog.Logger
	http    http.Server
	calls   map[string]call
}

// call is what one path does.
type call struct {
	method string
	do     func(in *http.Request) error
}

// callError is the failure of a call, with the status to answer. Other errors are answered with status 500.
type callError struct {
	statusCode int
	reason     string
}

func (e *callError) Error() string { return e.reason }

// connContextKey finds the connection of a call in its context.
type connContextKey struct{}

// Listen opens the address of the admin calls.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := handover.ListenAt(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	return listener, nil
}

// NewServer returns a server of calls that change what is in the store.
func NewServer(sidecar Sidecar, store *operatorstate.Store, log *slog.Logger) *Server {
	s := &Server{sidecar: sidecar, store: store, log: log}
	s.calls = map[string]call{
		"/admin/health":   {http.MethodGet, s.health},
		"/admin/cordon":   {http.MethodPost, func(in *http.Request) error { return s.setCordon(in, true) }},
		"/admin/uncordon": {http.MethodPost, func(in *http.Request) error { return s.setCordon(in, false) }},
		"/admin/quiesce":  {http.MethodPost, func(*http.Request) error { return s.setDrained(true) }},
		"/admin/resume":   {http.MethodPost, func(*http.Request) error { return s.setDrained(false) }},
	}
	s.http = http.Server{Handler: http.HandlerFunc(s.serveCall), ReadTimeout: CallTimeout, WriteTimeout: CallTimeout,
		MaxHeaderBytes: maxHeadBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	s.http.SetKeepAlivesEnabled(false) // one call to a connection
	return s
}

// Serve answers calls until ctx ends, and follows what the other process of the sidecar is told. Beyond
// MaxConnections, the connection that has waited longest for its call is closed in favour of a new one. The error
// says why the listener ended, never nil.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.store.Refresh()
	go s.followStore(ctx)
	return s.http.Serve(&downstream.Listener{Listener: listener, Log: s.log,
		MaxConnections: MaxConnections, MaxUsed: MaxConnections})
}

// followStore takes up what the other process of the sidecar stores, until ctx ends; then it ends the server.
func (s *Server) followStore(ctx context.Context) {
	poll := time.NewTicker(operatorstate.PollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			s.store.Refresh()
		case <-ctx.Done():
			s.http.Close()
			return
		}
	}
}

func (s *Server) serveCall(w http.ResponseWriter, in *http.Request) {
	if ok := in.Context().Value(connContextKey{}).(*downstream.Conn).BeginRequest(); !ok {
		panic(http.ErrAbortHandler) // the connection was just closed in favour of a new one
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c, ok := s.calls[in.URL.Path]
	if !ok {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if in.Method != c.method {
		w.Header().Set("Allow", c.method)
		http.Error(w, "this call is "+c.method, http.StatusMethodNotAllowed)
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, in.Body, maxBodyBytes)); err != nil {
		http.Error(w, "the call's body could not be read, or is too large", http.StatusBadRequest)
		return
	}
	if err := c.do(in); err != nil {
		code := http.StatusInternalServerError
		var failed *callError
		if errors.As(err, &failed) {
			code = failed.statusCode
		}
		http.Error(w, err.Error(), code)
		return
	}
	io.WriteString(w, "ok\n")
}

func (s *Server) health(*http.Request) error {
	if !s.sidecar.Ready() {
		return &callError{http.StatusServiceUnavailable, "not ready"}
	}
	return nil
}

// setCordon cordons or uncordons the endpoint that the query names.
func (s *Server) setCordon(in *http.Request, cordoned bool) error {
	query, err := url.ParseQuery(in.URL.RawQuery)
	if err != nil {
		return &callError{http.StatusBadRequest, "the query could not be read"}
	}
	names := query["name"]
	if len(names) != 1 || names[0] == "" {
		return &callError{http.StatusBadRequest, "name=ID must name one endpoint"}
	}
	name := names[0]
	if !s.sidecar.KnowsEndpoint(name) {
		return &callError{http.StatusNotFound, "no endpoint has this name"}
	}
	return s.store.Update(func(state *operatorstate.State) { state.SetCordon(name, cordoned, s.store.Time.Now()) })
}

// setDrained has clients leave the sidecar, or lets them come again.
func (s *Server) setDrained(drained bool) error {
	return s.store.Update(func(state *operatorstate.State) { state.Drained = drained })
}
