package endpoint

import "time"

// Crash simulates the death of the process: open connections are reset, and new ones are refused until Restart or
// Recover.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stop()
}

// Disconnect simulates a machine that has lost its network: until Restart, Recover or Crash, open connections stay
// open but carry no responses, and attempts to connect time out. It has no effect on an endpoint that has crashed or
// is already disconnected. It returns ErrClosed after Close.
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

// SetHung suspends the process or resumes it. While the process hangs, clients can connect, but no request gets a
// response. SetHung has no effect on an endpoint that has crashed or is disconnected.
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

// Recover ends the fault that the endpoint simulates. A hung endpoint resumes. A draining endpoint accepts requests
// again. A disconnected endpoint resets the connections it had and keeps its start time. A crashed endpoint starts a
// new incarnation. Recover returns ErrClosed after Close.
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
