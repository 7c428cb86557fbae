package registry

// SetDown starts or ends an outage. The start of an outage resets the connections of pending watches; every call
// during the outage gets a 503.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		for watch := range s.watches {
			s.counters.reset.Add(1)
			watch.conn.Reset()
		}
	}
	s.logger.Info("registry availability changed", "down", down)
}

// SetSilent starts or ends a period in which the registry accepts watches but does not respond to them. Calls for the
// complete list still get a response.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wakeWatches()
	s.logger.Info("registry silence changed", "silent", silent)
}

// ResetConnections resets every open connection.
func (s *Server) ResetConnections() {
	s.counters.reset.Add(uint64(s.connections.ResetAll()))
}
