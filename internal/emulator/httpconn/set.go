package httpconn

import "sync"

// Set is the set of the open connections of a server. The zero value is empty and ready for use. It is safe for
// concurrent use.
type Set struct {
	mu       sync.Mutex
	open     map[*Conn]struct{}
	accepted uint64
	maxOpen  int
}

// SetCounts holds the numbers of connections that a Set counts.
type SetCounts struct {
	Accepted uint64 // number of connections added so far
	Open     int    // number of connections that are open now
	MaxOpen  int    // highest value of Open so far
}

// Add adds an accepted connection.
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

// Remove removes a connection that has been closed.
func (s *Set) Remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Counts returns the current counts.
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

// ResetAll resets all open connections and returns their number.
func (s *Set) ResetAll() int {
	all := s.All()
	for _, c := range all {
		c.Reset()
	}
	return len(all)
}
