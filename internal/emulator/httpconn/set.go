package httpconn

import "sync"

// Set holds the open connections of a server.
type Set struct {
	mu       sync.Mutex
	open     map[*Conn]struct{}
	accepted uint64
	maxOpen  int
}

// SetCounts tells how many connections a Set has held.
type SetCounts struct {
	Accepted uint64
	Open     int
	MaxOpen  int
}

// Add enters a connection that has been accepted.
func (s *Set) Add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*Conn]struct{}{}
	}
	s.open[c] = struct{}{}
	s.accepted++
	s.maxOpen = max(s.maxOpen, len(s.open))
}

// Remove takes out a connection that is closed.
func (s *Set) Remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Counts returns the figures so far.
func (s *Set) Counts() SetCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SetCounts{Accepted: s.accepted, Open: len(s.open), MaxOpen: s.maxOpen}
}

// All returns the connections that are open now.
func (s *Set) All() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*Conn, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	return all
}

// ResetAll breaks the connections that are open now and returns how many they were.
func (s *Set) ResetAll() int {
	all := s.All()
	for _, c := range all {
		c.Reset()
	}
	return len(all)
}
