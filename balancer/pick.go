package balancer

import (
	"math"
)

// Endpoint selection.

const (
	maxRandomDraws       = 8    // weighted random draws, before the list is scanned from a random start
	othersDelayWeight    = 0.05 // of the delay caused to others in the cost: among equals, less load is preferred
	crossZonePriceWeight = 2.0  // latency objectives that a price of 1 for crossing zones counts as
	affinityChoices      = 2    // endpoints of the own zone, and as many of others, that a key maps to
	minEndpointWeight    = 0.01 // lower bound of the weight in rendezvous hashing, which divides by it
	maxRejectedShare     = 0.5  // of its failures, from which an ejected endpoint ranks before a late one
)

// picker selects the endpoint of an attempt: that of least cost among the pool, the endpoints that the
// request's key maps to, the next warming endpoint, and random draws.
type picker struct {
	*environment
	membership *membership
	probes     *prober
	slowStart  *slowStart
	estimates  *estimator
	ledger     *ledger
}

// candidate is an endpoint with its cost.
type candidate struct {
	endpoint *endpoint
	cost     float64 // microseconds, or the score of affinityRanking
}

// cost ranks endpoints for r by the predicted latency in microseconds, to which the expected failures, the
// delay caused to others and the price of crossing zones are added as time.
func (p *picker) cost(now Micros, r *request, e *endpoint) float64 {
	objective := float64(r.class.LatencyObjective)
	expected := p.estimates.latency(now, e, r.work)
	// An endpoint that only rejects some requests ranks before a late one: what it rejects has not executed.
	ejected := e.isEjected(now) && e.rejectedShare.value < maxRejectedShare
	late := expected > p.estimates.latencyLimit(now, r, e)
	total := expected + (e.currentFailureShare(now)+indicator(ejected)+indicator(late))*objective
	total += othersDelayWeight * r.class.work.value * p.estimates.serviceTimeRatio(now, e) * p.estimates.load(now, e)
	return total + crossZonePriceWeight*p.settings.Prices.CrossZone*objective*indicator(!p.isLocal(e))
}

// isLocal reports whether e is in the balancer's own zone.
func (p *picker) isLocal(e *endpoint) bool { return int(e.Zone) == p.settings.Zone }

// mayConsider reports whether r may go to e, and e is neither excluded nor was tried before.
func (p *picker) mayConsider(now Micros, r *request, excluded, e *endpoint) bool {
	return e != excluded && !r.triedAt(e) && p.ledger.maySend(now, r, e)
}

// randomEndpoint returns a random endpoint that r may go to, or nil if there is none. It prefers endpoints of
// the own zone or, if maxRoundTrip is not 0, within that many microseconds. It returns an ejected one only if
// there is no other.
func (p *picker) randomEndpoint(now Micros, r *request, excluded *endpoint, maxRoundTrip float64) *endpoint {
	endpoints := p.membership.list()
	n := len(endpoints)
	var ejected *endpoint
	start := int(p.random.uniform() * float64(n))
	for i := 0; n > 0 && i < maxRandomDraws+n; i++ {
		if i < maxRandomDraws {
			start = int(p.random.uniform() * float64(n))
		}
		e := endpoints[(start+i)%n]
		// Endpoints are drawn in proportion to their weight.
		tooFar := !p.isLocal(e) && (maxRoundTrip == 0 || p.estimates.roundTrip(e) > maxRoundTrip)
		if i < maxRandomDraws && (tooFar || p.random.uniform()*p.membership.largestWeight() > float64(e.Weight)) {
			continue
		}
		if !p.mayConsider(now, r, excluded, e) {
			continue
		}
		if !e.isEjected(now) {
			return e
		}
		ejected = e
	}
	return ejected
}

