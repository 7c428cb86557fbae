// Package admin serves the calls of operators at the sidecar's second address, which the setting admin_addr holds: the
// health check, cordon and uncordon of an endpoint, and quiesce and resume of the sidecar. A cordoned endpoint gets no
// new attempts until it is uncordoned. Quiesce begins a drain, during which clients are made to leave the sidecar, and
// resume ends it.
//
// The package shares no connections, limits or memory budget with the listener for clients, so that operators can reach
// the sidecar when it is overloaded. It passes what operators set to an operatorstate.Store, which applies it and keeps
// it for the next process; the package itself holds no state. It does not authenticate callers: the address must be
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
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/operatorstate"
)

// MaxConnections is the limit on open connections for admin calls. Their file descriptors are part of the sidecar's
// reserve.
const MaxConnections = 12

// CallTimeout is the read timeout and the write timeout of a call's connection, as in http.Server.
const CallTimeout = 2 * time.Second

const (
	// memoryBytes is the memory from which the budgets for calls are derived.
	memoryBytes  = 2 << 20
	maxHeadBytes = 4 << 10
	maxBodyBytes = 4 << 10 // maximum size of the body of a call; the body is read and discarded
)

// Sidecar is the part of the sidecar that admin calls query. Its methods must be safe for concurrent use.
type Sidecar interface {
	// Ready reports whether the process can serve requests. A drain by operators does not make the process unready: a
	// process that takes over during a drain must be reported as ready, too.
	Ready() bool
	// KnowsEndpoint reports whether there is an endpoint with this name that can be cordoned or uncordoned.
	KnowsEndpoint(name string) bool
}

// Server serves admin calls. Create one with NewServer.
type Server struct {
	sidecar Sidecar
	store   *operatorstate.Store
	log     *slog.Logger
	http    http.Server
	calls   map[string]call
}

// call is the method and handler of the admin call at one path.
type call struct {
	method string
	handle func(request *http.Request) error
}

// callError is the error of a failed call. It holds the status code and the text of the response. The response to any
// other error has status 500.
type callError struct {
	statusCode int
	reason     string
}

func (e *callError) Error() string { return e.reason }

// connContextKey is the key of the connection, a net.Conn, in the context of a call.
type connContextKey struct{}

// Listen opens a listener at the address for admin calls.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := handover.ListenAt(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	return listener, nil
}

// NewServer returns a Server whose calls query sidecar and update store. It logs to log.
func NewServer(sidecar Sidecar, store *operatorstate.Store, log *slog.Logger) *Server {
	s := &Server{sidecar: sidecar, store: store, log: log}
	s.calls = map[string]call{
		"/admin/health":   {http.MethodGet, s.health},
		"/admin/cordon":   {http.MethodPost, func(request *http.Request) error { return s.setCordon(request, true) }},
		"/admin/uncordon": {http.MethodPost, func(request *http.Request) error { return s.setCordon(request, false) }},
		"/admin/quiesce":  {http.MethodPost, func(*http.Request) error { return s.setDrained(true) }},
		"/admin/resume":   {http.MethodPost, func(*http.Request) error { return s.setDrained(false) }},
	}
	s.http = http.Server{Handler: http.HandlerFunc(s.serveCall), ReadTimeout: CallTimeout, WriteTimeout: CallTimeout,
		MaxHeaderBytes: maxHeadBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	s.http.SetKeepAlivesEnabled(false) // one call per connection
	return s
}

// Serve serves calls until ctx ends. It also refreshes the store regularly, to apply what operators set in another
// process of the same sidecar. If MaxConnections connections are open, a new connection takes the place of a connection
// without an open call: one that is being closed already or, if there is none, the one that has been silent for
// longest. The error says why the listener ended and is never nil; it is http.ErrServerClosed after the end of ctx.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.store.Refresh()
	go s.followStore(ctx)
	return s.http.Serve(&downstream.Listener{Listener: listener, Log: s.log, Memory: httpmsg.NewMemoryBudgets(memoryBytes),
		MaxConnections: MaxConnections, MaxUsed: MaxConnections})
}

// followStore refreshes the store every operatorstate.PollInterval, to apply what another process of the sidecar has
// stored. When ctx ends, it closes the server and returns.
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

// serveCall is the HTTP handler of all calls.
func (s *Server) serveCall(w http.ResponseWriter, request *http.Request) {
	if ok := request.Context().Value(connContextKey{}).(*downstream.Conn).BeginRequest(); !ok {
		panic(http.ErrAbortHandler) // the connection was just closed to make room for a new one
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c, ok := s.calls[request.URL.Path]
	if !ok {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if request.Method != c.method {
		w.Header().Set("Allow", c.method)
		http.Error(w, "this call is "+c.method, http.StatusMethodNotAllowed)
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, request.Body, maxBodyBytes)); err != nil {
		http.Error(w, "the call's body could not be read, or is too large", http.StatusBadRequest)
		return
	}
	if err := c.handle(request); err != nil {
		responseCode := http.StatusInternalServerError
		var callErr *callError
		if errors.As(err, &callErr) {
			responseCode = callErr.statusCode
		}
		http.Error(w, err.Error(), responseCode)
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

// setCordon cordons or uncordons the endpoint that the query parameter name specifies.
func (s *Server) setCordon(request *http.Request, cordoned bool) error {
	query, err := url.ParseQuery(request.URL.RawQuery)
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

// setDrained starts or ends the drain of the sidecar, during which clients are made to leave it.
func (s *Server) setDrained(drained bool) error {
	return s.store.Update(func(state *operatorstate.State) { state.Drained = drained })
}
