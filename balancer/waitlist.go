package balancer

import (
	"math"
	"slices"
)

// Waitlist: requests that wait for the probes sent for them.

// waitlist holds the requests that wait for probes.
type waitlist struct {
	requests []*request
}

// fromEnd starts the iteration of resumable.
const fromEnd = math.MaxInt

func (w *waitlist) add(r *request) {
	r.awaitingProbes = true
	w.requests = append(w.requests, r)
}

// remove ends r's wait, if it waits.
func (w *waitlist) remove(r *request) {
	if r.awaitingProbes {
		r.awaitingProbes, r.awaitedEndpoints = false, r.awaitedEndpoints[:0]
		w.requests = slices.DeleteFunc(w.requests, func(other *request) bool { return other == r })
	}
}

// resumable returns a request before the given index that need not wait any longer once e's probe has ended,
// and its index, or nil. The latest request comes first.
func (w *waitlist) resumable(now Micros, e *endpoint, before int) (*request, int) {
	for i := min(before, len(w.requests)) - 1; i >= 0; i-- {
		r := w.requests[i]
		waited := len(r.awaitedEndpoints)
		r.awaitedEndpoints = slices.DeleteFunc(r.awaitedEndpoints, func(other *endpoint) bool { return other == e })
		// No endpoint can be better than one with an idle core.
		idle := e.reportedAt == now && e.reportedLoad+float64(e.inFlight) <= assumedCores-1
		if len(r.awaitedEndpoints) < waited && (idle || len(r.awaitedEndpoints) == 0) {
			return r, i
		}
	}
	return nil, 0
}
