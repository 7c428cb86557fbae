package sidecartest

import (
	"sync"
	"time"

	"oakproxy/internal/system"
)

// SteppedClock creates clocks whose wall-clock time a test can shift. Their uptime is that of the machine.
type SteppedClock struct {
	mu   sync.Mutex
	step time.Duration // offset of the wall clock from the machine's clock
}

// Step sets the offset of the wall clock from the machine's clock. A positive offset means that the wall clock is
// ahead. The offset replaces the previous one; 0 restores the machine's time.
func (s *SteppedClock) Step(step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step = step
}

// Clock returns a clock whose wall-clock time always has the offset that Step set last. Its Uptime function is nil,
// which stands for the machine's uptime: see system.Clock.WithDefaults.
func (s *SteppedClock) Clock() system.Clock {
	return system.Clock{Wall: func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Now().Add(s.step)
	}}
}
