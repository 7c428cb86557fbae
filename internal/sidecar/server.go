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
	"oakproxy/internal/requestids"
)

// Limits of clients' connections and requests.
const (
	// responseMargin is the part of a request's time that is reserved for writing the final response. It is small
	// because some clients allow only 40 ms for the whole request.
	responseMargin      = 2 * time.Millisecond
	maxRequestHeadBytes = 32 << 10
	maxTimeLeft         = time.Hour // upper limit of the time that a client grants a request in X-Time-Left-Ms
	maxIDLength         = 256       // maximum bytes of a correlation id; the ids that the protocol defines have 16

	// A client that exceeds these timeouts is silent, deliberately slow or dead. It may stay connected for 3 s at most.
	readTimeout  = 2500 * time.Millisecond // limit on reading a request's head; a slow client may take 2 s
	idleTimeout  = 2100 * time.Millisecond // limit on the time between requests; the protocol allows closing after 2 s
	writeTimeout = 2 * time.Second         // limit on writing a response; the socket buffer has room if the client reads
)

// While the sidecar drains, idle connections are closed after a minimum idle time. The application's clients use most
// connections soon after they open them. The minimum is therefore longer for a connection that has carried no request:
// its first request is probably on its way.
const (
	sweepInterval = 20 * time.Millisecond  // time between two checks for idle connections
	minIdleUsed   = 200 * time.Millisecond // minimum idle time of a connection that has carried a request
	minIdleUnused = time.Second            // minimum idle time of a connection that has carried no request yet
)

// How the configured limits of descriptors and memory are divided.
const (
	// reservedSockets is the number of descriptors reserved for discovery, admin calls, logs and the runtime.
	reservedSockets = 32

	// If more than 1/usedConnectionsDivisor of the descriptors belong to clients' connections that have carried a
	// request, each response ends its connection.
	usedConnectionsDivisor = 6

	// memoryPerConnection is what a client's connection with an open request uses in bytes, with the connection to its
	// endpoint: goroutines, buffers and its part of the budgets. All connections may use the memory divided by
	// connectionMemoryDivisor.
	memoryPerConnection     = 56 << 10
	connectionMemoryDivisor = 2

	// idMemoryDivisor is the part of the memory for the ids of requests: the memory divided by this.
	idMemoryDivisor = 32

	busyRetryAfter = time.Second // Retry-After of a request that is rejected because some memory is used up
	minConnections = 12          // lowest connection limit of each process, however few descriptors there are
)

// server accepts the application's requests. Its handlers run in the goroutines of net/http, one for each connection,
// and pass the requests to the loop.
type server struct {
	loop      *loop
	log       *slog.Logger
	http      http.Server
	clients   *downstream.Listener
	admission *requestAdmission
	inFlight  inFlightRequests
	ids       *requestids.Registry // ids of the requests that may have been executed
	overdue   atomic.Uint64        // number of uploads that were not forwarded by their forwarding deadline

	terminating       atomic.Bool   // whether shutdown has started
	drainedByOperator atomic.Bool   // whether an operator has drained the sidecar
	drainPeriod       time.Duration // time from SIGTERM until admission closes

	// slot is the mark by which the sidecar's other processes notice this one. It is nil until it is acquired, and it
	// remains nil if there can be no other process.
	slot         atomic.Pointer[handover.Slot]
	limitsMu     sync.Mutex // mutex that is held while the limits are applied
	processCount int        // number of processes of this sidecar, which share its limits; guarded by limitsMu
}

// connContextKey is the key of the client's connection in the context of a request.
type connContextKey struct{}

func clientConn(in *http.Request) *downstream.Conn {
	return in.Context().Value(connContextKey{}).(*downstream.Conn)
}

func newServer(l *loop) *server {
	s := &server{loop: l, log: l.log, processCount: 1, admission: newRequestAdmission(),
		ids:         requestids.New(registryBytes(l.cfg), l.operatorClock.Uptime),
		drainPeriod: defaultDrainPeriod,
		clients: &downstream.Listener{Log: l.log, Memory: l.upstream.Memory, MaxConnections: maxConnections(l.cfg),
			MaxUsed: l.cfg.Limits.Sockets / usedConnectionsDivisor}}
	l.clientSide = s
	s.http = http.Server{
		// The handler is not a ServeMux, which would redirect paths that endpoints must receive unchanged.
		Handler: http.HandlerFunc(s.serveRequest),
		// net/http would answer OPTIONS * with 200, although no client's request has that form.
		DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout:            readTimeout, WriteTimeout: maxTimeLeft + writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxRequestHeadBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*downstream.Conn).EndRequest()
			}
		},
		ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	return s
}

var _ clientSide = (*server)(nil)

func (s *server) closeCounts() downstream.CloseCounts { return s.clients.CloseCounts() }

func (s *server) openRequests() int { return s.inFlight.count() }

func (s *server) overdueUploads() uint64 { return s.overdue.Load() }

// draining reports whether clients should disconnect. While it returns true, every response ends its connection.
func (s *server) draining() bool { return s.terminating.Load() || s.drainedByOperator.Load() }

// acceptsRequests reports whether clients should send requests to this process.
func (s *server) acceptsRequests() bool { return !s.draining() && s.loop.hasReadyEndpoint.Load() }

// closeIdleWhileDraining closes clients' idle connections whenever the server is draining. It returns when ctx ends.
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

// registryBytes returns the size of the memory for the ids of requests.
func registryBytes(cfg *config.Config) int { return cfg.Limits.MemoryMB << 20 / idMemoryDivisor }

// shareIDs makes this process share the ids of requests with the other processes of this sidecar, in a file in dir. If
// that fails, it remembers only its own.
func (s *server) shareIDs(dir string) {
	shared, err := requestids.OpenShared(dir, registryBytes(s.loop.cfg), s.loop.operatorClock.Uptime)
	if err != nil {
		s.log.Warn("ids of requests not shared", "error", err)
		return
	}
	s.ids = shared
}

// maxConnections returns the limit of clients' connections of a process that is alone. The limit of connections to
// endpoints is the same, because a request usually has only one attempt in flight.
func maxConnections(cfg *config.Config) int { return connectionLimit(cfg.Limits, 1) }

// connectionLimit returns the limit of clients' connections of one of several processes, which share the descriptors and
// the memory of the sidecar equally.
func connectionLimit(limits config.Limits, processCount int) int {
	bySockets := (limits.Sockets/processCount - reservedSockets) / 2
	byMemory := limits.MemoryMB << 20 / processCount / connectionMemoryDivisor / memoryPerConnection
	return max(minConnections, min(bySockets, byMemory))
}
