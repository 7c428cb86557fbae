package endpoint

import "sync"

// idWindowSize is the number of IDs in one generation.
const idWindowSize = 512

// idWindow remembers the most recent IDs, at least idWindowSize of them once there are as many. It holds two
// generations and discards the older one when the newer one is full.
type idWindow struct {
	mu                sync.Mutex
	current, previous map[string]struct{}
}

// add adds an ID and says whether the window held it already.
func (w *idWindow) add(id string) (seen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, inCurrent := w.current[id]
	_, inPrevious := w.previous[id]
	if inCurrent {
		return true
	}
	if w.current == nil || len(w.current) >= idWindowSize {
		w.previous = w.current
		w.current = map[string]struct{}{}
	}
	w.current[id] = struct{}{}
	return inPrevious
}
