package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/downstream"
	"oakproxy/internal/handover"
	"oakproxy/internal/operatorstate"
	"oakproxy/internal/upstream"
	"oakproxy/internal/warmstart"
)

const (
	responseMargin    = 2 * time.Millisecond   // of a client's time, kept for writing the final answer: some have 40 ms in all
	sweepInterval     = 20 * time.Millisecond  // while clients are to leave
	minIdleUsed       = 200 * time.Millisecond // without a request, after which a client that is to leave is made to:
	minIdleUnused     = time.Second            // the application's clients use most connections sooner, new ones at once
	reservedSockets   = 32                     // descriptors for discovery, logs and the runtime
	busyRetryAfter    = time.Second            // wait told to clients that find all room for bodies in use
	maxTimeLeft       = time.Minute            // that a request gets
	maxIDLength       = 256                    // characters of an id: an id of the protocol has 16
	crowdedDivisor    = 6                      // of the descriptors: clients hold twice as many for requests at most
	bodyMemoryDivisor = 8                      // of the memory, this part may hold bodies of requests

	// A client that takes longer is silent, slow on purpose or dead, and 3 s are the
	// most it may stay.
	readTimeout  = 2500 * time.Millisecond // for a head: one that comes slowly may take 2 s
	idleTimeout  = 2100 * time.Millisecond // a connection may be closed after 2 s with no request open
	writeTimeout = 2 * time.Second         // for an answer: it fits into the socket's buffer unless a client reads nothing
)

// server takes the application's requests.
type server struct {
	loop              *loop
	log               *slog.Logger
	http              http.Server
	clients           *downstream.Listener
	terminating       atomic.Bool
	admission         *requestAdmission
	drainedByOperator atomic.Bool // by hand

	inFlight inFlightRequests

	limitsMu  sync.Mutex // held while they are set
	processes int        // of this sidecar, among which the limits are shared

	drainPeriod time.Duration                 // after SIGTERM
	slot        atomic.Pointer[handover.Slot] // among the processes of this sidecar; nil where there can be no other
}

// Run serves until ctx ends, then answers what it has taken and returns. Any number of new configurations may come
// at any time; each is in force, or refused, by the time that the next one is received.
func Run(ctx context.Context, cfg *config.Config, reloads <-chan *config.Config, log *slog.Logger) error {
	listener, err := handover.Listen(ctx, cfg.Listen, cfg.Passed)
	if err != nil {
		return err
	}
	var second net.Listener
	if cfg.Admin != "" {
		if second, err = listenAdmin(ctx, cfg.Admin); err != nil {
			listener.Close()
			return err
		}
		defer second.Close()
	}
	// The loop outlives ctx: requests in hand still need it.
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	l, err := newLoop(loopCtx, cfg, log)
	if err != nil {
		listener.Close()
		return err
	}
	go func() {
		for next := range reloads {
			l.runUrgent(func(balancer.Micros) { l.reload(next) })
		}
	}()
	if cfg.Passed != "" { // another process may take over
		m := warmstart.NewStore(loopCtx, cfg.Name, cfg.Host, log)
		l.warmStart, l.saveEstimates = m.Load(l.clock.now()), m.Save
	}
	s := newServer(l)
	s.setProcesses(1)
	if cfg.Passed != "" {
		s.acquireSlot(ctx, cfg.Host.Directory)
		go s.followPeers(loopCtx, cfg.Host.Directory)
	}
	if second != nil {
		a := newAdmin(s)
		a.load()
		go a.serve(second)
	}
	defer l.upstream.SetMaxConnections(0) // the process may live on: idle connections end with the sidecar
	return s.serve(ctx, listener)
}

// maxConnections is the most that clients may hold, and the most to endpoints:
// every client's request has one attempt at a time.
func maxConnections(cfg *config.Config) int { return (cfg.Limits.Sockets - reservedSockets) / 2 }

// minConnections are left to each of two processes, however few descriptors there are.
const minConnections = 12

func (s *server) serve(ctx context.Context, listener net.Listener) error {
	s.clients.Listener = listener
	go s.loop.run()
	go s.closeIdleWhileDraining()
	served := make(chan error, 1)
	go func() {
		// A process that takes over leaves clients to the other one until it can serve them.
		for s.hasPeer() && !s.loop.endpointsKnown.Load() && ctx.Err() == nil {
			time.Sleep(sweepInterval)
		}
		if ctx.Err() == nil {
			served <- s.http.Serve(s.clients)
		}
	}()
	select {
	case err := <-served:
		s.log.Error("listener failed", "error", err)
		s.terminate()
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	s.terminate()
	return nil
}

// connContextKey finds the connection of a request in its context.
type connContextKey struct{}

func newServer(l *loop) *server {
	s := &server{loop: l, log: l.log, processes: 1, admission: newRequestAdmission(),
		clients: &downstream.Listener{Log: l.log, MaxConnections: maxConnections(l.cfg), MaxUsed: l.cfg.Limits.Sockets / crowdedDivisor}, drainPeriod: defaultDrainPeriod}
	l.limitsChanged, l.closeCounts = s.reapplyLimits, s.clients.CloseCounts
	// Not a ServeMux: it would redirect paths that endpoints are to see as they are.
	s.http = http.Server{Handler: http.HandlerFunc(s.serveRequest),
		ReadHeaderTimeout: readTimeout, WriteTimeout: maxTimeLeft + writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: upstream.MaxHeadBytes, ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*downstream.Conn).EndRequest()
			}
		}, ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	return s
}

// hasPeer says whether another process of this sidecar runs.
func (s *server) hasPeer() bool {
	seat := s.slot.Load()
	if seat == nil {
		return false
	}
	alive, _ := seat.Peers()
	return alive > 0
}

// replaced says whether another process serves the clients that come from now on.
func (s *server) replaced() bool {
	seat := s.slot.Load()
	if seat == nil {
		return false
	}
	_, ready := seat.Peers()
	return ready > 0
}

// draining says that clients are to go elsewhere: every answer ends its connection.
func (s *server) draining() bool { return s.terminating.Load() || s.drainedByOperator.Load() }

// closeIdleWhileDraining makes connections end on which no request comes, while clients are to leave.
func (s *server) closeIdleWhileDraining() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if s.draining() {
				s.clients.CloseIdle(minIdleUsed, minIdleUnused)
			}
		case <-s.loop.ctx.Done():
			return
		}
	}
}

// applyOperatorState makes what operators have set hold.
func (s *server) applyOperatorState(st operatorstate.State) {
	if s.drainedByOperator.Swap(st.Drained) != st.Drained {
		s.log.Info("operator override", "drained", st.Drained)
	}
	s.loop.runUrgent(func(now balancer.Micros) { s.loop.applyOverrides(now, st.Hosts) })
}

// acceptsRequests says whether clients may send requests here.
func (s *server) acceptsRequests() bool { return !s.draining() && s.loop.endpointsKnown.Load() }

func (s *server) handleReady(w http.ResponseWriter) {
	if s.draining() {
		w.Header().Set("Connection", "close")
	}
	if !s.acceptsRequests() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// bodyMemoryLimit is the memory, in bytes, that a configuration grants to the bodies of requests and answers.
func bodyMemoryLimit(cfg *config.Config) int64 {
	return int64(cfg.Limits.MemoryMB) << 20 / bodyMemoryDivisor
}
