package balancer

import "math"

// Admission: whether a request is worth an attempt now.

const (
	minTrialInterval = 10   // requests that seem too late: one of so many is sent all the same,
	maxTrialInterval = 640  // and one of so many after passes that earned nothing
	maxQueueingShare = 0.6  // of what the aim leaves may be waited by the class of most value: latencies vary
	minQueueingShare = 0.2  // and by any
	tenantSlack      = 1.25 // refusals below a fifth say nothing of shares
	worstWindowGain  = 4.0  // worth counts more in the worst windows, and those are when requests are refused
)

// HandleRequest handles a client's request.
func (b *Balancer) HandleRequest(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return
	}
	r := b.newRequest(now, in)
	if r == nil {
		b.actions.Reject(in.ID, 0) // nothing is known of its class, but an answer is owed
		return
	}
	b.stats.Requests++
	b.requestRate.add(now, 1)
	b.retryBudget = min(budgetBurst, b.retryBudget+retryShare)
	b.hedgeBudget = min(budgetBurst, b.hedgeBudget+hedgeShare)
	c := r.class
	c.requestRate.add(now, 1)
	if r.tenant != nil {
		r.tenant.add(now, 1)
	}
	r.work = c.work.value
	if r.logWorkHint = 0; in.HasWorkHint && in.WorkHint > 0 {
		c.work.add(float64(in.WorkHint), workWeight)
		r.logWorkHint = math.Log(float64(in.WorkHint) / c.work.value)
		r.work = c.work.value * math.Exp(b.workHintTrust*r.logWorkHint)
	}
	if now >= in.Deadline || b.openRequests > b.settings.Limits.MaxOpenRequests {
		b.reject(now, r)
		return
	}
	if !b.waitForProbes(now, r) {
		b.dispatch(now, r)
	}
}

// dispatch sends a request, or refuses it.
func (b *Balancer) dispatch(now Micros, r *request) {
	b.stopAwaiting(r)
	first := len(r.attempts) == 0
	sent := b.startAttempt(now, r, first)
	if first {
		b.rejectedShare.add(indicator(!sent), shareWeight)
	}
	if !sent {
		b.reject(now, r)
	}
}

// startAttempt picks and sends; a pick that the breaker refuses tries one more.
func (b *Balancer) startAttempt(now Micros, r *request, first bool) bool {
	if b.throttles(now) {
		b.stats.Throttled++
		return false
	}
	r.priority = b.priority(now, r)
	e := b.pick(now, r, nil)
	if e == nil {
		b.stats.NoEndpoint++
		return false
	}
	x, most := b.predictLatency(now, e, r.work), b.latencyLimit(now, r, e)
	if x > most && b.queueingFactor(now, e) > 1 {
		// It would come too late to be worth its work: not where nobody waits, since few samples of a
		// long-tailed latency make a healthy endpoint look hopeless, and a sidecar that is slow itself makes
		// all of them look so: refused clients only come back sooner. As with the breaker, one
		// passes now and then, so that a wrong guess does not feed itself: of so many, since a pass a second
		// at each of a thousand balancers is more than a jammed fleet can bear.
		c := r.class
		c.tooLateSinceTrial++
		if !first || c.tooLateSinceTrial < b.trialInterval || now-c.lastTrialAt < forcedTrialInterval {
			b.stats.TooLate++
			b.log(now, "refuse", "requests rejected, %.0f%% recently: the best endpoint, %d, would take %.0f ms, "+
				"limit %.0f ms; work %.0f ms, service time ratio %.2f, load %.1f, ours %d, value %.2f",
				100*b.rejectedShare.value, e.ID, x/1000, most/1000, r.work/1000,
				e.currentServiceTimeRatio(now, b), b.estimatedLoad(now, e),
				e.inFlight, r.priority)
			return false
		}
		c.lastTrialAt, c.tooLateSinceTrial = now, 0
		r.trial = true
	}
	if !b.breakerAllows(now, r, e) {
		if e = b.pick(now, r, e); e == nil || !b.breakerAllows(now, r, e) {
			b.stats.BreakerRejected++
			return false
		}
	}
	return b.send(now, r, e)
}

// latencyLimit is the longest predicted latency at which r is still sent to e: its time there without a
// queue, and a part of what the aim leaves for waiting. Classes of little value for their work give way
// first.
func (b *Balancer) latencyLimit(now Micros, r *request, e *endpoint) float64 {
	alone := b.zoneLatencies[e.Zone].median + r.work*b.slowdown(now)*e.currentServiceTimeRatio(now, b)
	share := max(minQueueingShare, maxQueueingShare*r.priority)
	if n := len(r.attempts); n > 0 && r.attempts[n-1].presumedLost {
		// The request was swallowed: it has waited longer than its class should already.
		share = 1
	}
	spare := float64(r.class.LatencyObjective) - float64(now-r.arrivedAt) - alone
	return min(alone+share*spare, float64(r.Deadline-now))
}

// priority ranks r's class, 0 to 1, by the goal's gain from a unit of its work: worth, and more if served
// worst.
func (b *Balancer) priority(now Micros, r *request) float64 {
	var work, worth float64
	worst := 1.0
	for _, c := range b.classes {
		rate := c.requestRate.rate(now)
		work += rate * c.work.value
		worth += rate * b.requestWeight(c)
		worst = min(worst, c.servedInTime.or(1))
	}
	top, own := 0.0, -1.0 // of a class that is gone
	for _, c := range b.classes {
		part := c.requestRate.rate(now) * c.work.value / work
		goal := b.settings.Goal.Overall + worstWindowGain*b.settings.Goal.WorstWindow
		v := goal * b.requestWeight(c) / c.work.value * work / worth
		v += b.settings.Goal.WorstClass / max(0.05, part) * math.Exp((worst-c.servedInTime.or(1))/0.1)
		top = max(top, v)
		if c.classStats == r.class.classStats {
			own = v
		}
	}
	if !(top > 0) || own < 0 {
		return 1 // no worth was set
	}
	return own / top * b.tenantPriority(now, r)
}

// tenantPriority ranks r's tenant, 0 to 1, by what a request of it is worth on average against one of the
// tenant whose are worth most, given how much of a tenant's traffic lies beyond its share. Only this
// balancer's mix and refusals are known: the whole demand is taken to exceed the sum of the allowances as it
// exceeds what is let in here. What lowers all alike ranks none: it must not refuse more, and so lower all
// again.
func (b *Balancer) tenantPriority(now Micros, r *request) float64 {
	if r.tenant == nil {
		return 1
	}
	var asked, allowed, top float64
	own := b.settings.OverQuotaWeight // a tenant that is gone has no share any more
	for _, t := range b.tenants {
		asked += t.rate(now)
		allowed += t.QuotaRate
	}
	if allowed <= 0 {
		return 1
	}
	for _, t := range b.tenants {
		inside := 1.0
		if mine := t.rate(now); mine > 0 {
			inside = min(1, t.QuotaRate/allowed*asked/mine*(1-b.rejectedShare.value)*tenantSlack)
			top = max(top, inside+(1-inside)*b.settings.OverQuotaWeight)
		}
		if t.decayingRate == r.tenant.decayingRate {
			own = inside + (1-inside)*b.settings.OverQuotaWeight
		}
	}
	if !(top > 0) {
		return 1
	}
	return own / top
}

func (b *Balancer) requestWeight(c *class) float64 {
	return c.PriorityWeight * (1 + (c.work.value-1)*indicator(b.settings.WeightByWork))
}
