package upstream

import (
	"errors"
	"os"
	"time"

	"oakproxy/balancer"
)

const (
	// stallCheckInterval is how long a response that has begun must be silent until the balancer is asked whether the
	// attempt is given up, and the time until it is asked again.
	stallCheckInterval = 100 * time.Millisecond

	// relayMargin is how long before the attempt's deadline a response is relayed at the latest, so that the client gets
	// its first bytes in time.
	relayMargin = 5 * time.Millisecond
)

// StallFunc is called when a response that has begun makes no progress. It returns what the balancer decides. If the
// attempt has been cancelled, the result is not used.
type StallFunc func() balancer.StallDecision

// errStalled reports that the balancer gave up an attempt whose response has begun, because of its silence.
var errStalled = errors.New("the endpoint fell silent within its response")

// errRelayNow reports that the rest of a response must be relayed as it arrives. It never leaves this package.
var errRelayNow = errors.New("the response is relayed from here on")

// stallMonitor waits for the bytes of a response that has begun, on behalf of one attempt. Until a part of the response
// is forwarded to the client, a retry may take the place of the attempt; whether it does is the balancer's decision.
// Apart from that, only the attempt's deadline limits the waits.
type stallMonitor struct {
	conn    *conn
	stalled StallFunc // may be nil: the attempt is then given up, unless the response can be relayed
	// relayFrom is the time from which the response is relayed if its end has not arrived. It is zero as long as the
	// response cannot be relayed.
	relayFrom time.Time
	// kept is true once the balancer has decided that no other attempt takes the place of this one.
	kept bool
}

// await waits until n bytes of the response have arrived and were not read. Its error is errRelayNow if the response
// must be relayed before that.
func (m *stallMonitor) await(n int) error {
	for {
		m.conn.limitReads(m.limits())
		_, err := m.conn.reader.Peek(n)
		if !m.hasStalled(err) {
			return err
		}
		if err := m.decide(); err != nil {
			return err
		}
	}
}

// hasStalled reports whether a read has failed because it has reached its limits, and not the deadline of the attempt.
func (m *stallMonitor) hasStalled(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && m.conn.ctx.Err() == nil
}

// limits returns the limits of the next wait, after which decide is called.
func (m *stallMonitor) limits() readLimits {
	switch {
	case m.relayFrom.IsZero() && m.kept:
		return readLimits{} // only the deadline of the attempt limits the wait
	case m.relayFrom.IsZero():
		return readLimits{maxSilence: stallCheckInterval}
	}
	return readLimits{notBefore: m.relayFrom, notAfter: m.latestRelay()}
}

// latestRelay returns the time from which a response that can be relayed must be relayed. It is zero if the attempt has
// no deadline.
func (m *stallMonitor) latestRelay() time.Time {
	deadline, ok := m.conn.ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return deadline.Add(-relayMargin)
}

// decide is called when a wait has ended without a byte. It returns nil if the wait goes on.
func (m *stallMonitor) decide() error {
	canRelay := !m.relayFrom.IsZero()
	if latest := m.latestRelay(); canRelay && !latest.IsZero() && !time.Now().Before(latest) {
		return errRelayNow
	}
	decision := balancer.StallKeep
	switch {
	case m.kept:
	case m.stalled != nil:
		decision = m.stalled()
	case !canRelay:
		decision = balancer.StallGiveUp
	}
	switch decision {
	case balancer.StallGiveUp:
		return errStalled
	case balancer.StallWait:
		if canRelay {
			m.relayFrom = time.Now().Add(stallCheckInterval)
		}
		return nil
	}
	if m.kept = true; canRelay {
		return errRelayNow
	}
	return nil
}
