// Package endpoint is a test double of a service behind the sidecars.
//
// An endpoint serves requests and health checks, models their work as service time on a number of cores
// with a bounded queue, and injects the faults of a process and of its machine: draining, restart, crash,
// hang and loss of the network. Counters survive restarts. It does no work for a request and keeps nothing
// of it but its correlation ID.
package endpoint

import (
	"errors"
	"sync"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

const acceptRetryDelay = 5 * time.Millisecond

// ErrClosed is returned for an Endpoint that has been closed.
var ErrClosed = errors.New("endpoint: closed")

// Endpoint is a running endpoint. Make one with Start. It is safe for concurrent use.
type Endpoint struct {
	config      Config
	address     string
	traffic     httpconn.Traffic
	connections httpconn.Set
	counters    counters
	recentIDs   idWindow
	pauseGate   pauseGate // paused while the endpoint hangs or is disconnected
	serving     sync.WaitGroup

	mu          sync.Mutex
	acceptor    *acceptor // nil while the process is down
	queue       *queue
	startedAt   time.Time // of the last start; zero for long ago
	draining    bool
	unreachable bool
	closed      bool
}

// Start starts an endpoint, which listens and serves until Close.
func Start(config Config) (*Endpoint, error) {
	e := &Endpoint{config: config.withDefaults(), address: config.Address}
	e.mu.Lock()
	defer e.mu.Unlock()
	var startedAt time.Time
	if config.StartCold {
		startedAt = time.Now()
	}
	if err := e.start(startedAt); err != nil {
		return nil, err
	}
	return e, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.address }

// Config returns what the endpoint was started with.
func (e *Endpoint) Config() Config { return e.config }

// StartedMS returns the Unix time of the last start in milliseconds; 0 if it was long ago.
func (e *Endpoint) StartedMS() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.startedAt.IsZero() {
		return 0
	}
	return e.startedAt.UnixMilli()
}

// Drain makes the endpoint complete the requests it has and reject new ones.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Restart resets all connections and starts a new incarnation, which is cold and ready. It returns ErrClosed
// after Close.
func (e *Endpoint) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrClosed
	}
	e.stop()
	return e.start(time.Now())
}

// Counts returns the counters so far.
func (e *Endpoint) Counts() Counts {
	return Counts{
		Requests:     e.counters.requests.Load(),
		Served:       e.counters.served.Load(),
		Rejected:     e.counters.rejected.Load(),
		MissingIDs:   e.counters.missingID.Load(),
		Duplicates:   e.counters.duplicates.Load(),
		Abandoned:    e.counters.abandoned.Load(),
		HealthChecks: e.counters.healthChecks.Load(),
		BytesIn:      e.traffic.BytesIn(),
		BytesOut:     e.traffic.BytesOut(),
		Connections:  e.connections.Counts(),
	}
}

// Close stops the endpoint for good and waits for its goroutines.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	e.stop()
	e.mu.Unlock()
	e.serving.Wait()
	return nil
}
