package sidecar

import (
	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/operatorstate"
	"oakproxy/internal/upstream"
)

// endpoint is what the loop holds of an endpoint until it is gone and nothing is
// out there any more. Endpoints come and go all day under ever new names.
type endpoint struct {
	name      string
	entry     discovery.Entry    // discovery's latest word of it
	startedAt balancer.Micros    // of its process, by the loop's clock; 0 for long ago
	target    *upstream.Endpoint // nil unless ready and not left out
	inFlight  int                // attempts and probes without outcome
	removed   bool
}

// updateStart returns when an endpoint's process started, by the loop's clock. It stays as it was first made out for each.
func (m *endpoint) updateStart(h discovery.Entry, skew balancer.Micros) balancer.Micros {
	switch {
	case h.BornMS <= 0:
		m.startedAt = 0
	case m.startedAt == 0 || m.entry.BornMS != h.BornMS:
		m.startedAt = max(1, h.BornMS*1000-skew)
	}
	return m.startedAt
}

// updateEndpoints passes on a list and brings the targets in line with it.
func (l *loop) updateEndpoints(now balancer.Micros, kind balancer.ListUpdate, list discovery.List) {
	older := list.Seq < l.position.Newest
	l.position = discovery.Position{After: &list.Seq, Newest: list.Seq, VersionResetAt: l.clock.timeAt(now).Add(l.discovery.VersionResetTimeout)}
	if list.Unusable > 0 {
		l.log.Warn("unusable entries in the endpoint list", "unusable", list.Unusable, "total", len(list.Hosts), "first_error", list.FirstError)
	}
	skew := list.ClockSkew(now)
	entries := make([]balancer.Endpoint, 0, len(list.Hosts))
	named := map[uint32]bool{}
	for _, h := range list.Hosts {
		id := l.endpointIDs[h.Name]
		if id == 0 {
			if discovery.States[h.Health] == balancer.Removed {
				continue
			}
			l.lastEndpointID++
			id = l.lastEndpointID
			l.endpointIDs[h.Name], l.endpoints[id] = id, &endpoint{name: h.Name}
		}
		if e := l.endpoints[id]; older && e.entry.Health == "Terminating" && e.entry.BornMS == h.BornMS {
			h.Health = e.entry.Health // what was told is not undone by what may be older
		}
		named[id] = true
		e := balancer.Endpoint{ID: id, Name: hashName(h.Name), Zone: config.NameIndex(l.cfg.Zones, h.Site), MachineKind: config.NameIndex(l.cfg.MachineKinds, h.Class),
			Cell: h.Block, State: discovery.States[h.Health], Weight: h.Share}
		e.StartTime = l.endpoints[id].updateStart(h, skew)
		entries = append(entries, e)
		l.retarget(id, h)
	}
	ready := false
	for id, e := range l.endpoints {
		if kind != balancer.ListDelta && !named[id] {
			l.retarget(id, discovery.Entry{Health: "Gone"})
		}
		ready = ready || e.target != nil
	}
	l.endpointsKnown.Store(ready)
	l.balancer.HandleEndpoints(now, kind, entries)
}

// retarget points an endpoint's id at where it is reached now. A target that drains,
// is gone or has restarted is closed, so that a send on its way does not start.
func (l *loop) retarget(id uint32, h discovery.Entry) {
	e, state := l.endpoints[id], discovery.States[h.Health]
	e.entry, e.removed = h, state == balancer.Removed
	if l.overrides[e.name].Cordoned {
		state = balancer.Draining // as good as that
	}
	if t := e.target; t != nil && (state != balancer.Ready || t.Address != h.Dial || t.StartedMS != h.BornMS) {
		l.upstream.Retire(t)
		e.target = nil
	}
	if e.target == nil && state == balancer.Ready {
		e.target = &upstream.Endpoint{Address: h.Dial, StartedMS: h.BornMS}
	}
	l.forgetIfUnused(id)
}

// knowsEndpoint says whether operators may speak of an endpoint of this name.
func (l *loop) knowsEndpoint(name string) bool {
	return l.endpointIDs[name] != 0 || l.overrides[name].Cordoned
}

// applyOverrides makes what operators set hold: what they leave out has no target, so that
// a send on its way does not start.
func (l *loop) applyOverrides(now balancer.Micros, marks []operatorstate.Override) {
	next := make(map[string]operatorstate.Override, len(marks))
	for _, m := range marks {
		next[m.Name] = m
	}
	for name, m := range l.overrides {
		if _, ok := next[name]; !ok && m.Cordoned {
			present := l.operatorClock.Now()
			next[name] = operatorstate.Override{Name: name, SinceMS: present.UnixMS, UpMS: present.UpMS}
		}
	}
	old := l.overrides
	l.overrides = next
	for name, m := range next {
		if was, ok := old[name]; ok && was == m {
			continue
		}
		if id := l.endpointIDs[name]; id != 0 {
			l.retarget(id, l.endpoints[id].entry)
		}
		l.log.Info("operator override", "host", name, "cordoned", m.Cordoned)
		since := now // at the latest
		if age, known := l.operatorClock.Age(m.Since()); known {
			since = now - max(0, age.Microseconds())
		}
		l.balancer.Cordon(now, hashName(name), m.Cordoned, since)
	}
}

func (l *loop) forgetIfUnused(id uint32) {
	if e := l.endpoints[id]; e.removed && e.inFlight == 0 {
		delete(l.endpointIDs, e.name)
		delete(l.endpoints, id)
	}
}

// acquire counts something out to an endpoint and returns where that is reached,
// nil if nothing may go there. The balancer may know an endpoint for a moment
// longer than the loop does.
func (l *loop) acquire(id uint32) *upstream.Endpoint {
	e := l.endpoints[id]
	if e == nil {
		return nil
	}
	e.inFlight++
	return e.target
}

// release is the end of what acquire began.
func (l *loop) release(id uint32) {
	if e := l.endpoints[id]; e != nil {
		e.inFlight--
		l.forgetIfUnused(id)
	}
}
