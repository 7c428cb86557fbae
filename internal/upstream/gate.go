package upstream

import (
	"context"
	"sync/atomic"
	"time"
)

// Gate is what each attempt and probe passes right before its first byte, whether it is a first attempt or a retry, on
// an idle connection or a new one, however long it waited for that. What the balancer decided may no longer hold then.
//
// The zero value is open. A gate serves one attempt.
type Gate struct {
	// NotAfter is the time after which a retry could run the request twice; zero where that does not matter.
	NotAfter time.Time
	// ClientGone reports whether the client has left, by a look at its connection; nil: there is no client.
	ClientGone func() bool

	phase atomic.Int32 // a gatePhase
}

// gatePhase says what became of a gate. It is passed or closed once, and for good.
type gatePhase int32

const (
	gateOpen gatePhase = iota
	gatePassed
	gateClosed
)

// leaveOpen moves the gate to its final phase, and reports whether it was the first to do so.
func (g *Gate) leaveOpen(final gatePhase) bool {
	return g.phase.CompareAndSwap(int32(gateOpen), int32(final))
}

// Close prevents the attempt from beginning and reports whether that came in time.
func (g *Gate) Close() bool { return g.leaveOpen(gateClosed) }

// passGate returns nil if the first byte may be written on a connection to an endpoint, and else why not.
func (p *pool) passGate(ctx context.Context, gate *Gate, endpoint *Endpoint) error {
	switch {
	case p.Retired(endpoint):
		return errEndpointClosed
	case ctx.Err() != nil:
		return ctx.Err()
	case deadlinePassed(ctx):
		return context.DeadlineExceeded
	case !gate.NotAfter.IsZero() && !time.Now().Before(gate.NotAfter):
		return errTooLate
	case gate.ClientGone != nil && gate.ClientGone():
		return errClientGone
	case !gate.leaveOpen(gatePassed):
		return errClientGone
	}
	return nil
}
