package balancer

import (
	"math"
	"slices"
)

// Waitlist: the requests that wait for the probes sent for them.

// waitlist holds the requests that wait for probes, in the order in which they were added.
type waitlist struct {
	requests []*request
}

// fromEnd is the index with which an iteration by nextResumable starts.
const fromEnd = math.MaxInt

// add puts r on the waitlist.
func (w *waitlist) add(r *request) {
	r.awaitingProbes = true
	w.requests = append(w.requests, r)
}

// remove deletes r from the waitlist. It does nothing if r does not wait.
func (w *waitlist) remove(r *request) {
	if r.awaitingProbes {
		r.awaitingProbes, r.awaitedEndpoints = false, r.awaitedEndpoints[:0]
		w.requests = slices.DeleteFunc(w.requests, func(other *request) bool { return other == r })
	}
}

// nextResumable is called when a probe of e has ended. It searches backwards from index before-1 for a
// request that no longer has to wait, and returns that request and its index, or nil if there is none.
// The latest request thus comes first. Each request that the search passes no longer awaits the probe of e.
func (w *waitlist) nextResumable(now Micros, e *endpoint, before int) (*request, int) {
	for i := min(before, len(w.requests)) - 1; i >= 0; i-- {
		r := w.requests[i]
		awaitedBefore := len(r.awaitedEndpoints)
		r.awaitedEndpoints = slices.DeleteFunc(r.awaitedEndpoints, func(other *endpoint) bool { return other == e })
		// No other endpoint can be better than one with an idle core.
		hasIdleCore := e.reportedAt == now && e.reportedLoad+float64(e.inFlight) <= assumedCores-1
		if len(r.awaitedEndpoints) < awaitedBefore && (hasIdleCore || len(r.awaitedEndpoints) == 0) {
			return r, i
		}
	}
	return nil, 0
}
