package balancer

import "math"

// Prediction: the latency to expect of an endpoint, learned from outcomes and reported load.

const (
	paceLife    = 10 * second
	paceWeight  = 0.03
	fleetWeight = 0.02
	workWeight  = 0.01
	minWork     = 0.001 // of its aim: no class's work is taken for less
	minPaceWork = 0.1   // of its class's work: a request of less tells of the pace as if it had this
	cores       = 2.0   // requests that an endpoint works at side by side, assumed
	trustWeight = 0.005
	trendWeight = 0.1
	trendStep   = 5.0 // one outcome counts as no more than this many times the prediction
	trendNoise  = 1.5
	trendLife   = second
)

// load estimates the requests at e: the last report plus own sends since, less own answers since. Where
// balancers keep a pool, half of the others are assumed to send as this one, or all would choose the same
// low report. Late reports do not tell the present load, but their mean still ranks the endpoints.
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

// paceNow is e's time per unit of work, longer while it is cold. Without recent samples it returns to the
// fleet's, so that an endpoint once found slow is tried again.
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
	e, c := a.ep, r.class
	alone := max(0, latency-b.ways[e.Zone].v) / a.crowding
	// What a request of next to no work takes beyond the prediction was not spent on that work.
	pace, slowed := e.paceNow(now, b), e.slowed(now, b)
	x := pace + (alone-pace*r.work)/max(r.work, minPaceWork*c.work.v)
	// One that was overtaken may be lost, and then says nothing of how fast e is, or the fleet.
	if atLeast && (x <= pace || e.answered > a.at) {
		return
	}
	b.follow(now, latency/a.plain)
	if !atLeast && r.hint != 0 && x > 0 {
		// Rough hints overstate the large and understate the small: learn how far they tell.
		b.trust = min(1, max(0, b.trust+trustWeight*r.hint*math.Log(x/pace)))
	}
	warm := pace / slowed // what is kept is the pace once warm
	e.pace = ewma{v: warm, seen: true}
	e.pace.add(x/slowed, paceWeight)
	if least := e.warmth(now, b); least < 1 && warm > 0 {
		b.coldSamples++
		b.coldSlowness.add(min(1, max(0, (x/warm-1)/(1/least-1))), coldSlownessWeight)
	}
	e.paceAt = now
	if atLeast {
		return
	}
	if !r.HasWorkHint {
		// Without hints a class's work is its mean latency without a queue. One answer raises pace and work, and
		// the prediction by their product: its effect on the work is bounded.
		least, most := minWork*float64(c.LatencyObjective), trendStep*c.work.v
		c.work.add(min(max(least, alone), most), workWeight)
	}
	if !e.isCold {
		b.fleet.add(x, fleetWeight)
	}
}

// follow moves the trend by one outcome: when the whole fleet slows down or recovers, the paces of endpoints
// with little traffic of ours are learned late. ratio is the latency over the prediction without the trend,
// or requests sent before the trend rose would raise it a second time.
func (b *Balancer) follow(now Micros, ratio float64) {
	trend := b.trendNow(now)
	b.trend, b.trendAt = trend+(min(ratio, trendStep)-trend)*trendWeight, now
}

func (b *Balancer) trendNow(now Micros) float64 {
	return 1 + (b.trend-1)*math.Exp(-float64(now-b.trendAt)/float64(trendLife))
}

// slowdown is the trend beyond noise. It decays without outcomes: refusals must not keep it up.
func (b *Balancer) slowdown(now Micros) float64 {
	return max(1, b.trendNow(now)/trendNoise)
}
