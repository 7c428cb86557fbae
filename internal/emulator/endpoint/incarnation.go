package endpoint

import "time"

// start starts an incarnation of the process. startedAt is its start time; the zero time means that it is warm.
// The caller holds e.mu.
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

// stop ends the current incarnation of the process, if there is one, and resets its connections. The caller holds
// e.mu.
func (e *Endpoint) stop() {
	if e.acceptor == nil {
		return
	}
	e.acceptor.close()
	e.acceptor = nil
	e.connections.ResetAll()
	e.unreachable = false
	e.pauseGate.Resume()
}

// suspend blocks all goroutines that accept or serve connections. The caller holds e.mu.
func (e *Endpoint) suspend() {
	e.pauseGate.Pause()
	e.acceptor.pause()
}

// resume ends the effect of suspend. The caller holds e.mu.
func (e *Endpoint) resume() {
	e.acceptor.resume()
	e.pauseGate.Resume()
}

// incarnation returns the queue of the current incarnation, and whether the endpoint is draining.
func (e *Endpoint) incarnation() (current *queue, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue, e.draining
}
