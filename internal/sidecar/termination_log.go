package sidecar

import "time"

// logPhase records that a phase of termination begins, and what there is at that moment.
func (s *server) logPhase(phase string, begun time.Time) {
	s.loop.log.Info(phase, "after_ms", time.Since(begun).Milliseconds(), "connections", s.clients.count(),
		"requests", s.inHand.count(), "relieved", s.relieved())
}

// logUnanswered records each request that is cut off by the end of the process.
func (s *server) logUnanswered() {
	for _, r := range s.inHand.all() {
		s.loop.log.Error("request cut off by the end of the process", "id", r.id, "class", r.class,
			"age_ms", time.Since(r.since).Milliseconds(), "left_ms", time.Until(r.until).Milliseconds(),
			"connection_age_ms", time.Since(r.conn.accepted).Milliseconds(), "requests_on_connection", r.conn.served)
	}
}
