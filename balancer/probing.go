package balancer

import "slices"

// Probing: when endpoints are asked for their load, and what the answers tell.

const (
	probeGap            = second / 10 // longest pause between probe rounds
	probeSpend          = 0.005       // of the result, at most, goes to probes
	firstTries          = 0.3         // at least, of what is asked
	maxProbesPerRequest = 4.0         // probes a request, at most
	askSpend            = 0.02        // of the result, at most, goes to probes asked for single requests
	holdPart            = 0.1         // of its aim, at most, a request waits for the probes asked for it
	askedAge            = 0.25        // of its aim, at most, may a figure be old where probes go with requests
	probeBatch          = 3           // endpoints a round
	waitsTell           = 0.05        // share of probes that waited from which all are taken to stand in line
	usualWeight         = 0.1         // of the latest answer in the usual load
	usualFirst          = 0.5         // the usual load, until answers tell,
	usualGuess          = 10          // as sure as so many of them
	usualThin           = 0.03        // the same where answers are few
	meanWeight          = 0.1         // the same in the mean load at one endpoint
	minQueued           = 0.5         // requests a probe must have waited for to count
	ownTells            = 0.1         // own requests held at an endpoint from which own counts tell its load
	poolAge             = second      // an answer is fresh for this long,
	poolRounds          = 3           // or for so many turns of the whole fleet
	maxLateShare        = 0.1         // share of late reports above which their averages serve
	shareWeight         = 0.02        // of the latest sample in a share of all
	settleTrips         = 5.0         // round trips after which a send has surely arrived
)

// firstProbe begins the probe rounds, unless they run.
func (b *Balancer) firstProbe() {
	b.asks = min(maxProbesPerRequest, askSpend/b.s.Prices.Probe) // a price of 0 asks for the most
	if b.s.Limits.Probes && !b.rounds {
		b.rounds = true
		b.out.StartTimer(1+b.rng.below(probeGap), tokenProbe)
	}
}

// probeRate is the pace of probes a second that the settings' price allows.
func (b *Balancer) probeRate(now Micros) float64 {
	per := min(maxProbesPerRequest, probeSpend/b.s.Prices.Probe)
	// The price counts first tries. While all is refused, answers must still show when that may end.
	return max(1, per*b.demand.rate(now)*max(firstTries, 1-b.refused.v))
}

// hold probes a few random endpoints for r and keeps it until they answer.
func (b *Balancer) hold(now Micros, r *request) bool {
	// While most is refused, most go without: clients retry, and their probes alone would fill the fleet.
	asking := b.sparse && b.s.Limits.Probes && len(b.s.ReportFields) > 0
	if !asking || b.rng.float() > max(firstTries, 2-2*b.refused.v) {
		return false
	}
	wait := min(holdPart*float64(r.class.LatencyObjective), float64(r.Deadline-now)/4)
	for i := range int(b.asks) {
		// One of its own zone, and others whose answer can come in time; farther ones while much is refused.
		far := wait / 2
		if i == 0 {
			far = 0
		} else if b.rng.float() < b.refused.v {
			far = wait
		}
		e := b.draw(now, r, nil, far)
		if e == nil {
			return false
		}
		if !slices.Contains(r.awaits, e) {
			b.probe(now, e)
			r.awaits = append(r.awaits, e)
		}
	}
	r.held = true
	b.held = append(b.held, r)
	b.out.StartTimer(max(1, Micros(wait)), r.token)
	return true
}

// heard sends the requests that waited for e's answer alone.
func (b *Balancer) heard(now Micros, e *endpoint) {
	for i := len(b.held) - 1; i >= 0; i = min(i, len(b.held)) - 1 {
		r := b.held[i]
		waited := len(r.awaits)
		r.awaits = slices.DeleteFunc(r.awaits, func(a *endpoint) bool { return a == e })
		// Nothing beats an endpoint that has room at once.
		idle := e.answerAt == now && e.others+float64(e.inflight) <= cores-1
		if len(r.awaits) < waited && (idle || len(r.awaits) == 0) {
			b.decide(now, r)
		}
	}
}

// freshFor is how long a pooled answer may be used for a request of this aim.
func (b *Balancer) freshFor(now, aim Micros) Micros {
	if b.sparse {
		return Micros(askedAge * float64(aim))
	}
	return max(poolAge, Micros(poolRounds*float64(len(b.list))/b.probeRate(now)*float64(second)))
}

func (b *Balancer) probe(now Micros, e *endpoint) {
	if lost := now-e.probedAt > 5*second; b.s.Limits.Probes && e.usable() && (lost || !e.probing) {
		e.probing, e.probedAt = true, now
		b.spare -= probeShare * b.classes[0].work.v * share(e.cold(now, b))
		b.out.Probe(e.ID)
	}
}

