package sidecar

import (
	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/operatorstate"
	"oakproxy/internal/system"
	"oakproxy/internal/upstream"
)

// endpointTable maps host names and the balancer's ids to where endpoints are reached. An id is never given twice, so
// that a late outcome is not taken for another endpoint's. The loop's goroutine owns the table.
type endpointTable struct {
	byID      map[uint32]*endpoint
	idByName  map[string]uint32 // by host name
	lastID    uint32
	overrides map[string]operatorstate.Override // what operators set, by host name
	retire    func(*upstream.Endpoint)          // closes a target: an attempt not yet sent there is not sent
}

func newEndpointTable(retire func(*upstream.Endpoint)) endpointTable {
	return endpointTable{byID: map[uint32]*endpoint{}, idByName: map[string]uint32{},
		overrides: map[string]operatorstate.Override{}, retire: retire}
}

// endpoint is an entry of the table. It stays until the endpoint is removed and nothing is in flight there: endpoints
// come and go all day under new names, and the table must not grow with them.
type endpoint struct {
	name      string
	entry     discovery.Entry    // the latest of discovery
	startedAt balancer.Micros    // start of its process, by the loop's clock; 0 for long ago
	target    *upstream.Endpoint // nil unless ready and not cordoned
	inFlight  int                // attempts and probes without outcome
	removed   bool
}

// updateStart returns when the endpoint's process started, by the loop's clock. It is computed once for each process:
// the clock skew is estimated anew with each list, and a start must not move with it.
func (e *endpoint) updateStart(entry discovery.Entry, skew balancer.Micros) balancer.Micros {
	switch {
	case entry.StartUnixMS <= 0:
		e.startedAt = 0
	case e.startedAt == 0 || e.entry.StartUnixMS != entry.StartUnixMS:
		e.startedAt = max(1, entry.StartUnixMS*1000-skew)
	}
	return e.startedAt
}

// endpointUpdate is a list of discovery and how to read it.
type endpointUpdate struct {
	list       discovery.List
	kind       balancer.ListUpdate
	mayBeOlder bool // the list may be older than what is known: it undoes no drain
	skew       balancer.Micros
	cfg        *config.Config // names zones and kinds of machines
}

// update brings the table in line with a list. It returns what to tell the balancer, and whether any endpoint of the
// table can be reached.
func (t *endpointTable) update(u *endpointUpdate) (entries []balancer.Endpoint, ready bool) {
	entries = make([]balancer.Endpoint, 0, len(u.list.Entries))
	listed := map[uint32]bool{}
	for _, entry := range u.list.Entries {
		id := t.idByName[entry.Name]
		if id == 0 {
			if discovery.HealthStates[entry.Health] == balancer.Removed {
				continue
			}
			id = t.add(entry.Name)
		}
		e := t.byID[id]
		if u.mayBeOlder && e.entry.Health == "Terminating" && e.entry.StartUnixMS == entry.StartUnixMS {
			entry.Health = e.entry.Health
		}
		listed[id] = true
		entries = append(entries, balancer.Endpoint{
			ID: id, Name: hashName(entry.Name),
			Zone:        config.NameIndex(u.cfg.Zones, entry.Zone),
			MachineKind: config.NameIndex(u.cfg.MachineKinds, entry.MachineKind),
			Cell:        entry.Cell, State: discovery.HealthStates[entry.Health], Weight: entry.Weight,
			StartTime: e.updateStart(entry, u.skew),
		})
		t.retarget(id, entry)
	}
	for id, e := range t.byID {
		if u.kind != balancer.ListDelta && !listed[id] {
			t.retarget(id, discovery.Entry{Health: "Gone"})
		}
		ready = ready || e.target != nil
	}
	return entries, ready
}

func (t *endpointTable) add(name string) (id uint32) {
	t.lastID++
	t.idByName[name], t.byID[t.lastID] = t.lastID, &endpoint{name: name}
	return t.lastID
}

// retarget points an endpoint's id at where it is reached now. The target of an endpoint that drains, is removed or
// has restarted is retired, so that an attempt on its way there is not sent.
func (t *endpointTable) retarget(id uint32, entry discovery.Entry) {
	e, state := t.byID[id], discovery.HealthStates[entry.Health]
	e.entry, e.removed = entry, state == balancer.Removed
	if t.overrides[e.name].Cordoned {
		state = balancer.Draining // nothing new goes to either
	}
	if old := e.target; old != nil &&
		(state != balancer.Ready || old.Address != entry.Address || old.StartedUnixMS != entry.StartUnixMS) {
		t.retire(old)
		e.target = nil
	}
	if e.target == nil && state == balancer.Ready {
		e.target = &upstream.Endpoint{Address: entry.Address, StartedUnixMS: entry.StartUnixMS}
	}
	t.forgetIfUnused(id)
}

// knows reports whether operators may name this host: discovery lists it, or it is cordoned.
func (t *endpointTable) knows(name string) bool {
	return t.idByName[name] != 0 || t.overrides[name].Cordoned
}

// setOverrides replaces what operators have set, and returns the overrides that are new or have changed. A cordon
// that is missing was lifted: it becomes an override that lifts it from the present time on.
func (t *endpointTable) setOverrides(overrides []operatorstate.Override, now func() system.Timestamp) (
	changed []operatorstate.Override) {
	next := make(map[string]operatorstate.Override, len(overrides))
	for _, o := range overrides {
		next[o.Name] = o
	}
	for name, o := range t.overrides {
		if _, ok := next[name]; !ok && o.Cordoned {
			at := now()
			next[name] = operatorstate.Override{Name: name, SetUnixMS: at.UnixMS, UptimeMS: at.UptimeMS}
		}
	}
	for name, o := range next {
		if old, ok := t.overrides[name]; !ok || old != o {
			changed = append(changed, o)
		}
	}
	t.overrides = next
	return changed
}

// retargetByName applies a changed override to the host's target, if discovery lists the host.
func (t *endpointTable) retargetByName(name string) {
	if id := t.idByName[name]; id != 0 {
		t.retarget(id, t.byID[id].entry)
	}
}

// acquire counts an attempt or probe as in flight and returns where the endpoint is reached, nil if nothing may be
// sent there. The balancer may know an endpoint for a moment longer than the table does.
func (t *endpointTable) acquire(id uint32) *upstream.Endpoint {
	e := t.byID[id]
	if e == nil {
		return nil
	}
	e.inFlight++
	return e.target
}

// release ends what acquire began.
func (t *endpointTable) release(id uint32) {
	if e := t.byID[id]; e != nil {
		e.inFlight--
		t.forgetIfUnused(id)
	}
}

func (t *endpointTable) forgetIfUnused(id uint32) {
	if e := t.byID[id]; e.removed && e.inFlight == 0 {
		delete(t.idByName, e.name)
		delete(t.byID, id)
	}
}
