package endpoint

import "sync"

// gate holds goroutines up while it is shut. The zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed once the gate opens; nil while it is open
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// pass returns once the gate is open.
func (g *gate) pass() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}
