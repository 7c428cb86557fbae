package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/downstream"
	"oakproxy/internal/handover"
)

// Limits of clients' connections and requests.
const (
	// responseMargin is the part of a client's time that is reserved for writing the final response. It is small
	// because some clients have 40 ms in all.
	responseMargin      = 2 * time.Millisecond
	maxRequestHeadBytes = 32 << 10
	maxTimeLeft         = time.Minute // the most time that a request gets, whatever its client asks for
	maxIDLength         = 256         // characters of a correlation id; ids of the protocol have 16

	// A client that takes longer is silent, slow on purpose or dead. It may stay for 3 s at most.
	readTimeout  = 2500 * time.Millisecond // for the head: one that comes slowly may take 2 s
	idleTimeout  = 2100 * time.Millisecond // the protocol allows closing after 2 s without a request
	writeTimeout = 2 * time.Second         // for the response: it fits into the socket's buffer of a client that reads
)

// While clients are to leave, connections without a request are closed after a pause. One that was used waits for
// less: the application's clients use most connections soon after they open them.
const (
	sweepInterval = 20 * time.Millisecond
	minIdleUsed   = 200 * time.Millisecond // since the last request
	minIdleUnused = time.Second            // since the connection was accepted
)

// Parts of what the platform grants a sidecar.
const (
	reservedSockets        = 32          // descriptors for discovery, admin calls, logs and the runtime
	usedConnectionsDivisor = 6           // of the descriptors: beyond this part clients' connections end with each response
	bodyMemoryDivisor      = 8           // of the memory, for the bodies of requests and responses
	busyRetryAfter         = time.Second // Retry-After while that memory is in use
	minConnections         = 12          // of each of two processes, however few descriptors there are
)

// server takes the application's requests. Its handlers run in the goroutines of net/http, one for each connection,
// and pass requests to the loop.
type server struct {
	loop      *loop
	log       *slog.Logger
	http      http.Server
	clients   *downstream.Listener
	admission *requestAdmission
	inFlight  inFlightRequests

	terminating       atomic.Bool
	drainedByOperator atomic.Bool
	drainPeriod       time.Duration // from SIGTERM until admission closes

	slot         atomic.Pointer[handover.Slot] // of this process; nil where there can be no other, and until acquired
	limitsMu     sync.Mutex                    // held while limits are applied
	processCount int                           // of this sidecar, which share its limits; guarded by limitsMu
}

// connContextKey finds the connection of a request in its context.
type connContextKey struct{}

func clientConn(in *http.Request) *downstream.Conn {
	return in.Context().Value(connContextKey{}).(*downstream.Conn)
}

func newServer(loop *loop) *server {
	s := &server{loop: loop, log: loop.log, processCount: 1, admission: newRequestAdmission(), drainPeriod: defaultDrainPeriod,
		clients: &downstream.Listener{Log: loop.log, MaxConnections: maxConnections(loop.cfg),
			MaxUsed: loop.cfg.Limits.Sockets / usedConnectionsDivisor}}
	loop.onLimitsChanged, loop.closeCounts = s.reapplyLimits, s.clients.CloseCounts
	s.http = http.Server{
		// Not a ServeMux: it would redirect paths that endpoints must see unchanged.
		Handler:           http.HandlerFunc(s.serveRequest),
		ReadHeaderTimeout: readTimeout, WriteTimeout: maxTimeLeft + writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxRequestHeadBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*downstream.Conn).EndRequest()
			}
		},
		ErrorLog: slog.NewLogLogger(loop.log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	return s
}

// draining reports whether clients are to leave: every response ends its connection.
func (s *server) draining() bool { return s.terminating.Load() || s.drainedByOperator.Load() }

// acceptsRequests reports whether clients should send requests here.
func (s *server) acceptsRequests() bool { return !s.draining() && s.loop.hasReadyEndpoint.Load() }

// closeIdleWhileDraining closes connections on which no request comes, whenever clients are to leave, until ctx ends.
func (s *server) closeIdleWhileDraining(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if s.draining() {
				s.clients.ExpireIdle(minIdleUsed, minIdleUnused)
			}
		case <-ctx.Done():
			return
		}
	}
}

// maxConnections is how many connections clients may hold, and how many there may be to endpoints: each client's
// request has one attempt at a time.
func maxConnections(cfg *config.Config) int { return (cfg.Limits.Sockets - reservedSockets) / 2 }

// bodyMemoryLimit is the memory, in bytes, that a configuration grants to the bodies of requests and responses.
func bodyMemoryLimit(cfg *config.Config) int64 {
	return int64(cfg.Limits.MemoryMB) << 20 / bodyMemoryDivisor
}
