package upstream

import (
	"context"
	"sync/atomic"
	"time"
)

// Gate is the check that each attempt and probe passes immediately before it writes its first byte. It is needed
// because the balancer's decision to start the attempt or probe may be out of date after the wait for a connection. The
// check applies to first attempts and to retries, on idle connections and on new ones, however short the wait was.
//
// The zero value is an open gate without conditions. A Gate serves one attempt or probe.
type Gate struct {
	// NotAfter is the time from which a retry could run the request twice. From that time the gate cannot be passed. Zero
	// means that there is no such time.
	NotAfter time.Time
	// ClientGone inspects the client's connection and reports whether the client has disconnected. It is nil if there
	// is no client.
	ClientGone func() bool

	phase atomic.Int32 // a gatePhase
}

// gatePhase is the state of a gate. It changes at most once, from gateOpen to one of the other two.
type gatePhase int32

const (
	gateOpen   gatePhase = iota
	gatePassed           // the attempt may write its first byte
	gateClosed           // the attempt never begins
)

// enterFinalPhase moves an open gate to its final phase. It reports false, and changes nothing, if the gate was no
// longer open.
func (g *Gate) enterFinalPhase(final gatePhase) bool {
	return g.phase.CompareAndSwap(int32(gateOpen), int32(final))
}

// Close prevents the attempt from beginning. It reports whether the gate was still open; if not, the attempt may have
// begun.
func (g *Gate) Close() bool { return g.enterFinalPhase(gateClosed) }

// passGate passes the gate and returns nil if the first byte may be written on a connection to the endpoint. Otherwise
// it returns the reason why not.
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
	case !gate.enterFinalPhase(gatePassed):
		return errClientGone
	}
	return nil
}
