package endpoint

import "sync"

// idWindowSize is the maximum number of IDs in one generation of an idWindow.
const idWindowSize = 512

// idWindow is a set of the most recent IDs. It holds two generations of up to idWindowSize IDs and discards the older
// one when the newer one is full, so that at least the last idWindowSize IDs are present. The zero value is empty.
type idWindow struct {
	mu                sync.Mutex
	current, previous map[string]struct{}
}

// add adds an ID and reports whether the window already contained it.
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
