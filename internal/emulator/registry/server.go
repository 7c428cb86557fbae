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
	acceptPause      = 5 * time.Millisecond
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

// Listen starts serving at an address, in addition to any earlier ones. It returns ErrClosed after Close.
func (s *Server) Listen(address string) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = listener.Close()
		return nil, ErrClosed
	}
	set := &httpconn.Set{}
	s.listeners[listener] = set
	s.serving.Add(1)
	go s.accept(listener, set)
	return listener.Addr(), nil
}

// Move starts serving at a new address. All earlier ones stop accepting connections, and close those they
// have after 1.5 s.
func (s *Server) Move(address string) (net.Addr, error) {
	s.mu.Lock()
	previous := make(map[net.Listener]*httpconn.Set, len(s.listeners))
	for listener, set := range s.listeners {
		previous[listener] = set
	}
	s.mu.Unlock()
	newAddress, err := s.Listen(address)
	if err != nil {
		return nil, err
	}
	for listener, set := range previous {
		s.abandon(listener, set)
	}
	s.logger.Info("registry moved", "address", newAddress)
	return newAddress, nil
}

// abandon closes a listener, and after the move grace its connections.
func (s *Server) abandon(listener net.Listener, set *httpconn.Set) {
	_ = listener.Close()
	s.mu.Lock()
	delete(s.listeners, listener)
	s.mu.Unlock()
	time.AfterFunc(s.moveGrace, func() {
		for _, c := range set.All() {
			c.Close()
		}
	})
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

// SetDown starts or ends an outage. At its start pending watches are reset, and until its end each call
// gets a 503.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		for watch := range s.watches {
			s.counters.reset.Add(1)
			watch.conn.Reset()
		}
	}
	s.logger.Info("registry availability changed", "down", down)
}

// SetSilent makes the registry accept watches and never respond to them, or ends that. Calls for the
// complete list get their response.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wakeWatches()
	s.logger.Info("registry silence changed", "silent", silent)
}

// ResetConnections resets every open connection.
func (s *Server) ResetConnections() {
	s.counters.reset.Add(uint64(s.connections.ResetAll()))
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

// accept serves the connections of a listener until it is closed.
func (s *Server) accept(listener net.Listener, set *httpconn.Set) {
	defer s.serving.Done()
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.logger.Warn("registry can't accept", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		c := httpconn.New(socket, &s.traffic)
		set.Add(c)
		if !s.track(c) {
			c.Close()
			return
		}
		go func() {
			defer s.serving.Done()
			defer set.Remove(c)
			defer s.connections.Remove(c)
			defer c.Close()
			s.serve(c)
		}()
	}
}

// track registers a connection that is about to be served. It returns false if the server is closed.
func (s *Server) track(c *httpconn.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connections.Add(c)
	s.serving.Add(1)
	return true
}
