package sidecartest

import (
	"sync"
	"time"

	"oakproxy/internal/system"
)

// SteppedClock is a source of clocks whose wall clock a test steps. Their uptime is the machine's.
type SteppedClock struct {
	mu   sync.Mutex
	step time.Duration
}

// Step sets how far the wall clock is ahead of the machine's. It replaces the previous step; 0 ends it.
func (s *SteppedClock) Step(step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step = step
}

// Clock returns a clock that follows the steps. Its Uptime is not set.
func (s *SteppedClock) Clock() system.Clock {
	return system.Clock{Wall: func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Now().Add(s.step)
	}}
}
