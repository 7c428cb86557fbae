package downstream

import "testing"

// Each transition that connTransitions allows updates the counts and lists to match the state. Any other transition
// changes nothing.
func TestSetStateKeepsCountsAndListsInStep(t *testing.T) {
	// pathTo lists, for each state, the states that a connection in stateNew must enter in turn to reach it.
	pathTo := [connStateCount][]connState{
		stateWaiting:   {stateWaiting},
		stateServing:   {stateWaiting, stateServing},
		stateRejecting: {stateRejecting},
		stateClosing:   {stateWaiting, stateClosing},
		stateReleased:  {stateWaiting, stateReleased},
	}
	for from := range connStateCount {
		for next := range connStateCount {
			l, c := &Listener{}, &Conn{}
			for _, state := range pathTo[from] {
				if !l.setState(c, state) {
					t.Fatalf("state %d is not reached: the transition to state %d was refused", from, state)
				}
			}
			want := from
			if connTransitions[from][next] {
				want = next
			}
			if changed := l.setState(c, next); changed != connTransitions[from][next] || c.state != want {
				t.Errorf("from %d to %d: changed %v, state %d, want %v, state %d",
					from, next, changed, c.state, connTransitions[from][next], want)
			}
			if l.open != boolToInt(want != stateNew && want != stateReleased) {
				t.Errorf("from %d to %d: %d open connections, want %d",
					from, next, l.open, boolToInt(want != stateNew && want != stateReleased))
			}
			if waiting, closing := l.waiting.Len(), l.closing.Len(); waiting != boolToInt(want == stateWaiting) ||
				closing != boolToInt(want == stateClosing) {
				t.Errorf("from %d to %d: %d connections waiting and %d closing, want %d and %d",
					from, next, waiting, closing, boolToInt(want == stateWaiting), boolToInt(want == stateClosing))
			}
		}
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// No phase follows phaseClosed, and only phaseClosed follows phaseEvicted: once reads are blocked, they stay blocked.
func TestBlockedReadsStayBlocked(t *testing.T) {
	for from := range readPhaseCount {
		for next := range readPhaseCount {
			c := &Conn{phase: from}
			changed := c.setPhase(next)
			if changed != (c.phase != from) {
				t.Errorf("from %d to %d: setPhase returned %v, but the phase is %d", from, next, changed, c.phase)
			}
			if from.blocksReads() && !c.phase.blocksReads() || from == phaseClosed && changed {
				t.Errorf("from %d to %d: got phase %d, want one that blocks reads, and phaseClosed to stay", from, next, c.phase)
			}
		}
	}
}
