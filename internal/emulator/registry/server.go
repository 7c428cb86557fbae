// Package registry is a test double of the discovery service.
//
// A Server serves the endpoint list in two ways: as a complete list, and as changes to clients that watch the list by
// long polling. It limits the rate of calls as the real service does, and it can simulate the faults of that service:
// outages, silence, connection resets and a move to another address. Lists are versioned; each response is encoded at
// most once per version. The Server does not check the health of the endpoints that it lists.
package registry

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"oakproxy/internal/emulator/httpconn"
)

const (
	defaultHistory   = 256                     // default of Options.History
	defaultMoveGrace = 1500 * time.Millisecond // value of Server.moveGrace outside tests
	acceptRetryDelay = 5 * time.Millisecond    // pause after a failed accept
)

// ErrClosed is returned by Listen and Move after Close.
var ErrClosed = errors.New("registry: server is closed")

// Options are the settings of a Server.
type Options struct {
	// CallsPerSecond is the rate at which calls are admitted, without bursts; 0 means no limit. The limit treats a
	// watch as one call, which is admitted when the watch arrives.
	CallsPerSecond float64
	// MaxQueueDelay is the longest time that a call may wait to be admitted; 0 means no limit. A call that would have
	// to wait longer gets a 503 after MaxQueueDelay.
	MaxQueueDelay time.Duration
	// History is the number of versions whose changes are kept; 0 means 256.
	History int
	// Logger receives log records about simulated faults and failed accepts; nil means slog.Default().
	Logger *slog.Logger
}

// Server is a simulated discovery server. New creates one. It is safe for concurrent use.
type Server struct {
	options   Options
	logger    *slog.Logger
	limiter   *rate.Limiter
	traffic   httpconn.Traffic
	counters  counters
	startCPU  time.Duration  // processor time of the process at New
	moveGrace time.Duration  // time after Move until the connections accepted at earlier addresses are closed
	serving   sync.WaitGroup // goroutines that accept or serve connections

	mu          sync.Mutex
	list        *endpointList
	watches     map[*pendingWatch]struct{}
	listeners   map[net.Listener]*httpconn.Set // open listeners, each with its connections
	connections httpconn.Set                   // connections of all listeners, including listeners that Move has closed
	down        bool                           // set by SetDown
	silent      bool                           // set by SetSilent
	closed      bool
}

// New returns a Server with an empty list of version 0. It does not listen before Listen is called.
func New(options Options) *Server {
	if options.History <= 0 {
		options.History = defaultHistory
	}
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	limit := rate.Inf
	if options.CallsPerSecond > 0 {
		limit = rate.Limit(options.CallsPerSecond)
	}
	return &Server{
		options:   options,
		logger:    options.Logger,
		limiter:   rate.NewLimiter(limit, 1),
		startCPU:  processCPU(),
		moveGrace: defaultMoveGrace,
		list:      newEndpointList(options.History),
		watches:   map[*pendingWatch]struct{}{},
		listeners: map[net.Listener]*httpconn.Set{},
	}
}

// Set replaces the complete list and thereby creates one new version. Every pending watch gets the complete list.
func (s *Server) Set(instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.set(instances)
	s.wakeWatches()
}

// Update applies the changes to the list and thereby creates one new version. A change with health Removed removes the
// instance.
func (s *Server) Update(changes ...Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.update(changes)
	s.wakeWatches()
}

// Version returns the current version of the list.
func (s *Server) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.version
}

// Counts returns the current values of the counters.
func (s *Server) Counts() Counts {
	return Counts{
		ListCalls:         s.counters.listCalls.Load(),
		WatchCalls:        s.counters.watchCalls.Load(),
		CompleteResponses: s.counters.completeResponses.Load(),
		DeltaResponses:    s.counters.deltaResponses.Load(),
		EmptyResponses:    s.counters.emptyResponses.Load(),
		Unavailable:       s.counters.unavailable.Load(),
		NotFound:          s.counters.notFound.Load(),
		Reset:             s.counters.reset.Load(),
		BytesIn:           s.traffic.BytesIn(),
		BytesOut:          s.traffic.BytesOut(),
		Connections:       s.connections.Counts(),
		HandlingCPU:       time.Duration(s.counters.handlingCPU.Load()),
		ProcessCPU:        processCPU() - s.startCPU,
	}
}

// Close stops the server: it closes all listeners and connections and waits until their goroutines have ended.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	var errs []error
	for listener := range s.listeners {
		errs = append(errs, listener.Close())
	}
	clear(s.listeners)
	s.mu.Unlock()
	for _, c := range s.connections.All() {
		c.Close()
	}
	s.serving.Wait()
	return errors.Join(errs...)
}
