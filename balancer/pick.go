package balancer

import (
	"math"
	"slices"
)

// Endpoint selection.

const (
	drawTries        = 8    // random draws before the list is gone through
	othersWeight     = 0.05 // of the delay that a send is to others there: among equals less load goes first
	zoneWeight       = 2.0  // aims of latency that a crossing's price counts as
	homesEach        = 2    // endpoints at home, and as many elsewhere, that a key names
	ejectFrom        = 0.4  // share of failures from which an endpoint is ejected,
	maxRejectedShare = 0.5  // and share of turned away among them from which it still goes ahead of a late one
)

// failing is the recent share of failures at e; it fades, so that e is tried again.
func (e *endpoint) failing(now Micros) float64 {
	f := e.errs * math.Exp2(-float64(now-e.errAt)/float64(3*second))
	return f * share(f > 0.01) // all but forgotten is forgotten
}

// ejected says whether e fails so often of late that it serves only when nothing else is left.
func (e *endpoint) ejected(now Micros) bool { return e.failing(now) >= ejectFrom }

// cost ranks endpoints: predicted latency, and as time a zone crossing's price and a likely failure.
func (b *Balancer) cost(now Micros, r *request, e *endpoint) float64 {
	aim := float64(r.class.LatencyObjective)
	expected := b.predict(now, e, r.work)
	// An endpoint that only rejects some goes ahead of a late one: what it rejects has not run.
	ejected := e.ejected(now) && e.turned.v < maxRejectedShare
	c := expected + (e.failing(now)+share(ejected)+share(expected > b.room(now, r, e)))*aim
	c += othersWeight * r.class.work.v * e.paceNow(now, b) * b.load(now, e)
	return c + zoneWeight*b.s.Prices.CrossZone*aim*share(int(e.Zone) != b.s.Zone)
}

// draw returns a random endpoint that r may and should go to, at home or no farther than far, or nil.
func (b *Balancer) draw(now Micros, r *request, not *endpoint, far float64) *endpoint {
	n := len(b.list)
	var last *endpoint
	at := int(b.rng.float() * float64(n))
	for i := 0; n > 0 && i < drawTries+n; i++ {
		if i < drawTries {
			at = int(b.rng.float() * float64(n))
		}
		e := b.list[(at+i)%n]
		// Larger endpoints are drawn more often.
		away := int(e.Zone) != b.s.Zone && (far == 0 || b.ways[e.Zone].v > far)
		if i < drawTries && (away || b.rng.float()*b.largest > float64(e.Weight)) {
			continue
		}
		if e == not || r.tried(e) || !b.maySend(now, r, e) {
			continue
		}
		if !e.ejected(now) {
			return e
		}
		last = e // ejected endpoints serve only when nothing else is left
	}
	return last
}

// home returns the endpoint of least cost among the first two that the request's key names, the same at every
// balancer, else of the next two where the first would be too late, else nil. Where own reports are few, the
// pool is too old to do better: the first is returned even if late, and the request is refused there.
func (b *Balancer) home(now Micros, r *request, not *endpoint) *endpoint {
	if !b.s.KeyAffinity || r.Key == 0 {
		return nil
	}
	var top [2 * homesEach]choice // at home and elsewhere
	for _, e := range b.list {
		if !e.usable() || e.ejected(now) || e.cold(now, b) {
			continue // a cold one knows no keys
		}
		// The larger an endpoint, the more keys name it.
		at := choice{e, -math.Log(chance(r.Key, e.Name)) / max(0.01, float64(e.Weight))}
		side := top[:homesEach]
		if int(e.Zone) != b.s.Zone {
			side = top[homesEach:]
		}
		for rank := range side {
			if at.e != nil && (side[rank].e == nil || at.cost < side[rank].cost) {
				side[rank], at = at, side[rank]
			}
		}
	}
	var first *endpoint
	for rank := range homesEach {
		var best choice
		for _, e := range [...]*endpoint{top[rank].e, top[homesEach+rank].e, b.turn} {
			b.consider(now, r, not, e, &best)
		}
		if e := best.e; e != nil && (b.crowding(now, e) <= 1 || b.predict(now, e, r.work) <= b.room(now, r, e)) {
			return e
		}
		if first == nil {
			first = best.e
		}
	}
	if b.thin(now) {
		return first
	}
	return nil
}

// choice is the endpoint of the least cost so far.
type choice struct {
	e    *endpoint
	cost float64
}

// consider makes e the choice for r if it may be sent to, is not left out and costs less.
func (b *Balancer) consider(now Micros, r *request, not, e *endpoint, best *choice) {
	if e == nil || e == not || r.tried(e) || !b.maySend(now, r, e) {
		return
	}
	if c := b.cost(now, r, e); best.e == nil || c < best.cost {
		*best = choice{e, c}
	}
}

// pick returns the pooled endpoint of the least cost for r, leaving out those it must not or should not go
// to; without fresh answers, the better of two random draws.
func (b *Balancer) pick(now Micros, r *request, not *endpoint) *endpoint {
	fresh := b.freshFor(now, r.class.LatencyObjective)
	b.earn(now, r.work)
	b.pool = slices.DeleteFunc(b.pool, func(e *endpoint) bool {
		e.pooled = e.usable() && now-e.answerAt <= fresh
		return !e.pooled
	})
	if e := b.turn; e != nil && e.pending && e.heardAt > 0 && e != not && b.maySend(now, r, e) {
		return e
	}
	if e := b.home(now, r, not); e != nil {
		return e
	}
	var best choice
	// A random start parts equals: all balancers may hold the same list.
	for i, at := 0, int(b.rng.float()*float64(len(b.pool))); i < len(b.pool); i++ {
		b.consider(now, r, not, b.pool[(at+i)%len(b.pool)], &best)
	}
	// The cold one whose turn it is competes: seldom drawn, it would stay cold.
	b.consider(now, r, not, b.turn, &best)
	// A pool of few would take all: with most endpoints unanswered, the draws compete.
	if best.e == nil || !b.sparse && 2*len(b.pool) < len(b.list) {
		for range 2 {
			b.consider(now, r, not, b.draw(now, r, not, float64(r.Deadline)), &best)
		}
	}
	return best.e
}
