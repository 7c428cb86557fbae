package system

import "sync"

// PauseGate blocks the goroutines that call Wait while the gate is paused. The zero value is not paused.
type PauseGate struct {
	mu      sync.Mutex
	resumed chan struct{} // closed by Resume; nil while the gate is not paused
}

// Pause makes Wait block until Resume. It has no effect if the gate is already paused.
func (g *PauseGate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

// Resume releases the goroutines that Wait blocks. It has no effect if the gate is not paused.
func (g *PauseGate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

// Paused reports whether the gate is paused.
func (g *PauseGate) Paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed != nil
}

// Wait blocks while the gate is paused.
func (g *PauseGate) Wait() {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}
