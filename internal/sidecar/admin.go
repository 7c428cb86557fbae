package sidecar

import (
	"context"

	"oakproxy/balancer"
	"oakproxy/internal/operatorstate"
)

// newOperatorStore returns the store of the operators' overrides. The store calls applyOperatorState to apply overrides
// in this process.
func (s *server) newOperatorStore() *operatorstate.Store {
	cfg := s.loop.current.Load()
	return &operatorstate.Store{Directory: cfg.Host.Directory, Sidecar: cfg.Name, Log: s.loop.log,
		Files: cfg.Host.Files, Time: s.loop.operatorClock, Retention: s.loop.slowStartDuration,
		Apply: s.applyOperatorState}
}

// restoreOperatorState applies the overrides that an earlier process has stored. It must be called before the loop
// runs, so that nothing is sent to a cordoned endpoint.
func (s *server) restoreOperatorState(ctx context.Context, store *operatorstate.Store) {
	state := store.Load(ctx)
	s.drainedByOperator.Store(state.Drained)
	s.loop.applyOverrides(s.loop.clock.now(), state.Overrides)
}

// applyOperatorState applies the operators' overrides while the loop runs.
func (s *server) applyOperatorState(state operatorstate.State) {
	if s.drainedByOperator.Swap(state.Drained) != state.Drained {
		s.log.Info("operator override", "drained", state.Drained)
	}
	s.loop.events.runUrgent(func(now balancer.Micros) { s.loop.applyOverrides(now, state.Overrides) })
}

// Ready implements admin.Sidecar. It reports whether an endpoint is ready and this process is not shutting down.
func (s *server) Ready() bool { return !s.terminating.Load() && s.loop.hasReadyEndpoint.Load() }

// KnowsEndpoint implements admin.Sidecar. It reports whether the host is in the endpoint table or cordoned.
func (s *server) KnowsEndpoint(name string) (known bool) {
	s.loop.events.runUrgent(func(balancer.Micros) { known = s.loop.endpoints.knows(name) })
	return known
}
