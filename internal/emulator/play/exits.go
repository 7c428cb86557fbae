package play

import (
	"cmp"
	"fmt"

	"oakproxy/internal/emulator/process"
)

// watchForExit ends the run if a child exits, unless expectExit has been called for the child or the run is stopping.
func (r *runner) watchForExit(child *process.Child) {
	go func() {
		<-child.Ended()
		r.expectedMu.Lock()
		expected := r.expectedExits[child]
		r.expectedMu.Unlock()
		if !expected && !r.stopping.Load() {
			r.cancel(fmt.Errorf("%s exited unexpectedly: %w", child.Name, cmp.Or(child.Err(), errExitedCleanly)))
		}
	}()
}

// expectExit records that a child's exit is part of the scenario and must not end the run.
func (r *runner) expectExit(child *process.Child) {
	r.expectedMu.Lock()
	defer r.expectedMu.Unlock()
	r.expectedExits[child] = true
}
