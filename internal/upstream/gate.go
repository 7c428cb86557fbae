package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Gate is what every attempt and probe passes right before its first byte, whether it is
// the first or a further one, on a connection that was idle or dialled for it, however long
// that took. What the balancer decided may no longer hold by then.
type Gate struct {
	NotAfter   time.Time   // after which a repeat may run twice; zero where that is no matter
	ClientGone func() bool // whether the client has left, by a look at its connection; nil: there is none
	phase      atomic.Int32
}

// maxWriteLag is the most that the last bytes of a request may wait for its endpoint to take what is ahead of them. An
// endpoint may be told 0.15 s more than the client has left.
const maxWriteLag = 100 * time.Millisecond

// The phases of a gate: it is passed or shut once, and for good.
const (
	gateWaiting int32 = iota
	gatePassed
	gateClosed
)

// Reasons for which nothing may begin.
var (
	errClientGone = errors.New("the client has left, or its request is over")
	errTooLate    = errors.New("it may no longer be sent")
)

// Close keeps an attempt from beginning and says whether that came in time.
func (g *Gate) Close() bool { return g.phase.CompareAndSwap(gateWaiting, gateClosed) }

// passGate says whether the first byte may go out on a connection to t, or why not.
func (u *Client) passGate(ctx context.Context, g *Gate, t *Endpoint) error {
	u.mu.Lock()
	closed := t.closed
	u.mu.Unlock()
	switch {
	case closed:
		return errEndpointClosed
	case ctx.Err() != nil:
		return ctx.Err()
	case deadlinePassed(ctx):
		return context.DeadlineExceeded
	case !g.NotAfter.IsZero() && !time.Now().Before(g.NotAfter):
		return errTooLate
	case g.ClientGone != nil && g.ClientGone():
		return errClientGone
	case !g.phase.CompareAndSwap(gateWaiting, gatePassed):
		return errClientGone
	}
	return nil
}