// affinityRanking returns the endpoints that a key maps to by weighted rendezvous hashing, by ascending
// score: first those of the own zone, then those of others. The score -ln(u)/weight, with u a uniform hash of
// key and endpoint, gives each endpoint a share of the keys in proportion to its weight, and is the same at
// every balancer.
func (p *picker) affinityRanking(now Micros, key uint64) (ranking [2 * affinityChoices]candidate) {
	contract := &p.settings.Contract
	for _, e := range p.membership.list() {
		if !e.usable() || e.isEjected(now) || e.isWarming(now, contract) {
			continue // a warming endpoint has cached nothing for any key
		}
		score := -math.Log(uniformHash(key, e.Name)) / max(minEndpointWeight, float64(e.Weight))
		inserted := candidate{e, score}
		group := ranking[:affinityChoices]
		if !p.isLocal(e) {
			group = ranking[affinityChoices:]
		}
		for rank := range group {
			if inserted.endpoint != nil && (group[rank].endpoint == nil || inserted.cost < group[rank].cost) {
				group[rank], inserted = inserted, group[rank]
			}
		}
	}
	return ranking
}

// affinityPick returns an endpoint that the request's key maps to, or nil: of least cost among the first of
// the own zone and the first of the others or, if that would be too late, among the second ones. Where
// reports are sparse, the pool is too old to do better: the former is returned even if too late, and the
// request is rejected.
func (p *picker) affinityPick(now Micros, r *request, excluded *endpoint) *endpoint {
	if !p.settings.KeyAffinity || r.Key == 0 {
		return nil
	}
	ranking := p.affinityRanking(now, r.Key)
	var first *endpoint
	for rank := range affinityChoices {
		var best candidate
		p.consider(now, r, excluded, ranking[rank].endpoint, &best)
		p.consider(now, r, excluded, ranking[affinityChoices+rank].endpoint, &best)
		p.consider(now, r, excluded, p.slowStart.candidate(), &best)
		if e := best.endpoint; e != nil && (p.estimates.queueingFactor(now, e) <= 1 ||
			p.estimates.latency(now, e, r.work) <= p.estimates.latencyLimit(now, r, e)) {
			return e
		}
		if first == nil {
			first = best.endpoint
		}
	}
	if p.probes.reportsSparse(now) {
		return first
	}
	return nil
}

// consider makes e the best candidate if r may go to it and it costs less.
func (p *picker) consider(now Micros, r *request, excluded, e *endpoint, best *candidate) {
	if e == nil || !p.mayConsider(now, r, excluded, e) {
		return
	}
	if c := p.cost(now, r, e); best.endpoint == nil || c < best.cost {
		*best = candidate{e, c}
	}
}

// pick returns the endpoint for an attempt of r, or nil if there is none.
func (p *picker) pick(now Micros, r *request, excluded *endpoint) *endpoint {
	p.slowStart.refill(now, r.work)
	pool := p.probes.freshPool(now, r.class.LatencyObjective)
	warming := p.slowStart.candidate()
	if warming != nil && warming.awaitsTrial && warming.lastResponseAt > 0 && warming != excluded &&
		p.ledger.maySend(now, r, warming) {
		return warming
	}
	if e := p.affinityPick(now, r, excluded); e != nil {
		return e
	}
	var best candidate
	// The random start decides between equals: all balancers may hold the same list.
	for i, start := 0, int(p.random.uniform()*float64(len(pool))); i < len(pool); i++ {
		p.consider(now, r, excluded, pool[(start+i)%len(pool)], &best)
	}
	// Random draws hit the next warming endpoint too seldom to warm it up.
	p.consider(now, r, excluded, p.slowStart.candidate(), &best)
	// Random draws compete with a pool of less than half of the endpoints, which must not get all requests.
	smallPool := !p.probes.probesWithRequests() && 2*len(pool) < len(p.membership.list())
	if best.endpoint == nil || smallPool {
		for range 2 {
			e := p.randomEndpoint(now, r, excluded, float64(r.Deadline))
			p.consider(now, r, excluded, e, &best)
		}
	}
	return best.endpoint
}
