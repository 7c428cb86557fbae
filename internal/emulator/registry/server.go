// Package registry is a test double of the discovery service.
//
// It serves the endpoint list as complete lists and by long-polling watches, limits its rate as the real
// service does, and injects that service's faults: outages, silence, resets and a move to another address.
// Lists are versioned; each response is encoded once per version. It does not check the health of the
// endpoints that it lists.
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
	defaultHistory   = 256
	defaultMoveGrace = 1500 * time.Millisecond
	acceptRetryDelay = 5 * time.Millisecond
)

// ErrClosed is returned for a Server that has been closed.
var ErrClosed = errors.New("registry: server closed")

// Options are the settings of a Server.
type Options struct {
	// CallsPerSecond is the rate at which calls are admitted, without bursts; 0: no limit.
	// A watch is admitted once, when it arrives.
	CallsPerSecond float64
	// MaxQueueDelay is how long a call may wait to be admitted; one that would wait longer
	// gets a 503 after it. 0: no limit.
	MaxQueueDelay time.Duration
	// History is the number of versions for which changes are stored; 0: 256.
	History int
	// Logger logs faults; nil: slog.Default().
	Logger *slog.Logger
}

// Server is a registry. Make one with New. It is safe for concurrent use.
type Server struct {
	options   Options
	logger    *slog.Logger
	limiter   *rate.Limiter
	traffic   httpconn.Traffic
	counters  counters
	startCPU  time.Duration
	moveGrace time.Duration
	serving   sync.WaitGroup

	mu          sync.Mutex
	list        *endpointList
	watches     map[*pendingWatch]struct{} // pending
	listeners   map[net.Listener]*httpconn.Set
	connections httpconn.Set // of all listeners, present and past
	down        bool
	silent      bool
	closed      bool
}

// New returns a Server with an empty list of version 0, which listens nowhere yet.
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

// Set replaces the complete list as one version. Every pending watch gets that list.
func (s *Server) Set(instances []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.set(instances)
	s.wakeWatches()
}

// Update makes one version of the changes. Health Gone removes an instance.
func (s *Server) Update(changes ...Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.update(changes)
	s.wakeWatches()
}

// Version returns the version of the list.
func (s *Server) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.version
}

// Counts returns the counters so far.
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

// Close stops serving, closes all connections and waits for their goroutines.
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
