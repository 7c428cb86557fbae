package httpconn

import "sync"

// Set tracks the open connections of a server. The zero value is empty and ready for use; it is safe for
// concurrent use.
type Set struct {
	mu       sync.Mutex
	open     map[*Conn]struct{}
	accepted uint64
	maxOpen  int
}

// SetCounts are the counts of a Set.
type SetCounts struct {
	Accepted uint64 // since the start
	Open     int    // now
	MaxOpen  int    // the highest Open so far
}

// Add adds a connection that has been accepted.
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

// Remove removes a connection that is closed.
func (s *Set) Remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Counts returns the counts so far.
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

// ResetAll resets the connections that are open now and returns their number.
func (s *Set) ResetAll() int {
	all := s.All()
	for _, c := range all {
		c.Reset()
	}
	return len(all)
}
