package endpoint

import "sync"

// pauseGate blocks the goroutines that call wait while the gate is paused. The zero value is not paused.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{} // closed by resume; nil while the gate is not paused
}

// pause makes wait block until resume. It has no effect if the gate is already paused.
func (g *pauseGate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

// resume releases the goroutines that wait blocks. It has no effect if the gate is not paused.
func (g *pauseGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

// wait blocks while the gate is paused.
func (g *pauseGate) wait() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}
