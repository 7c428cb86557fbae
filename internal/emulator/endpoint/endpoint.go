// Package endpoint is a stand-in for the service behind the sidecars: it takes
// requests and probes, does no work for them but to let time pass, and plays the
// faults of a process and of its machine.
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

// Endpoint is a running stand-in. Make one with Start.
type Endpoint struct {
	config      Config
	address     string
	traffic     httpconn.Traffic
	connections httpconn.Set
	counters    counters
	recent      recentIDs
	gate        gate // shut while the endpoint is hung or has vanished
	serving     sync.WaitGroup

	mu       sync.Mutex
	acceptor *acceptor // nil while the process is dead
	work     *queue
	born     time.Time // of the last start; zero for long ago
	draining bool
	vanished bool
	closed   bool
}

// Start makes an endpoint listen and serve.
func Start(config Config) (*Endpoint, error) {
	e := &Endpoint{config: config.withDefaults(), address: config.Address}
	e.mu.Lock()
	defer e.mu.Unlock()
	var born time.Time
	if config.StartCold {
		born = time.Now()
	}
	if err := e.start(born); err != nil {
		return nil, err
	}
	return e, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.address }

// Config returns what the endpoint was started with.
func (e *Endpoint) Config() Config { return e.config }

// BornMS returns the Unix time of the last start in milliseconds; 0 for long ago.
func (e *Endpoint) BornMS() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.born.IsZero() {
		return 0
	}
	return e.born.UnixMilli()
}

// Drain makes the endpoint finish what it has and turn new requests away.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Restart resets all connections and starts the process anew, cold and ready.
func (e *Endpoint) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrClosed
	}
	e.stop()
	return e.start(time.Now())
}

// Crash ends the process: connections are reset and new ones refused, until Restart
// or Return.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stop()
}

// Vanish cuts the machine off: connections stay open and silent, and new ones never
// come up, until Return.
func (e *Endpoint) Vanish() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrClosed
	}
	if e.vanished || e.acceptor == nil {
		return nil
	}
	e.freeze()
	e.vanished = true
	return e.acceptor.silence()
}

// Hang stops the process, or lets it go on: while it hangs, connections come up and
// nothing is answered.
func (e *Endpoint) Hang(hang bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.vanished || e.acceptor == nil:
	case hang:
		e.freeze()
	default:
		e.thaw()
	}
}

// Return ends whatever fault is played. An endpoint that hung goes on; one that drained
// takes requests again; one that vanished resets the connections it had and keeps its
// time of birth; one that crashed starts anew.
func (e *Endpoint) Return() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.closed:
		return ErrClosed
	case e.acceptor == nil:
		return e.start(time.Now())
	case e.vanished:
		e.stop()
		return e.start(e.born)
	}
	e.draining = false
	e.thaw()
	return nil
}

// Counts returns the figures so far.
func (e *Endpoint) Counts() Counts {
	return Counts{
		Requests:    e.counters.requests.Load(),
		Served:      e.counters.served.Load(),
		Rejected:    e.counters.rejected.Load(),
		MissingID:   e.counters.missingID.Load(),
		Duplicates:  e.counters.duplicates.Load(),
		Abandoned:   e.counters.abandoned.Load(),
		Probes:      e.counters.probes.Load(),
		BytesIn:     e.traffic.BytesIn(),
		BytesOut:    e.traffic.BytesOut(),
		Connections: e.connections.Counts(),
	}
}

// Close ends the endpoint for good and waits for its goroutines.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	e.stop()
	e.mu.Unlock()
	e.serving.Wait()
	return nil
}

// start begins a life of the process. e.mu is held.
func (e *Endpoint) start(born time.Time) error {
	opened, err := listen(e.address)
	if err != nil {
		return err
	}
	e.acceptor = opened
	e.address = opened.listener.Addr().String()
	e.born = born
	e.draining = false
	e.work = &queue{
		cores:       e.config.Cores,
		limit:       e.config.QueueLimit,
		serviceTime: func(now time.Time) time.Duration { return e.config.serviceTimeAt(now.Sub(born)) },
	}
	e.serving.Add(1)
	go e.accept(opened)
	return nil
}

// stop ends a life of the process. e.mu is held.
func (e *Endpoint) stop() {
	if e.acceptor == nil {
		return
	}
	e.acceptor.close()
	e.acceptor = nil
	e.connections.ResetAll()
	e.vanished = false
	e.gate.open()
}

// freeze holds up all goroutines that serve. e.mu is held.
func (e *Endpoint) freeze() {
	e.gate.shut()
	e.acceptor.pause()
}

// thaw lets them go on. e.mu is held.
func (e *Endpoint) thaw() {
	e.acceptor.resume()
	e.gate.open()
}

// accept serves the connections of one life until that ends.
func (e *Endpoint) accept(from *acceptor) {
	defer e.serving.Done()
	for {
		e.gate.pass()
		socket, err := from.accept()
		var timeout net.Error
		switch {
		case err == nil:
			e.enter(from, httpconn.New(socket, &e.traffic))
		case errors.Is(err, net.ErrClosed):
			return
		case errors.As(err, &timeout) && timeout.Timeout(): // frozen
		default:
			time.Sleep(acceptPause)
		}
	}
}

// enter begins to serve a connection, unless the acceptor's life is over.
func (e *Endpoint) enter(from *acceptor, c *httpconn.Conn) {
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
