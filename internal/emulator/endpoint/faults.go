package endpoint

import "time"

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

// SetHung suspends the process or resumes it. While it hangs, connections are established and no request gets a
// response.
func (e *Endpoint) SetHung(hung bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.unreachable || e.acceptor == nil:
	case hung:
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
