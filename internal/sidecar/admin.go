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
	maxAdminCalls = 12              // callers at once: their descriptors are part of socketSpare
	adminTimeout  = 2 * time.Second // for a call to come whole, and for its answer to leave
	adminHead     = 4 << 10         // bytes of a call's head
	adminBody     = 4 << 10         // bytes of a call's body, of which nothing is used
)

// admin answers the operators' calls at the second address. It shares nothing
// with the clients' side but the loop, and goes ahead of the requests there: staff
// must be heard when the sidecar is at its worst.
type admin struct {
	server *server
	store  *operatorstate.Store
	http   http.Server
	calls  map[string]call
}

// call is what one path does.
type call struct {
	method string
	do     func(in *http.Request) error
}

// refusal is a call's no, with its status.
type refusal struct {
	code   int
	reason string
}

func (r *refusal) Error() string { return r.reason }

func newAdmin(s *server) *admin {
	cfg := s.loop.current.Load()
	a := &admin{server: s, store: &operatorstate.Store{Directory: cfg.Host.Directory, Sidecar: cfg.Name, Log: s.loop.log,
		Files: cfg.Host.Files, Time: s.loop.time, Retention: s.loop.rampTime, Apply: s.hold}}
	a.calls = map[string]call{
		"/admin/health":   {http.MethodGet, a.health},
		"/admin/cordon":   {http.MethodPost, func(in *http.Request) error { return a.cordon(in, true) }},
		"/admin/uncordon": {http.MethodPost, func(in *http.Request) error { return a.cordon(in, false) }},
		"/admin/quiesce":  {http.MethodPost, func(*http.Request) error { return a.drain(true) }},
		"/admin/resume":   {http.MethodPost, func(*http.Request) error { return a.drain(false) }},
	}
	a.http = http.Server{Handler: http.HandlerFunc(a.handle), ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
		MaxHeaderBytes: adminHead, ErrorLog: slog.NewLogLogger(s.loop.log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	a.http.SetKeepAlivesEnabled(false) // one call to a connection
	return a
}

// load takes up what the process before this one was told. It comes before the loop
// runs, so that nothing is sent to an endpoint that is left out.
func (a *admin) load() {
	st := a.store.Load(a.server.loop.ctx)
	a.server.drained.Store(st.Drained)
	a.server.loop.mark(a.server.loop.clock.now(), st.Hosts)
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
	a.http.Serve(&downstream.Listener{Listener: listener, Log: a.server.log, MaxConnections: maxAdminCalls, MaxUsed: maxAdminCalls})
}

func (a *admin) handle(w http.ResponseWriter, in *http.Request) {
	if ok := in.Context().Value(connKey{}).(*downstream.Conn).BeginRequest(); !ok {
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
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, in.Body, adminBody)); err != nil {
		http.Error(w, "the call's body could not be read, or is too large", http.StatusBadRequest)
		return
	}
	if err := c.do(in); err != nil {
		code := http.StatusInternalServerError
		if r, ok := err.(*refusal); ok {
			code = r.code
		}
		http.Error(w, err.Error(), code)
		return
	}
	io.WriteString(w, "ok\n")
}

// health says whether this process is ready to serve. A drain by hand does not count:
// a process that takes over in one must be found ready, too.
func (a *admin) health(*http.Request) error {
	if a.server.ending.Load() || !a.server.loop.listed.Load() {
		return &refusal{http.StatusServiceUnavailable, "not ready"}
	}
	return nil
}

// cordon leaves an endpoint out, or lets it serve again.
func (a *admin) cordon(in *http.Request, out bool) error {
	query, err := url.ParseQuery(in.URL.RawQuery)
	if err != nil {
		return &refusal{http.StatusBadRequest, "the query could not be read"}
	}
	names := query["name"]
	if len(names) != 1 || names[0] == "" {
		return &refusal{http.StatusBadRequest, "name=ID must name one endpoint"}
	}
	name, known := names[0], false
	a.server.loop.runUrgent(func(balancer.Micros) { known = a.server.loop.knows(name) })
	if !known {
		return &refusal{http.StatusNotFound, "no endpoint has this name"}
	}
	return a.store.Update(func(st *operatorstate.State) { st.SetCordon(name, out, a.store.Time.Now()) })
}

// drain has clients leave this sidecar, or lets them come again.
func (a *admin) drain(on bool) error {
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
