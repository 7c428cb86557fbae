package downstream

import (
	"sync"
	"time"
)

// acceptPause says whether a Listener's Accept is paused. The zero value is not paused.
type acceptPause struct {
	mu      sync.Mutex
	resumed chan struct{} // closed when the pause ends; nil unless there is a pause; guarded by mu
}

// await returns once there is no pause.
func (p *acceptPause) await() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// SetPaused stops accepting connections or resumes it. Connections that arrive meanwhile wait, in a queue that other
// processes with the same socket accept from. A call of accept(2) that has begun may still accept one connection. A
// listener without deadlines can't be paused and goes on.
func (l *Listener) SetPaused(paused bool) {
	inner, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	l.pause.mu.Lock()
	defer l.pause.mu.Unlock()
	if !ok || paused == (l.pause.resumed != nil) {
		return
	}
	// SetDeadline fails only if the listener is closed; Accept then fails, too.
	if paused {
		l.pause.resumed = make(chan struct{})
		_ = inner.SetDeadline(expiredDeadline) // wakes Accept
		return
	}
	_ = inner.SetDeadline(time.Time{})
	close(l.pause.resumed)
	l.pause.resumed = nil
}

// Paused reports whether accepting is paused.
func (l *Listener) Paused() bool {
	l.pause.mu.Lock()
	defer l.pause.mu.Unlock()
	return l.pause.resumed != nil
}

// Close closes the listener. Accept then fails, also if it is paused.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.SetPaused(false)
	return err
}
