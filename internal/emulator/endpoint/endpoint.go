// Package endpoint is a test double of a service behind the sidecars.
//
// An endpoint serves requests and health checks. It models the processing of requests as service time on a number of
// cores with a bounded queue in front of them. It can simulate planned changes and faults of its process and machine:
// draining, restart, crash, hang and loss of the network. An incarnation is the simulated process from one start to
// its end; a restart begins a new incarnation. Counters continue across incarnations. The endpoint does no real work
// for a request, and of the request it stores only the correlation ID.
package endpoint

import (
	"errors"
	"sync"
	"time"

	"oakproxy/internal/emulator/httpconn"
	"oakproxy/internal/system"
)

const acceptRetryDelay = 5 * time.Millisecond // pause after a failed accept

// ErrClosed is returned by Restart, Disconnect and Recover after Close.
var ErrClosed = errors.New("endpoint: endpoint is closed")

// Endpoint is a running endpoint. Start creates one. It is safe for concurrent use.
type Endpoint struct {
	config      Config
	address     string
	traffic     httpconn.Traffic
	connections httpconn.Set
	counters    counters
	recentIDs   idWindow
	pauseGate   system.PauseGate // paused while the endpoint hangs or is disconnected
	serving     sync.WaitGroup   // goroutines that accept or serve connections

	mu          sync.Mutex
	acceptor    *acceptor // nil while the simulated process is down
	queue       *queue    // queue of the current incarnation
	startedAt   time.Time // time of the last cold start; zero if the first start was warm, as if it were long ago
	draining    bool
	unreachable bool // set by Disconnect until Restart, Crash, Recover or Close
	closed      bool
}

// Start starts an endpoint, which listens and serves requests until Close.
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

// Config returns the configuration of the endpoint, with defaults filled in.
func (e *Endpoint) Config() Config { return e.config }

// StartedMS returns the time of the last cold start as Unix time in milliseconds. For an endpoint that started warm it
// returns 0, which stands for a start long ago.
func (e *Endpoint) StartedMS() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.startedAt.IsZero() {
		return 0
	}
	return e.startedAt.UnixMilli()
}

// Drain makes the endpoint reject new requests and complete those that it has admitted.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Restart resets all connections and starts a new incarnation, which is cold and accepts requests. It returns
// ErrClosed after Close.
func (e *Endpoint) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrClosed
	}
	e.stop()
	return e.start(time.Now())
}

// Counts returns the current values of the counters.
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

// Close stops the endpoint permanently and waits until its goroutines have ended.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	e.stop()
	e.mu.Unlock()
	e.serving.Wait()
	return nil
}
