package balancer

import "math"

// Prediction: the latency to expect of an endpoint, learned from outcomes and reported load.

const (
	paceLife    = 10 * second
	paceWeight  = 0.03
	fleetWeight = 0.02
	workWeight  = 0.01
	cores       = 2.0 // requests that an endpoint works at side by side, assumed
	trustWeight = 0.005
	trendWeight = 0.1
	trendStep   = 5.0 // one outcome counts as no more than this many times the prediction
	trendNoise  = 1.5
	trendLife   = second
)

// load is the last answer plus own sends since, less own answers since. Where a pool of the whole fleet is
// kept, half of the other balancers are held to send as we do: they hold that answer, too, and would all
// pile up where it is low. Answers asked for one request are our own: nobody else acts on them. Late answers
// tell nothing of this moment, but their mean still tells at which endpoints others are more than elsewhere.
func (b *Balancer) load(now Micros, e *endpoint) float64 {
	usual := b.usual.v
	if e.isCold {
		usual = b.usualCold.v
	}
	if b.reportsLate || !e.hasLoad {
		return e.mean.or(usual) + float64(e.inflight)
	}
	others := e.others
	if b.thin(now) {
		// An answer may be minutes old. Those of calmer times would draw all in an overload, and none seem late.
		others = usual + (others-usual)*math.Exp(-float64(now-e.answerAt)/float64(poolAge))
	}
	herd := float64(b.s.Balancers-1) / 2 * float64(max(0, e.inflight-e.ownAt)) * share(!b.sparse)
	return others + float64(e.inflight) + herd
}

// crowding is how much longer than alone a request takes at e's load.
func (b *Balancer) crowding(now Micros, e *endpoint) float64 {
	return max(1, (b.load(now, e)+1)/cores)
}

// paceNow is e's time per unit of work, longer while it is cold. Unseen for long, it
// is the fleet's, so that an endpoint once thought slow is tried again.
func (e *endpoint) paceNow(now Micros, b *Balancer) float64 {
	usual := b.fleet.or(1)
	trust := max(0, 1-float64(now-e.paceAt)/float64(paceLife)) * share(e.pace.seen)
	return (usual + (e.pace.v-usual)*trust) * e.slowed(now, b)
}

// predict is the latency expected of a request of this work sent to e now.
func (b *Balancer) predict(now Micros, e *endpoint, work float64) float64 {
	return b.ways[e.Zone].v + work*b.slowdown(now)*e.paceNow(now, b)*b.crowding(now, e)
}

// learnPace learns from a latency; atLeast says that it is only a lower bound.
func (b *Balancer) learnPace(now Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e := a.ep
	x := max(0, latency-b.ways[e.Zone].v) / a.factor
	// One that was overtaken may be lost, and then says nothing of how fast e is, or the fleet.
	if atLeast && (x <= e.paceNow(now, b) || e.answered > a.at) {
		return
	}
	b.follow(now, latency/a.plain)
	if !atLeast && r.hint != 0 && x > 0 {
		// Rough hints overstate the large and understate the small: learn how far they tell.
		b.trust = min(1, max(0, b.trust+trustWeight*r.hint*math.Log(x/e.paceNow(now, b))))
	}
	slowed := e.slowed(now, b) // what is kept is the pace once warm
	warm := e.paceNow(now, b) / slowed
	e.pace = ewma{v: warm, seen: true}
	e.pace.add(x/slowed, paceWeight)
	if least := e.warmth(now, b); least < 1 && warm > 0 {
		b.chills++
		b.chill.add(min(1, max(0, (x/warm-1)/(1/least-1))), chillWeight)
	}
	e.paceAt = now
	if atLeast {
		return
	}
	if !r.HasHint {
		// Without hints a class's work is its mean latency on an endpoint without a queue.
		b.classes[r.Class].work.add(x*r.work, workWeight)
	}
	if !e.isCold {
		b.fleet.add(x, fleetWeight)
	}
}

// follow shifts what is expected of every endpoint by one outcome: when the whole fleet turns slow, or
// recovers, the paces of endpoints that see little of our traffic are learned far too late. The outcome is
// held against what its endpoint's pace and load alone made expected: with the trend in that as well, all
// that were sent before it rose would raise it again, far beyond the slowness that there is.
func (b *Balancer) follow(now Micros, ratio float64) {
	trend := b.trendNow(now)
	b.trend, b.trendAt = trend+(min(ratio, trendStep)-trend)*trendWeight, now
}

func (b *Balancer) trendNow(now Micros) float64 {
	return 1 + (b.trend-1)*math.Exp(-float64(now-b.trendAt)/float64(trendLife))
}

// slowdown is the trend beyond what chance makes of it. It fades as long as little or nothing is answered:
// refusals that it causes would else keep away the very outcomes that show its end.
func (b *Balancer) slowdown(now Micros) float64 {
	return max(1, b.trendNow(now)/trendNoise)
}
