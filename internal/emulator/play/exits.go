package play

import (
	"cmp"
	"fmt"

	"oakproxy/internal/emulator/process"
)

// watch ends the run if a child exits unexpectedly.
func (r *runner) watch(child *process.Child) {
	go func() {
		<-child.Ended()
		r.expectedMu.Lock()
		expected := r.expectedExits[child]
		r.expectedMu.Unlock()
		if !expected && !r.stopping.Load() {
			r.cancel(fmt.Errorf("%s ended by itself: %w", child.Name, cmp.Or(child.Err(), errExitedCleanly)))
		}
	}()
}

// expectExit records that a child's exit is part of the scenario.
func (r *runner) expectExit(child *process.Child) {
	r.expectedMu.Lock()
	defer r.expectedMu.Unlock()
	r.expectedExits[child] = true
}
