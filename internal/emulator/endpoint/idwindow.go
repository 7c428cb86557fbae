package endpoint

import "sync"

// recentLimit is how many ids one generation holds.
const recentLimit = 512

// recentIDs remembers the last ids, 512 of them at least.
type recentIDs struct {
	mu                sync.Mutex
	current, previous map[string]struct{}
}

// begin notes an id and says whether it had been noted before.
func (r *recentIDs) begin(id string) (again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, inCurrent := r.current[id]
	_, inPrevious := r.previous[id]
	if inCurrent {
		return true
	}
	if r.current == nil || len(r.current) >= recentLimit {
		r.previous = r.current
		r.current = map[string]struct{}{}
	}
	r.current[id] = struct{}{}
	return inPrevious
}
