package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/downstream"
	"oakproxy/internal/handover"
	"oakproxy/internal/operatorstate"
)

const (
	maxAdminConnections = 12              // callers at once: their descriptors are part of reservedSockets
	adminTimeout        = 2 * time.Second // for a call to come whole, and for its answer to leave
	maxAdminHeadBytes   = 4 << 10         // bytes of a call's head
	maxAdminBodyBytes   = 4 << 10         // bytes of a call's body, of which nothing is used
)

// admin answers the operators' calls at the second address. It shares nothing
// with the clients' side but the loop, and goes ahead of the requests there: staff
// must be heard when the sidecar is at its worst.
type admin struct {
	server *server
	store  *operatorstate.Store
	http   http.Server
	calls  map[string]adminCall
}

// adminCall is what one path does.
type adminCall struct {
	method string
	do     func(in *http.Request) error
}

// callError is a call's no, with its status.
type callError struct {
	statusCode int
	reason     string
}

func (r *callError) Error() string { return r.reason }

func newAdmin(s *server) *admin {
	cfg := s.loop.current.Load()
	a := &admin{server: s, store: &operatorstate.Store{Directory: cfg.Host.Directory, Sidecar: cfg.Name, Log: s.loop.log,
		Files: cfg.Host.Files, Time: s.loop.operatorClock, Retention: s.loop.slowStartDuration, Apply: s.applyOperatorState}}
	a.calls = map[string]adminCall{
		"/admin/health":   {http.MethodGet, a.health},
		"/admin/cordon":   {http.MethodPost, func(in *http.Request) error { return a.setCordon(in, true) }},
		"/admin/uncordon": {http.MethodPost, func(in *http.Request) error { return a.setCordon(in, false) }},
		"/admin/quiesce":  {http.MethodPost, func(*http.Request) error { return a.setDrained(true) }},
		"/admin/resume":   {http.MethodPost, func(*http.Request) error { return a.setDrained(false) }},
	}
	a.http = http.Server{Handler: http.HandlerFunc(a.serveCall), ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
		MaxHeaderBytes: maxAdminHeadBytes, ErrorLog: slog.NewLogLogger(s.loop.log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	a.http.SetKeepAlivesEnabled(false) // one call to a connection
	return a
}

// load takes up what the process before this one was told. It comes before the loop
// runs, so that nothing is sent to an endpoint that is left out.
func (a *admin) load() {
	st := a.store.Load(a.server.loop.ctx)
	a.server.drainedByOperator.Store(st.Drained)
	a.server.loop.applyOverrides(a.server.loop.clock.now(), st.Hosts)
}

// serve answers calls until the loop ends, and follows what the other process of
// this sidecar is told. Beyond its few connections the one that has waited longest
// for its call makes room.
func (a *admin) serve(listener net.Listener) {
	a.store.Refresh()
	go func() {
		poll := time.NewTicker(operatorstate.PollInterval)
		defer poll.Stop()
		for {
			select {
			case <-poll.C:
				a.store.Refresh()
			case <-a.server.loop.ctx.Done():
				a.http.Close()
				return
			}
		}
	}()
	a.http.Serve(&downstream.Listener{Listener: listener, Log: a.server.log, MaxConnections: maxAdminConnections, MaxUsed: maxAdminConnections})
}

func (a *admin) serveCall(w http.ResponseWriter, in *http.Request) {
	if ok := in.Context().Value(connContextKey{}).(*downstream.Conn).BeginRequest(); !ok {
		panic(http.ErrAbortHandler) // it has just made room
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c, ok := a.calls[in.URL.Path]
	if !ok {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if in.Method != c.method {
		w.Header().Set("Allow", c.method)
		http.Error(w, "this call is "+c.method, http.StatusMethodNotAllowed)
		return
	}
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, in.Body, maxAdminBodyBytes)); err != nil {
		http.Error(w, "the call's body could not be read, or is too large", http.StatusBadRequest)
		return
	}
	if err := c.do(in); err != nil {
		code := http.StatusInternalServerError
		if r, ok := err.(*callError); ok {
			code = r.statusCode
		}
		http.Error(w, err.Error(), code)
		return
	}
	io.WriteString(w, "ok\n")
}

// health says whether this process is ready to serve. A drain by hand does not count:
// a process that takes over in one must be found ready, too.
func (a *admin) health(*http.Request) error {
	if a.server.terminating.Load() || !a.server.loop.endpointsKnown.Load() {
		return &callError{http.StatusServiceUnavailable, "not ready"}
	}
	return nil
}

// setCordon leaves an endpoint out, or lets it serve again.
func (a *admin) setCordon(in *http.Request, out bool) error {
	query, err := url.ParseQuery(in.URL.RawQuery)
	if err != nil {
		return &callError{http.StatusBadRequest, "the query could not be read"}
	}
	names := query["name"]
	if len(names) != 1 || names[0] == "" {
		return &callError{http.StatusBadRequest, "name=ID must name one endpoint"}
	}
	name, known := names[0], false
	a.server.loop.runUrgent(func(balancer.Micros) { known = a.server.loop.knowsEndpoint(name) })
	if !known {
		return &callError{http.StatusNotFound, "no endpoint has this name"}
	}
	return a.store.Update(func(st *operatorstate.State) { st.SetCordon(name, out, a.store.Time.Now()) })
}

// setDrained has clients leave this sidecar, or lets them come again.
func (a *admin) setDrained(on bool) error {
	return a.store.Update(func(st *operatorstate.State) { st.Drained = on })
}

// listenAdmin opens the second address.
func listenAdmin(ctx context.Context, address string) (net.Listener, error) {
	listener, err := handover.ListenAt(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	return listener, nil
}
