// Package endpoint is a test double of a service behind the sidecars.
//
// An endpoint serves requests and health checks, models their work as service time on a number of cores
// with a bounded queue, and injects the faults of a process and of its machine: draining, restart, crash,
// hang and loss of the network. Counters survive restarts. It does no work for a request and keeps nothing
// of it but its correlation ID.
package endpoint

import (
	"errors"
	"net"
	"sync"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

const acceptPause = 5 * time.Millisecond

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

// Crash ends the process: connections are reset and new ones refused, until Restart or Recover.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stop()
}

// Disconnect cuts the machine off the network: connections stay open and silent, and new ones time out, until
// Restart or Recover. It returns ErrClosed after Close.
func (e *Endpoint) Disconnect() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrClosed
	}
	if e.unreachable || e.acceptor == nil {
		return nil
	}
	e.suspend()
	e.unreachable = true
	return e.acceptor.dropSYNs()
}

// Hang suspends the process or resumes it. While it hangs, connections are established and no request gets a
// response.
func (e *Endpoint) Hang(hang bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.unreachable || e.acceptor == nil:
	case hang:
		e.suspend()
	default:
		e.resume()
	}
}

// Recover ends the fault that is injected. An endpoint that hung resumes; one that was draining accepts requests
// again; one that was disconnected resets the connections it had and keeps its start time; one that crashed
// starts a new incarnation. It returns ErrClosed after Close.
func (e *Endpoint) Recover() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.closed:
		return ErrClosed
	case e.acceptor == nil:
		return e.start(time.Now())
	case e.unreachable:
		e.stop()
		return e.start(e.startedAt)
	}
	e.draining = false
	e.resume()
	return nil
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

// start starts an incarnation of the process. e.mu is locked.
func (e *Endpoint) start(startedAt time.Time) error {
	acceptor, err := listen(e.address)
	if err != nil {
		return err
	}
	e.acceptor = acceptor
	e.address = acceptor.listener.Addr().String()
	e.startedAt = startedAt
	e.draining = false
	e.queue = &queue{
		cores:       e.config.Cores,
		limit:       e.config.QueueLimit,
		serviceTime: func(now time.Time) time.Duration { return e.config.serviceTimeAt(now.Sub(startedAt)) },
	}
	e.serving.Add(1)
	go e.accept(acceptor)
	return nil
}

// stop ends the incarnation of the process, if there is one. e.mu is locked.
func (e *Endpoint) stop() {
	if e.acceptor == nil {
		return
	}
	e.acceptor.close()
	e.acceptor = nil
	e.connections.ResetAll()
	e.unreachable = false
	e.pauseGate.resume()
}

// suspend blocks all goroutines that serve. e.mu is locked.
func (e *Endpoint) suspend() {
	e.pauseGate.pause()
	e.acceptor.pause()
}

// resume undoes suspend. e.mu is locked.
func (e *Endpoint) resume() {
	e.acceptor.resume()
	e.pauseGate.resume()
}

// accept serves the connections of one incarnation until that ends.
func (e *Endpoint) accept(from *acceptor) {
	defer e.serving.Done()
	for {
		e.pauseGate.wait()
		socket, err := from.accept()
		var timeout net.Error
		switch {
		case err == nil:
			e.serveConn(from, httpconn.New(socket, &e.traffic))
		case errors.Is(err, net.ErrClosed):
			return
		case errors.As(err, &timeout) && timeout.Timeout(): // suspended
		default:
			time.Sleep(acceptPause)
		}
	}
}

// serveConn starts serving a connection, unless the incarnation that accepted it is over.
func (e *Endpoint) serveConn(from *acceptor, c *httpconn.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.acceptor != from {
		c.Reset()
		return
	}
	e.connections.Add(c)
	e.serving.Add(1)
	go e.serve(c)
}