// probeRound probes a few random ready endpoints and arms the next round.
func (b *Balancer) probeRound(now Micros) {
	if b.rounds = b.s.Limits.Probes; !b.rounds {
		b.sparse = false
		return
	}
	rate := b.probeRate(now)
	// Where a round of the fleet takes too long for a fresh pool, and own in-flight counts tell little, probes
	// go with requests instead.
	size, own := float64(len(b.list)), b.demand.rate(now)*b.classes[0].work.v/float64(second)
	b.sparse = b.asks >= 1 && size*float64(second) > rate*float64(poolAge) && own < ownTells*size
	if b.sparse {
		b.out.StartTimer(poolAge/2+b.rng.below(poolAge), tokenProbe)
		return
	}
	n := max(1, min(probeBatch, int(rate*float64(probeGap)/float64(second))))
	gap := float64(n) / rate * float64(second)
	for try := 0; n > 0 && try < 4*probeBatch && len(b.list) > 0; try++ {
		e := b.list[int(b.rng.float()*float64(len(b.list)))]
		if e.usable() && !e.probing {
			b.probe(now, e)
			n--
		}
	}
	b.out.StartTimer(1+Micros(gap*(0.5+b.rng.float())), tokenProbe)
}

// HandleProbe handles a probe's answer.
func (b *Balancer) HandleProbe(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.byID[id]
	if e == nil {
		return
	}
	e.probing = false
	b.stats.Probes[min(status, NotSent)]++
	if status == OK || status == EndpointError || status == Rejected {
		e.heardAt = now
	}
	if status != OK {
		e.answerAt = 0 // one that turns probes away or leaves them waiting is no place for a request
		// Its silence tells of a line only where probes wait in one; elsewhere the probe was lost.
		if status == Timeout && b.waits.v > waitsTell {
			b.usual.add(cores+b.line(float64(latency)), usualWeight)
		}
		b.heard(now, e)
		return
	}
	b.stats.ProbeLatency += latency
	held, queue := figure(b.s.ReportFields, load, FieldInFlight), figure(b.s.ReportFields, load, FieldQueue)
	hasHeld, util := held >= 0, figure(b.s.ReportFields, load, FieldUtilization)
	// Each figure proves that at least so much is held there.
	if !hasHeld && queue >= 0 {
		held = queue + cores*share(queue >= 1)
	} else if !hasHeld && util >= 0 {
		held = min(util, 1) * cores
	}
	// What one takes beyond the way there and back, and beyond what that sways, it waited in line.
	way := &b.ways[e.Zone]
	if held < 1 || way.n == 0 {
		way.add(float64(latency))
	}
	line := b.line(way.beyond(float64(latency)))
	b.waits.add(share(line >= minQueued), shareWeight)
	b.stats.ReportedLoad += max(0, held)
	if held >= 0 && line >= minQueued {
		b.stats.QueuedProbes++
		held = max(held, cores+line)
	}
	if held >= 0 {
		if !e.pooled {
			e.pooled = true
			b.pool = append(b.pool, e)
		}
		e.hasLoad, e.answerAt = true, now
		e.others, e.ownAt = max(0, held-float64(e.inflight)), e.inflight
		weight := usualWeight
		if b.thin(now) {
			weight = usualThin
		}
		if e.cold(now, b) {
			b.usualCold.add(e.others, weight)
		} else {
			b.usual.add(e.others, weight)
		}
		e.mean.add(e.others, meanWeight)
		if b.waits.v > waitsTell && line < minQueued && b.usual.v < cores {
			// Probes queue here, and this one did not, whatever an old report says.
			e.others = min(e.others, cores-1)
		}
	}
	b.heard(now, e)
	// A report of fewer than we have there is late, unless some are on their way; averages serve if many are.
	if own := e.inflight; hasHeld && own > 0 && float64(now-e.sentAt) > settleTrips*b.ways[e.Zone].v {
		b.lag.add(share(held+0.5 < float64(own)), shareWeight)
		if b.lag.v > maxLateShare && !b.reportsLate || b.lag.v < maxLateShare/3 && b.reportsLate {
			b.reportsLate = !b.reportsLate
			b.log(now, "lag", "load reports delayed: %v, %.0f%% count fewer requests than our own in flight",
				b.reportsLate, 100*b.lag.v)
		}
	}
}

// thin says that a round of the whole list by own probes takes longer than reports last. Most sends then
// go by the usual load, which a few odd reports must not move.
func (b *Balancer) thin(now Micros) bool {
	return b.s.Limits.Probes && len(b.s.ReportFields) > 0 &&
		float64(len(b.list))/b.probeRate(now) > poolRounds*float64(poolAge)/float64(second)
}

// line is how many requests are ahead of a probe that waits so long.
func (b *Balancer) line(waited float64) float64 { return waited / b.classes[0].work.v * cores }
