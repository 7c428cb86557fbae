package downstream

import "testing"

// Each change of state that connTransitions holds keeps the counts and lists in step with the state; any other changes
// nothing.
func TestSetStateKeepsCountsAndListsInStep(t *testing.T) {
	// reach holds a way to each state from stateNew.
	reach := [connStateCount][]connState{
		stateWaiting:   {stateWaiting},
		stateServing:   {stateWaiting, stateServing},
		stateRejecting: {stateRejecting},
		stateClosing:   {stateWaiting, stateClosing},
		stateReleased:  {stateWaiting, stateReleased},
	}
	for from := range connStateCount {
		for next := range connStateCount {
			l, c := &Listener{}, &Conn{}
			for _, state := range reach[from] {
				if !l.setState(c, state) {
					t.Fatalf("state %d is not reached", from)
				}
			}
			want := from
			if connTransitions[from][next] {
				want = next
			}
			if changed := l.setState(c, next); changed != connTransitions[from][next] || c.state != want {
				t.Errorf("from %d to %d: changed %v, state %d", from, next, changed, c.state)
			}
			if l.open != count(want != stateNew && want != stateReleased) {
				t.Errorf("from %d to %d: %d connections are counted", from, next, l.open)
			}
			if waiting, closing := l.waiting.Len(), l.closing.Len(); waiting != count(want == stateWaiting) ||
				closing != count(want == stateClosing) {
				t.Errorf("from %d to %d: %d connections wait, %d close", from, next, waiting, closing)
			}
		}
	}
}

// count returns 1 for true and 0 for false.
func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// No phase follows on the close of a connection, and none but the close on its eviction: what was decided stays so.
func TestDecidedEndIsFinal(t *testing.T) {
	for from := range readPhaseCount {
		for next := range readPhaseCount {
			c := &Conn{phase: from}
			changed := c.setPhase(next)
			if changed != (c.phase != from) {
				t.Errorf("from %d to %d: changed %v, phase %d", from, next, changed, c.phase)
			}
			if from.endDecided() && !c.phase.endDecided() || from == phaseClosed && changed {
				t.Errorf("from %d to %d: the end is no longer decided", from, next)
			}
		}
	}
}
