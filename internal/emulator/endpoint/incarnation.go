package endpoint

import "time"

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

// incarnation returns the queue of the current incarnation, and whether it is draining.
func (e *Endpoint) incarnation() (current *queue, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queue, e.draining
}
