package downstream

import "time"

// SetPaused stops accepting connections or resumes it. Connections that arrive meanwhile wait, in a queue that other
// processes with the same socket accept from. A call of accept(2) that has begun may still accept one connection. A
// listener without deadlines can't be paused and goes on. SetPaused must not be called concurrently with itself.
func (l *Listener) SetPaused(paused bool) {
	inner, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return
	}
	// SetDeadline fails only if the listener is closed; Accept then fails, too.
	if paused {
		l.gate.Pause()
		_ = inner.SetDeadline(expiredDeadline) // wakes Accept
		return
	}
	_ = inner.SetDeadline(time.Time{})
	l.gate.Resume()
}

// Paused reports whether accepting is paused.
func (l *Listener) Paused() bool { return l.gate.Paused() }

// Close closes the listener. Accept then fails, also if it is paused.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.gate.Resume()
	return err
}
