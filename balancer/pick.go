package balancer

import (
	"math"
)

// This file selects the endpoint of an attempt.

const (
	maxRandomDraws       = 8    // number of weighted random draws before the list is scanned from a random start
	othersDelayWeight    = 0.05 // weight of the delay caused to others: among equals, less load is preferred
	crossZonePriceWeight = 2.0  // weight of Prices.CrossZone: a price of 1 costs this many latency objectives
	affinityChoices      = 2    // a key maps to this many endpoints of the own zone and this many of others
	minEndpointWeight    = 0.01 // lower bound of Endpoint.Weight where it divides a rendezvous score
	maxRejectedShare     = 0.5  // share of rejections among failures from which ejection adds no cost
)

// picker selects the endpoint of an attempt: the one of least cost among the candidates. Candidates are the
// pool of fresh load reports, the endpoints that the request's key maps to, the next warming endpoint, and
// random draws.
type picker struct {
	*environment
	membership *membership
	probes     *prober
	slowStart  *slowStart
	estimates  *estimator
	ledger     *ledger
}

// candidate is an endpoint with its cost or score; the lower is preferred. endpoint is nil if there is none.
type candidate struct {
	endpoint *endpoint
	cost     float64 // cost in microseconds, or score by affinityRanking
}

// cost returns the cost of sending r to e, in microseconds:
//
//	cost = L + (f + j + t) * objective + othersDelayWeight * w * s * n + crossZonePriceWeight * p * objective
//
// where
//
//	L = predicted latency
//	objective = latency objective of r's class
//	f = failure share of e
//	j = 1 if e is ejected and less than maxRejectedShare of its failures are rejections, otherwise 0
//	t = 1 if L exceeds the latency limit, otherwise 0
//	w = mean work of r's class
//	s = service time ratio of e
//	n = load at e
//	p = price of crossing zones if e is in another zone, otherwise 0
//
// w * s * n stands for the delay that r causes to the n requests at e.
func (p *picker) cost(now Micros, r *request, e *endpoint) float64 {
	objective := float64(r.class.LatencyObjective)
	expected := p.estimates.latency(now, e, r.work)
	// An ejected endpoint whose failures are mostly rejections ranks before a late one: a rejected request has
	// not executed, so it can be retried.
	ejected := e.isEjected(now) && e.rejectedShare.value < maxRejectedShare
	late := expected > p.estimates.latencyLimit(now, r, e)
	total := expected + (e.currentFailureShare(now)+indicator(ejected)+indicator(late))*objective
	total += othersDelayWeight * r.class.work.value *
		p.estimates.serviceTimeRatio(now, e) * p.estimates.load(now, e)
	return total + crossZonePriceWeight*p.settings.Prices.CrossZone*objective*indicator(!p.isLocal(e))
}

// isLocal reports whether e is in the balancer's own zone.
func (p *picker) isLocal(e *endpoint) bool { return int(e.Zone) == p.settings.Zone }

// mayConsider reports whether the ledger permits sending r to e, e is not excluded, and no attempt of r went
// to e before. excluded may be nil.
func (p *picker) mayConsider(now Micros, r *request, excluded, e *endpoint) bool {
	return e != excluded && !r.triedAt(e) && p.ledger.maySend(now, r, e)
}

// randomEndpoint returns a random endpoint that r may go to, or nil if there is none. It prefers endpoints in
// the own zone and, if maxRoundTrip is not 0, also those in other zones with a round-trip time of at most
// maxRoundTrip microseconds. It returns an ejected endpoint only if there is no other. excluded may be nil.
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
		// In the random draws, endpoints are accepted in proportion to their weight.
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

// affinityRanking returns the endpoints that a key maps to by weighted rendezvous hashing. The first
// affinityChoices are endpoints of the own zone, the others of other zones, both by ascending score; places
// without endpoint come last. The score of an endpoint is -ln(u) / max(minEndpointWeight, weight), where u is
// a uniform hash of the key and the endpoint's name. It gives each endpoint a share of the keys in proportion
// to its weight, and is the same at every balancer.
func (p *picker) affinityRanking(now Micros, key uint64) (ranking [2 * affinityChoices]candidate) {
	contract := &p.settings.Contract
	for _, e := range p.membership.list() {
		if !e.usable() || e.isEjected(now) || e.isWarming(now, contract) {
			continue // a warming endpoint has cached nothing for any key yet
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

// affinityPick returns an endpoint for a request with a key, or nil. The candidates are the first endpoint of
// affinityRanking in the own zone, the first one in other zones and the next warming endpoint. If the one of
// least cost would answer too late (requests queue there, and the predicted latency exceeds the limit), the
// second endpoints of the ranking take the place of the first ones. If the best of these would answer
// too late as well, affinityPick returns nil, and pick selects from the pool of fresh load reports. Only
// where reports are sparse is this pool too old to do better. affinityPick then returns its first choice
// although that would answer too late, and admission rejects the request, unless it is sent as a trial.
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
		p.consider(now, r, excluded, p.slowStart.nextEndpoint(), &best)
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

// consider replaces best by e if r may go to e and e costs less, or if best is empty. A nil e is ignored.
func (p *picker) consider(now Micros, r *request, excluded, e *endpoint, best *candidate) {
	if e == nil || !p.mayConsider(now, r, excluded, e) {
		return
	}
	if c := p.cost(now, r, e); best.endpoint == nil || c < best.cost {
		*best = candidate{e, c}
	}
}

// pick returns the endpoint for an attempt of r, or nil if there is none. It is never the excluded endpoint,
// which may be nil.
func (p *picker) pick(now Micros, r *request, excluded *endpoint) *endpoint {
	p.slowStart.refill(now, r.work)
	pool := p.probes.freshPool(now, r.class.LatencyObjective)
	warming := p.slowStart.nextEndpoint()
	if warming != nil && warming.awaitsTrial && warming.lastResponseAt > 0 && warming != excluded &&
		p.ledger.maySend(now, r, warming) {
		return warming
	}
	if e := p.affinityPick(now, r, excluded); e != nil {
		return e
	}
	var best candidate
	// The random start decides between endpoints of equal cost. All balancers may hold the same list, and would
	// otherwise choose the same endpoint.
	for i, start := 0, int(p.random.uniform()*float64(len(pool))); i < len(pool); i++ {
		p.consider(now, r, excluded, pool[(start+i)%len(pool)], &best)
	}
	// The next warming endpoint is considered explicitly: random draws select it too rarely to warm it up.
	p.consider(now, r, excluded, p.slowStart.nextEndpoint(), &best)
	// A pool of less than half of the endpoints must not get all requests: random draws compete with it.
	smallPool := !p.probes.probesWithRequests() && 2*len(pool) < len(p.membership.list())
	if best.endpoint == nil || smallPool {
		for range 2 {
			e := p.randomEndpoint(now, r, excluded, float64(r.Deadline))
			p.consider(now, r, excluded, e, &best)
		}
	}
	return best.endpoint
}
