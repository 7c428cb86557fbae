package sidecar

import (
	"sync"

	"oakproxy/balancer"
)

// balancerRecorder passes all events to the balancer and records some of them for tests.
type balancerRecorder struct {
	balancerAPI
	mu       sync.Mutex
	outcomes []balancer.Outcome
	events   []string              // "outcome", "timer" and "gone" in the order in which the loop reported them
	lists    []balancer.ListUpdate // kinds of the endpoint lists
	probes   []balancer.Status     // statuses of the probes
	loads    [][]float32           // load reports of the probes

	beforeClientGone func() // function called in the loop's goroutine before the balancer's HandleClientGone; may be nil
}

func (s *balancerRecorder) HandleOutcome(now balancer.Micros, o balancer.Outcome) {
	s.record(func() {
		s.outcomes = append(s.outcomes, o)
		s.events = append(s.events, "outcome")
	})
	s.balancerAPI.HandleOutcome(now, o)
}

func (s *balancerRecorder) HandleTimer(now balancer.Micros, token uint32) {
	if token >= 1<<20 { // a token of a request; those of the balancer's own timers are smaller
		s.record(func() { s.events = append(s.events, "timer") })
	}
	s.balancerAPI.HandleTimer(now, token)
}

func (s *balancerRecorder) HandleClientGone(now balancer.Micros, id uint64) {
	s.record(func() { s.events = append(s.events, "gone") })
	if s.beforeClientGone != nil {
		s.beforeClientGone()
	}
	s.balancerAPI.HandleClientGone(now, id)
}

func (s *balancerRecorder) HandleEndpoints(now balancer.Micros, kind balancer.ListUpdate, entries []balancer.Endpoint) {
	s.balancerAPI.HandleEndpoints(now, kind, entries)
	s.record(func() { s.lists = append(s.lists, kind) })
}

func (s *balancerRecorder) HandleProbe(
	now balancer.Micros,
	id uint32,
	status balancer.Status,
	latency balancer.Micros,
	load []float32,
) {
	s.record(func() { s.probes, s.loads = append(s.probes, status), append(s.loads, load) })
	s.balancerAPI.HandleProbe(now, id, status, latency, load)
}

// record runs f with the lock held.
func (s *balancerRecorder) record(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// statuses returns the statuses of the outcomes recorded so far.
func (s *balancerRecorder) statuses() (all []balancer.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outcomes {
		all = append(all, o.Status)
	}
	return all
}
