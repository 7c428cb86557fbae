// Package registry is a stand-in for the discovery service: it lists endpoints by
// whole lists and by watches, and plays that service's faults.
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
	// CallsPerSecond is how many calls are worked through, one by one; 0: no limit.
	// A call has its turn once, when it arrives.
	CallsPerSecond float64
	// MaxQueueDelay is how long a call may wait for its turn until it is answered
	// 503; 0: no limit.
	MaxQueueDelay time.Duration
	// History is how many versions are told as changes; 0: 256.
	History int
	// Logger hears of faults; nil: slog.Default().
	Logger *slog.Logger
}

// Server is a registry. Make one with New.
type Server struct {
	options   Options
	logger    *slog.Logger
	turns     *rate.Limiter
	traffic   httpconn.Traffic
	counters  counters
	startCPU  time.Duration
	moveGrace time.Duration
	serving   sync.WaitGroup

	mu        sync.Mutex
	list      *list
	watches   map[*watch]struct{} // that are held
	listeners map[net.Listener]*httpconn.Set
	connected httpconn.Set // of all listeners
	down      bool
	silent    bool
	closed    bool
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
		turns:     rate.NewLimiter(limit, 1),
		startCPU:  processCPU(),
		moveGrace: defaultMoveGrace,
		list:      newList(options.History),
		watches:   map[*watch]struct{}{},
		listeners: map[net.Listener]*httpconn.Set{},
	}
}

// Listen begins to serve at an address, beside any earlier ones.
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

// Move begins to serve at a new address. All earlier ones take no new connections
// from now on, and close those they have after 1.5 s.
func (s *Server) Move(address string) (net.Addr, error) {
	s.mu.Lock()
	left := make(map[net.Listener]*httpconn.Set, len(s.listeners))
	for listener, set := range s.listeners {
		left[listener] = set
	}
	s.mu.Unlock()
	to, err := s.Listen(address)
	if err != nil {
		return nil, err
	}
	for listener, set := range left {
		s.leave(listener, set)
	}
	s.logger.Info("registry moved", "address", to)
	return to, nil
}

// leave stops listening, and closes the listener's connections after a while.
func (s *Server) leave(listener net.Listener, set *httpconn.Set) {
	_ = listener.Close()
	s.mu.Lock()
	delete(s.listeners, listener)
	s.mu.Unlock()
	time.AfterFunc(s.moveGrace, func() {
		for _, c := range set.All() {
			_ = c.Close()
		}
	})
}

// Set replaces the whole list as one version. Every watch is answered with it.
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

// Seq returns the version of the list.
func (s *Server) Seq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.seq
}

// SetDown plays an outage: watches that are held end by a reset, and until the
// server is back each call is answered 503.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		for held := range s.watches {
			s.counters.reset.Add(1)
			held.conn.Reset()
		}
	}
	s.logger.Info("registry availability changed", "down", down)
}

// SetSilent plays a registry that accepts watches and never answers them. Calls
// for the whole list are answered.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wakeWatches()
	s.logger.Info("registry silence changed", "silent", silent)
}

// ResetConnections resets every open connection.
func (s *Server) ResetConnections() {
	s.counters.reset.Add(uint64(s.connected.ResetAll()))
}

// Counts returns the figures so far.
func (s *Server) Counts() Counts {
	return Counts{
		WholeCalls:   s.counters.wholeCalls.Load(),
		WatchCalls:   s.counters.watchCalls.Load(),
		WholeAnswers: s.counters.whole.Load(),
		Changed:      s.counters.changed.Load(),
		Empty:        s.counters.empty.Load(),
		Unavailable:  s.counters.unavailable.Load(),
		NotFound:     s.counters.notFound.Load(),
		Reset:        s.counters.reset.Load(),
		BytesIn:      s.traffic.BytesIn(),
		BytesOut:     s.traffic.BytesOut(),
		Connections:  s.connected.Counts(),
		HandlingCPU:  time.Duration(s.counters.handlingCPU.Load()),
		ProcessCPU:   processCPU() - s.startCPU,
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
	for _, c := range s.connected.All() {
		_ = c.Close()
	}
	s.serving.Wait()
	return errors.Join(errs...)
}

// accept serves the connections of a listener until that is closed.
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
		if !s.enter(c) {
			_ = c.Close()
			return
		}
		go func() {
			defer s.serving.Done()
			defer set.Remove(c)
			defer s.connected.Remove(c)
			defer c.Close()
			s.serve(c)
		}()
	}
}

// enter adds a connection that will be served, unless the server is closed.
func (s *Server) enter(c *httpconn.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connected.Add(c)
	s.serving.Add(1)
	return true
}
