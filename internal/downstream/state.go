package downstream

import "time"

// connState says how the listener accounts for a connection. Listener.mu guards it.
type connState uint8

const (
	stateNew       connState = iota // just accepted: not counted
	stateWaiting                    // no request is open: the connection is idle, or its next request is being read
	stateServing                    // a request is open, from BeginRequest to EndRequest
	stateRejecting                  // beyond the connection limit: it gets a 503 and is closed
	stateClosing                    // half-closed, until its client ends its side
	stateReleased                   // not counted any more: its descriptor is given back
	connStateCount
)

// connTransitions holds all changes of state that there are.
var connTransitions = [connStateCount][connStateCount]bool{
	stateNew: {
		stateWaiting:   true, // Accept, within the limit
		stateRejecting: true, // Accept, beyond the limit
	},
	stateWaiting: {
		stateServing:  true, // BeginRequest
		stateClosing:  true, // Close
		stateReleased: true, // Close of a broken connection, or eviction
	},
	stateServing: {
		stateWaiting:  true, // EndRequest
		stateClosing:  true, // Close
		stateReleased: true, // Close of a broken connection, or with a reset
	},
	stateRejecting: {
		stateClosing:  true, // Close, once the rejection is written
		stateReleased: true, // Close of a broken connection
	},
	stateClosing: {
		stateReleased: true, // the client has ended its side, its time is over, or eviction
	},
	stateReleased: {},
}

// setState changes the state of a connection, and with it the counts and the list that it is in. It returns false, and
// changes nothing, where connTransitions does not hold the change. The caller holds l.mu.
func (l *Listener) setState(c *Conn, next connState) bool {
	if !connTransitions[c.state][next] {
		return false
	}
	switch c.state {
	case stateNew:
		l.open++
	case stateWaiting:
		l.waiting.Remove(c.element)
	case stateClosing:
		l.closing.Remove(c.element)
	}
	c.state, c.element = next, nil
	switch next {
	case stateWaiting:
		c.lastActivity = time.Now()
		c.element = l.waiting.PushBack(c)
	case stateClosing:
		c.element = l.closing.PushBack(c)
	case stateReleased:
		l.open--
		if c.used {
			l.used--
		}
	}
	return true
}

// readPhase says whether a connection may be read, and how its end comes about. Conn.mu guards it. It is apart from
// connState, so that a read needs no lock on the listener to know it, and the start of a request none on the
// connection.
type readPhase uint8

const (
	phaseOpen     readPhase = iota // what comes is read
	phaseExpiring                  // its read was woken, and decides whether the connection ends
	phaseExpired                   // it was decided to end, for nothing had come: net/http closes it
	phaseEvicted                   // closed for another connection: nothing more is read
	phaseClosed                    // Close was called: nothing more is read
	readPhaseCount
)

// phaseTransitions holds all changes of phase that there are.
var phaseTransitions = [readPhaseCount][readPhaseCount]bool{
	phaseOpen: {
		phaseExpiring: true, // ExpireIdle or SetLimits, where nothing has come since the latest request
		phaseEvicted:  true, // Accept beyond the limit
		phaseClosed:   true, // Close
	},
	phaseExpiring: {
		phaseOpen:    true, // something has come after all
		phaseExpired: true, // nothing has come, or net/http's own deadline has passed
		phaseEvicted: true, // Accept beyond the limit
		phaseClosed:  true, // Close
	},
	phaseExpired: {
		phaseEvicted: true, // Accept beyond the limit
		phaseClosed:  true, // Close, by net/http once its read has failed
	},
	phaseEvicted: {
		phaseClosed: true, // Close, by net/http once its read has failed
	},
	phaseClosed: {},
}

// setPhase changes the phase of the connection. It returns false, and changes nothing, where phaseTransitions does not
// hold the change. The caller holds c.mu.
func (c *Conn) setPhase(next readPhase) bool {
	if !phaseTransitions[c.phase][next] {
		return false
	}
	c.phase = next
	return true
}

// endDecided reports whether nothing may be read of a connection in this phase.
func (p readPhase) endDecided() bool { return p == phaseEvicted || p == phaseClosed }
