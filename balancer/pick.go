package balancer

import (
	"math"
	"slices"
)

// Endpoint selection.

const (
	maxRandomDraws    = 8    // random draws before the list is gone through
	externalityWeight = 0.05 // of the delay that a send is to others there: among equals less load goes first
	crossZoneWeight   = 2.0  // aims of latency that a crossing's price counts as
	affinityChoices   = 2    // endpoints at home, and as many elsewhere, that a key names
	ejectThreshold    = 0.4  // share of failures from which an endpoint is ejected,
	maxRejectedShare  = 0.5  // and share of turned away among them from which it still goes ahead of a late one
)

// cost ranks endpoints: predicted latency, and as time a zone crossing's price and a likely failure.
func (b *Balancer) cost(now Micros, r *request, e *endpoint) float64 {
	aim := float64(r.class.LatencyObjective)
	expected := b.predictLatency(now, e, r.work)
	// An endpoint that only rejects some goes ahead of a late one: what it rejects has not run.
	ejected := e.isEjected(now) && e.rejectedShare.value < maxRejectedShare
	late := expected > b.latencyLimit(now, r, e)
	c := expected + (e.currentFailureShare(now)+indicator(ejected)+indicator(late))*aim
	c += externalityWeight * r.class.work.value * e.currentServiceTimeRatio(now, b) * b.estimatedLoad(now, e)
	return c + crossZoneWeight*b.settings.Prices.CrossZone*aim*indicator(int(e.Zone) != b.settings.Zone)
}

// randomEndpoint returns a random endpoint that r may and should go to, at home or no farther than far, or
// nil.
func (b *Balancer) randomEndpoint(now Micros, r *request, not *endpoint, far float64) *endpoint {
	n := len(b.endpoints)
	var last *endpoint
	at := int(b.random.uniform() * float64(n))
	for i := 0; n > 0 && i < maxRandomDraws+n; i++ {
		if i < maxRandomDraws {
			at = int(b.random.uniform() * float64(n))
		}
		e := b.endpoints[(at+i)%n]
		// Larger endpoints are drawn more often.
		away := int(e.Zone) != b.settings.Zone && (far == 0 || b.zoneLatencies[e.Zone].median > far)
		if i < maxRandomDraws && (away || b.random.uniform()*b.maxWeight > float64(e.Weight)) {
			continue
		}
		if e == not || r.triedAt(e) || !b.maySend(now, r, e) {
			continue
		}
		if !e.isEjected(now) {
			return e
		}
		last = e // ejected endpoints serve only when nothing else is left
	}
	return last
}

// affinityPick returns the endpoint of least cost among the first two that the request's key names, the same
// at every balancer, else of the next two where the first would be too late, else nil. Where own reports are
// few, the pool is too old to do better: the first is returned even if late, and the request is refused
// there.
func (b *Balancer) affinityPick(now Micros, r *request, not *endpoint) *endpoint {
	if !b.settings.KeyAffinity || r.Key == 0 {
		return nil
	}
	var top [2 * affinityChoices]candidate // at home and elsewhere
	for _, e := range b.endpoints {
		if !e.usable() || e.isEjected(now) || e.isWarming(now, b) {
			continue // a cold one knows no keys
		}
		// The larger an endpoint, the more keys name it.
		at := candidate{e, -math.Log(uniformHash(r.Key, e.Name)) / max(0.01, float64(e.Weight))}
		side := top[:affinityChoices]
		if int(e.Zone) != b.settings.Zone {
			side = top[affinityChoices:]
		}
		for rank := range side {
			if at.endpoint != nil && (side[rank].endpoint == nil || at.cost < side[rank].cost) {
				side[rank], at = at, side[rank]
			}
		}
	}
	var first *endpoint
	for rank := range affinityChoices {
		var best candidate
		for _, e := range [...]*endpoint{top[rank].endpoint, top[affinityChoices+rank].endpoint, b.nextWarming} {
			b.consider(now, r, not, e, &best)
		}
		if e := best.endpoint; e != nil && (b.queueingFactor(now, e) <= 1 ||
			b.predictLatency(now, e, r.work) <= b.latencyLimit(now, r, e)) {
			return e
		}
		if first == nil {
			first = best.endpoint
		}
	}
	if b.reportsSparse(now) {
		return first
	}
	return nil
}

// candidate is the endpoint of the least cost so far.
type candidate struct {
	endpoint *endpoint
	cost     float64
}

// consider makes e the choice for r if it may be sent to, is not left out and costs less.
func (b *Balancer) consider(now Micros, r *request, not, e *endpoint, best *candidate) {
	if e == nil || e == not || r.triedAt(e) || !b.maySend(now, r, e) {
		return
	}
	if c := b.cost(now, r, e); best.endpoint == nil || c < best.cost {
		*best = candidate{e, c}
	}
}

// pick returns the pooled endpoint of the least cost for r, leaving out those it must not or should not go
// to; without fresh answers, the better of two random draws.
func (b *Balancer) pick(now Micros, r *request, not *endpoint) *endpoint {
	fresh := b.maxReportAge(now, r.class.LatencyObjective)
	b.refillWarmingTokens(now, r.work)
	b.probePool = slices.DeleteFunc(b.probePool, func(e *endpoint) bool {
		e.pooled = e.usable() && now-e.reportedAt <= fresh
		return !e.pooled
	})
	if e := b.nextWarming; e != nil && e.awaitsTrial && e.lastResponseAt > 0 && e != not &&
		b.maySend(now, r, e) {
		return e
	}
	if e := b.affinityPick(now, r, not); e != nil {
		return e
	}
	var best candidate
	// A random start parts equals: all balancers may hold the same list.
	for i, at := 0, int(b.random.uniform()*float64(len(b.probePool))); i < len(b.probePool); i++ {
		b.consider(now, r, not, b.probePool[(at+i)%len(b.probePool)], &best)
	}
	// The cold one whose turn it is competes: seldom drawn, it would stay cold.
	b.consider(now, r, not, b.nextWarming, &best)
	// A pool of few would take all: with most endpoints unanswered, the draws compete.
	if best.endpoint == nil || !b.probePerRequest && 2*len(b.probePool) < len(b.endpoints) {
		for range 2 {
			b.consider(now, r, not, b.randomEndpoint(now, r, not, float64(r.Deadline)), &best)
		}
	}
	return best.endpoint
}
