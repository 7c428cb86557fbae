package registry

// SetDown starts or ends an outage. At its start pending watches are reset, and until its end each call
// gets a 503.
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

// SetSilent makes the registry accept watches and never respond to them, or ends that. Calls for the
// complete list get their response.
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
