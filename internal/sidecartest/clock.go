package sidecartest

import (
	"sync"
	"time"

	"oakproxy/internal/system"
)

// SteppedClock is a time source whose wall clock a test steps.
type SteppedClock struct {
	mu   sync.Mutex
	step time.Duration
}

func (s *SteppedClock) Step(step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step = step
}

func (s *SteppedClock) Clock() system.Clock {
	return system.Clock{Wall: func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Now().Add(s.step)
	}}
}
