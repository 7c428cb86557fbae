package balancer

import "slices"

// Membership: the endpoints that discovery names or operators leave out, and when discovery is called.

// HandleEndpoints handles discovery's news.
func (b *Balancer) HandleEndpoints(now Micros, kind ListUpdate, entries []Endpoint) {
	if kind == ListFailed {
		b.log(now, "discovery", "discovery call failed or watch broken; keeping the endpoint list and retrying")
		b.retryPoll(now)
		b.subscribed = false
		return
	}
	if kind != ListCached && b.settings.SubscribeToDiscovery {
		b.subscribed, b.pollBackoff = true, 0
	}
	whole := kind != ListDelta
	for _, e := range b.endpoints {
		e.listed = false
	}
	// A thousand balancers that each probed all that is new would fill it with probes alone.
	few := b.settings.Balancers <= max(len(b.endpoints), len(entries))
	for i := range entries {
		b.updateEndpoint(now, &entries[i], few)
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		if whole && !e.listed {
			e.State = Removed
		}
		return b.forgetIfRemoved(e)
	})
	b.listReceived = b.listReceived || kind != ListCached || !b.settings.SubscribeToDiscovery
	if kind != ListCached {
		b.listReceivedAt = now
	}
}

// forgetIfRemoved drops an endpoint that is gone with nothing out there, and says so.
func (b *Balancer) forgetIfRemoved(e *endpoint) bool {
	forget := e.State == Removed && e.inFlight+e.uploading == 0
	if forget && b.endpointByID[e.ID] == e {
		delete(b.endpointByID, e.ID)
		b.rememberStartTime(e)
	}
	return forget
}

// maxRemovedEndpoints bounds how many endpoints that are gone are remembered.
const maxRemovedEndpoints = 4096

// rememberStartTime keeps the start of an endpoint that is gone: it may come back as the process that it was.
func (b *Balancer) rememberStartTime(e *endpoint) {
	if len(b.removedStartTimes) >= maxRemovedEndpoints {
		clear(b.removedStartTimes)
	}
	b.removedStartTimes[e.Name] = e.StartTime
}

// effectiveStartTime is when an endpoint that is new here, or was restarted, started. What a list says of
// that is by a clock that may have been stepped: one that was not in the list before can't have been warm
// then, unless it is one that had left.
func (b *Balancer) effectiveStartTime(now Micros, in *Endpoint) Micros {
	since, known := b.removedStartTimes[in.Name]
	returned := known && since == in.StartTime
	warmAt := b.listReceivedAt - b.settings.Contract.SlowStartDuration
	if b.listReceivedAt > 0 && !returned && in.StartTime < warmAt {
		return now
	}
	return in.StartTime
}

func (b *Balancer) updateEndpoint(now Micros, in *Endpoint, probe bool) {
	e := b.endpointByID[in.ID]
	fresh := e == nil
	if fresh {
		e = &endpoint{}
		b.endpointByID[in.ID] = e
		b.endpoints = append(b.endpoints, e)
	}
	restarted := !fresh && in.StartTime != 0 && in.StartTime != e.StartTime
	if restarted {
		e.reset()
	}
	e.cordoned = b.cordoned[in.Name]
	started := in.StartTime
	if started == 0 && fresh && b.listReceived {
		started = now // it appeared while we watched
	} else if started != 0 && (fresh || restarted) {
		started = b.effectiveStartTime(now, in)
	}
	if e.Endpoint, e.listed = *in, true; fresh {
		b.restoreEndpoint(e)
	}
	b.maxWeight = max(b.maxWeight, float64(e.Weight))
	if started != 0 && now-started < b.settings.Contract.SlowStartDuration && (fresh || restarted) {
		b.beginSlowStart(now, e, started)
	}
	if probe && (fresh || restarted) {
		b.probe(now, e)
	}
}

// Cordon leaves out every endpoint of this name, whatever discovery says of it, or ends that. What comes back
// was likely restarted: it begins as a new process, cold since then.
func (b *Balancer) Cordon(now Micros, name uint64, out bool, since Micros) {
	b.cordoned[name] = out
	for _, e := range b.endpoints {
		if e.Name != name || e.cordoned == out {
			continue
		}
		if e.cordoned = out; !out {
			e.reset()
			if now-since < b.settings.Contract.SlowStartDuration {
				b.beginSlowStart(now, e, since)
				// Staff wait to see it serve. One request each is soon more than it can bear.
				c, work := &b.settings.Contract, b.classes[0].work.value
				n := c.OverloadFactor * c.SlowStartInitialFraction * float64(c.OverloadWindow) / work
				trials := min(maxTrialBalancers, 1+trialShare*n)
				e.awaitsTrial = b.random.uniform()*float64(b.settings.Balancers) < trials
				if e.awaitsTrial {
					b.warmingTokens = max(b.warmingTokens, 2*warmingCharge*work) // and its probes
				}
			}
			b.probe(now, e)
		}
	}
}
