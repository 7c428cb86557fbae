package downstream

import "time"

// connState says how the listener counts a connection and which of the listener's lists contains it. Listener.mu guards
// the state.
type connState uint8

const (
	stateNew       connState = iota // just accepted, and not counted as open yet
	stateWaiting                    // no request is open: the connection is idle, or its next request is being read
	stateServing                    // a request is open: from BeginRequest to EndRequest or Close
	stateRejecting                  // the connection limit is reached: the connection gets a 503 and is closed
	stateClosing                    // half-closed: the sidecar has closed its side, but the client has not
	stateReleased                   // no longer counted as open: its file descriptor is released
	connStateCount
)

// connTransitions lists the valid transitions: connTransitions[from][to] is true if a connection may change from the
// first state to the second. The comment of each transition names the call or event that causes it.
var connTransitions = [connStateCount][connStateCount]bool{
	stateNew: {
		stateWaiting:   true, // Accept, within the limit
		stateRejecting: true, // Accept, beyond the limit
	},
	stateWaiting: {
		stateServing:  true, // BeginRequest
		stateClosing:  true, // Close
		stateReleased: true, // Close once the client has closed its side or the connection is broken, or eviction
	},
	stateServing: {
		stateWaiting:  true, // EndRequest
		stateClosing:  true, // Close
		stateReleased: true, // Close once the client has closed its side or the connection is broken, or during a relay
	},
	stateRejecting: {
		stateClosing:  true, // Close, once the rejection is written
		stateReleased: true, // Close once the client has closed its side or the connection is broken
	},
	stateClosing: {
		stateReleased: true, // the client has closed its side, closeTimeout has passed, or eviction
	},
	stateReleased: {},
}

// setState changes the state of a connection and updates the listener's counts and lists to match. It returns false,
// and changes nothing, if connTransitions does not allow the transition. The caller holds l.mu.
func (l *Listener) setState(c *Conn, next connState) bool {
	if !connTransitions[c.state][next] {
		return false
	}
	switch c.state {
	case stateNew:
		l.open++
	case stateWaiting:
		l.waiting.Remove(c.listElement)
	case stateClosing:
		l.closing.Remove(c.listElement)
	}
	c.state, c.listElement = next, nil
	switch next {
	case stateWaiting:
		c.lastActivity = time.Now()
		c.listElement = l.waiting.PushBack(c)
	case stateClosing:
		c.listElement = l.closing.PushBack(c)
	case stateReleased:
		l.open--
		if c.used {
			l.used--
		}
	}
	return true
}

// readPhase says whether a connection may be read, and which way of closing it has begun. Conn.mu guards it. readPhase
// and connState are separate so that each operation needs only one lock for its check: a read checks readPhase under
// Conn.mu, and the start of a request checks connState under Listener.mu.
type readPhase uint8

const (
	phaseOpen     readPhase = iota // the connection may be read
	phaseExpiring                  // the waiting read was woken, and cancelExpiry decides whether the connection is closed
	phaseExpired                   // expiry is complete: the read fails, and net/http closes the connection
	phaseEvicted                   // closed to make room for another connection: nothing more is read
	phaseClosed                    // Close was called: nothing more is read
	readPhaseCount
)

// phaseTransitions lists the valid transitions: phaseTransitions[from][to] is true if a connection may change from the
// first phase to the second. The comment of each transition names the call or event that causes it.
var phaseTransitions = [readPhaseCount][readPhaseCount]bool{
	phaseOpen: {
		phaseExpiring: true, // ExpireIdle or SetLimits, if nothing was read since the last complete request
		phaseEvicted:  true, // eviction, by Accept at the connection limit
		phaseClosed:   true, // Close
	},
	phaseExpiring: {
		phaseOpen:    true, // bytes have arrived after all
		phaseExpired: true, // nothing has arrived, or the deadline set by net/http or Body has passed
		phaseEvicted: true, // eviction, by Accept at the connection limit
		phaseClosed:  true, // Close
	},
	phaseExpired: {
		phaseEvicted: true, // eviction, by Accept at the connection limit
		phaseClosed:  true, // Close, by net/http once its read has failed
	},
	phaseEvicted: {
		phaseClosed: true, // Close, by net/http once its read has failed
	},
	phaseClosed: {},
}

// setPhase changes the phase of the connection. It returns false, and changes nothing, if phaseTransitions does not
// allow the transition. The caller holds c.mu.
func (c *Conn) setPhase(next readPhase) bool {
	if !phaseTransitions[c.phase][next] {
		return false
	}
	c.phase = next
	return true
}

// blocksReads reports whether nothing may be read from a connection in this phase.
func (p readPhase) blocksReads() bool { return p == phaseEvicted || p == phaseClosed }
