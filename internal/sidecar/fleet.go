package sidecar

import (
	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/operatorstate"
	"oakproxy/internal/upstream"
)

// member is what the loop holds of an endpoint until it is gone and nothing is
// out there any more. Endpoints come and go all day under ever new names.
type member struct {
	name   string
	last   discovery.Entry    // discovery's latest word of it
	start  balancer.Micros    // of its process, by the loop's clock; 0 for long ago
	target *upstream.Endpoint // nil unless ready and not left out
	out    int                // attempts and probes without outcome
	gone   bool
}

// startOf returns when an endpoint's process started, by the loop's clock. It stays as it was first made out for each.
func (m *member) startOf(h discovery.Entry, skew balancer.Micros) balancer.Micros {
	switch {
	case h.BornMS <= 0:
		m.start = 0
	case m.start == 0 || m.last.BornMS != h.BornMS:
		m.start = max(1, h.BornMS*1000-skew)
	}
	return m.start
}

// members passes on a list and brings the targets in line with it.
func (l *loop) members(now balancer.Micros, kind balancer.ListUpdate, list discovery.List) {
	older := list.Seq < l.from.Newest
	l.from = discovery.Position{After: &list.Seq, Newest: list.Seq, VersionResetAt: l.clock.time(now).Add(l.disc.VersionResetTimeout)}
	if list.Unusable > 0 {
		l.log.Warn("unusable entries in the endpoint list", "unusable", list.Unusable, "total", len(list.Hosts), "first_error", list.FirstError)
	}
	skew := list.ClockSkew(now)
	entries := make([]balancer.Endpoint, 0, len(list.Hosts))
	named := map[uint32]bool{}
	for _, h := range list.Hosts {
		id := l.ids[h.Name]
		if id == 0 {
			if discovery.States[h.Health] == balancer.Removed {
				continue
			}
			l.lastEP++
			id = l.lastEP
			l.ids[h.Name], l.fleet[id] = id, &member{name: h.Name}
		}
		if e := l.fleet[id]; older && e.last.Health == "Terminating" && e.last.BornMS == h.BornMS {
			h.Health = e.last.Health // what was told is not undone by what may be older
		}
		named[id] = true
		e := balancer.Endpoint{ID: id, Name: hashed(h.Name), Zone: config.NameIndex(l.cfg.Zones, h.Site), MachineKind: config.NameIndex(l.cfg.MachineKinds, h.Class),
			Cell: h.Block, State: discovery.States[h.Health], Weight: h.Share}
		e.StartTime = l.fleet[id].startOf(h, skew)
		entries = append(entries, e)
		l.aim(id, h)
	}
	ready := false
	for id, e := range l.fleet {
		if kind != balancer.ListDelta && !named[id] {
			l.aim(id, discovery.Entry{Health: "Gone"})
		}
		ready = ready || e.target != nil
	}
	l.listed.Store(ready)
	l.balancer.HandleEndpoints(now, kind, entries)
}

// aim points an endpoint's id at where it is reached now. A target that drains,
// is gone or has restarted is closed, so that a send on its way does not start.
func (l *loop) aim(id uint32, h discovery.Entry) {
	e, state := l.fleet[id], discovery.States[h.Health]
	e.last, e.gone = h, state == balancer.Removed
	if l.marks[e.name].Cordoned {
		state = balancer.Draining // as good as that
	}
	if t := e.target; t != nil && (state != balancer.Ready || t.Address != h.Dial || t.StartedMS != h.BornMS) {
		l.up.Retire(t)
		e.target = nil
	}
	if e.target == nil && state == balancer.Ready {
		e.target = &upstream.Endpoint{Address: h.Dial, StartedMS: h.BornMS}
	}
	l.forgetMember(id)
}

// knows says whether operators may speak of an endpoint of this name.
func (l *loop) knows(name string) bool { return l.ids[name] != 0 || l.marks[name].Cordoned }

// mark makes what operators set hold: what they leave out has no target, so that
// a send on its way does not start.
func (l *loop) mark(now balancer.Micros, marks []operatorstate.Override) {
	next := make(map[string]operatorstate.Override, len(marks))
	for _, m := range marks {
		next[m.Name] = m
	}
	for name, m := range l.marks {
		if _, ok := next[name]; !ok && m.Cordoned {
			present := l.time.Now()
			next[name] = operatorstate.Override{Name: name, SinceMS: present.UnixMS, UpMS: present.UpMS}
		}
	}
	old := l.marks
	l.marks = next
	for name, m := range next {
		if was, ok := old[name]; ok && was == m {
			continue
		}
		if id := l.ids[name]; id != 0 {
			l.aim(id, l.fleet[id].last)
		}
		l.log.Info("operator override", "host", name, "cordoned", m.Cordoned)
		since := now // at the latest
		if age, known := l.time.Age(m.Since()); known {
			since = now - max(0, age.Microseconds())
		}
		l.balancer.Cordon(now, hashed(name), m.Cordoned, since)
	}
}

func (l *loop) forgetMember(id uint32) {
	if e := l.fleet[id]; e.gone && e.out == 0 {
		delete(l.ids, e.name)
		delete(l.fleet, id)
	}
}

// acquire counts something out to an endpoint and returns where that is reached,
// nil if nothing may go there. The balancer may know an endpoint for a moment
// longer than the loop does.
func (l *loop) acquire(id uint32) *upstream.Endpoint {
	e := l.fleet[id]
	if e == nil {
		return nil
	}
	e.out++
	return e.target
}

// release is the end of what acquire began.
func (l *loop) release(id uint32) {
	if e := l.fleet[id]; e != nil {
		e.out--
		l.forgetMember(id)
	}
}
