package balancer

import "slices"

// Membership: the endpoints that discovery names or operators leave out, and when discovery is called.

// HandleEndpoints handles discovery's news.
func (b *Balancer) HandleEndpoints(now Micros, kind ListUpdate, entries []Endpoint) {
	if kind == ListFailed {
		b.log(now, "discovery", "discovery call failed or watch broken; keeping the endpoint list and retrying")
		b.retryAsk(now)
		b.subscribed = false
		return
	}
	if kind != ListCached && b.s.SubscribeToDiscovery {
		b.subscribed, b.askWait = true, 0
	}
	whole := kind != ListDelta
	for _, e := range b.list {
		e.seen = false
	}
	// A thousand balancers that each probed all that is new would fill it with probes alone.
	few := b.s.Balancers <= max(len(b.list), len(entries))
	for i := range entries {
		b.entry(now, &entries[i], few)
	}
	b.list = slices.DeleteFunc(b.list, func(e *endpoint) bool {
		if whole && !e.seen {
			e.State = Removed
		}
		return b.forgotten(e)
	})
	b.listed = b.listed || kind != ListCached || !b.s.SubscribeToDiscovery
	if kind != ListCached {
		b.listedAt = now
	}
}

// forgotten drops an endpoint that is gone with nothing out there, and says so.
func (b *Balancer) forgotten(e *endpoint) bool {
	forget := e.State == Removed && e.inflight+e.writing == 0
	if forget && b.byID[e.ID] == e {
		delete(b.byID, e.ID)
		b.remember(e)
	}
	return forget
}

// maxDeparted bounds how many endpoints that are gone are remembered.
const maxDeparted = 4096

// remember keeps the start of an endpoint that is gone: it may come back as the process that it was.
func (b *Balancer) remember(e *endpoint) {
	if len(b.departed) >= maxDeparted {
		clear(b.departed)
	}
	b.departed[e.Name] = e.StartTime
}

// startOf is when an endpoint that is new here, or was restarted, started. What a list says of that is by a
// clock that may have been stepped: one that was not in the list before can't have been warm then, unless it
// is one that had left.
func (b *Balancer) startOf(now Micros, in *Endpoint) Micros {
	since, known := b.departed[in.Name]
	returned := known && since == in.StartTime
	if b.listedAt > 0 && !returned && in.StartTime < b.listedAt-b.s.Contract.SlowStartDuration {
		return now
	}
	return in.StartTime
}

func (b *Balancer) entry(now Micros, in *Endpoint, probe bool) {
	e := b.byID[in.ID]
	fresh := e == nil
	if fresh {
		e = &endpoint{}
		b.byID[in.ID] = e
		b.list = append(b.list, e)
	}
	restarted := !fresh && in.StartTime != 0 && in.StartTime != e.StartTime
	if restarted {
		e.reset()
	}
	e.out = b.cordoned[in.Name]
	started := in.StartTime
	if started == 0 && fresh && b.listed {
		started = now // it appeared while we watched
	} else if started != 0 && (fresh || restarted) {
		started = b.startOf(now, in)
	}
	if e.Endpoint, e.seen = *in, true; fresh {
		b.recall(e)
	}
	b.largest = max(b.largest, float64(e.Weight))
	if started != 0 && now-started < b.s.Contract.SlowStartDuration && (fresh || restarted) {
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
	for _, e := range b.list {
		if e.Name != name || e.out == out {
			continue
		}
		if e.out = out; !out {
			e.reset()
			if now-since < b.s.Contract.SlowStartDuration {
				b.beginSlowStart(now, e, since)
				// Staff wait to see it serve. One request each is soon more than it can bear.
				c, work := &b.s.Contract, b.classes[0].work.v
				n := c.OverloadFactor * c.SlowStartInitialFraction * float64(c.OverloadWindow) / work
				if e.pending = b.rng.float()*float64(b.s.Balancers) < min(maxPending, 1+pendingShare*n); e.pending {
					b.spare = max(b.spare, 2*coldCharge*work) // and its probes
				}
			}
			b.probe(now, e)
		}
	}
}

const minAskDelay = second / 20 // the shortest pause after a call that failed, about

func (b *Balancer) askIn(now, delay Micros) {
	b.askAt = now + delay
	b.out.StartTimer(delay, tokenDiscovery)
}

// firstAsk spreads the first calls: all balancers may start at once.
func (b *Balancer) firstAsk(now Micros) {
	if b.s.SubscribeToDiscovery {
		b.askIn(now, 1+b.rng.below(min(b.s.Contract.PollInterval/10, NotificationDeadline/6)))
	}
}

func (b *Balancer) ask(now Micros) {
	if b.s.SubscribeToDiscovery && !b.subscribed && now >= b.askAt {
		b.askedAt = now
		b.out.Watch(true)
		// The answer may be lost, and without one we would never hear again.
		b.askIn(now, 1+NotificationDeadline/2+b.rng.below(NotificationDeadline/10))
	}
}

// retryAsk asks discovery again with a growing, random delay, but in time for NotificationDeadline.
func (b *Balancer) retryAsk(now Micros) {
	if b.s.SubscribeToDiscovery {
		first := b.s.Contract.PollInterval / 20
		if b.subscribed {
			first = min(first, max(b.s.Contract.DrainGrace/4, minAskDelay))
		}
		if b.askWait = min(2*b.askWait, b.s.Contract.PollInterval/4); b.askWait == 0 {
			b.askWait = first
		}
		used := min(now-b.askedAt, DiscoveryCallTimeout)
		if b.subscribed {
			used = WatchDuration + WatchGrace
		}
		wait := min(b.askWait, (NotificationDeadline-DiscoveryCallTimeout-used)*2/3)
		b.askIn(now, 1+wait/2+b.rng.below(wait))
	}
}
