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

	phase atomic.Int32 // a gate phase
}

// The phases of a gate. A gate is passed or closed once, and for good.
const (
	gateOpen int32 = iota
	gatePassed
	gateClosed
)

// Close prevents the attempt from beginning and reports whether that came in time.
func (g *Gate) Close() bool { return g.phase.CompareAndSwap(gateOpen, gateClosed) }

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
	case !gate.phase.CompareAndSwap(gateOpen, gatePassed):
		return errClientGone
	}
	return nil
}
