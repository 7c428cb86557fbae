package sidecar

import (
	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/operatorstate"
	"oakproxy/internal/system"
	"oakproxy/internal/upstream"
)

// endpointTable maps host names and the balancer's endpoint ids to the addresses of endpoints. An id is never reused,
// so that a late outcome is not attributed to another endpoint. The loop's goroutine owns the table.
type endpointTable struct {
	byID      map[uint32]*endpoint
	idByName  map[string]uint32                 // the balancer's ids, by host name
	lastID    uint32                            // id given last; ids start at 1
	overrides map[string]operatorstate.Override // the operators' overrides, by host name
	retire    func(*upstream.Endpoint)          // function that closes a target, so that nothing is sent to it any more
}

func newEndpointTable(retire func(*upstream.Endpoint)) endpointTable {
	return endpointTable{byID: map[uint32]*endpoint{}, idByName: map[string]uint32{},
		overrides: map[string]operatorstate.Override{}, retire: retire}
}

// endpoint is an entry of the table. The entry is deleted once discovery has removed the endpoint and no attempt or
// probe to the endpoint is in flight. Otherwise the table would grow without limit, because endpoints come and go all
// day under new names.
type endpoint struct {
	name      string
	entry     discovery.Entry    // the latest entry from discovery
	startedAt balancer.Micros    // start of the endpoint's process by the loop's clock; 0 if unknown, taken as long ago
	target    *upstream.Endpoint // target of attempts and probes; nil unless the endpoint is ready and not cordoned
	inFlight  int                // number of attempts and probes without an outcome
	removed   bool               // whether discovery has removed the endpoint
}

// updateStart updates startedAt from the latest entry and returns it. The start is computed only once for each process
// of the endpoint: the clock skew is estimated anew for each list, and the start must not change with the estimate.
func (e *endpoint) updateStart(entry discovery.Entry, skew balancer.Micros) balancer.Micros {
	switch {
	case entry.StartUnixMS <= 0:
		e.startedAt = 0
	case e.startedAt == 0 || e.entry.StartUnixMS != entry.StartUnixMS:
		e.startedAt = max(1, entry.StartUnixMS*1000-skew)
	}
	return e.startedAt
}

// endpointUpdate is an endpoint list with the information needed to interpret it. The list comes from discovery or, at
// the start, from the configuration.
type endpointUpdate struct {
	list       discovery.List
	kind       balancer.ListUpdate
	mayBeOlder bool            // whether the list may be older than the table's state; if so, it must not undo a drain
	skew       balancer.Micros // how far discovery's clock is ahead of this process's clock
	cfg        *config.Config  // configuration with the names of zones and machine kinds
}

// update applies a list to the table. It returns the entries to pass to the balancer, and whether any endpoint of the
// table can be sent requests.
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

// retarget sets the target of an endpoint according to its latest entry and the operators' overrides. If the endpoint
// is draining, cordoned, removed or restarted, or has a new address, its old target is retired. Attempts that are about
// to be sent to a retired target are not sent.
func (t *endpointTable) retarget(id uint32, entry discovery.Entry) {
	e, state := t.byID[id], discovery.HealthStates[entry.Health]
	e.entry, e.removed = entry, state == balancer.Removed
	if t.overrides[e.name].Cordoned {
		state = balancer.Draining // a cordoned endpoint gets no new attempts, like a draining one
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

// knows reports whether operators may name this host in a call: it is in the table, or it is cordoned.
func (t *endpointTable) knows(name string) bool {
	return t.idByName[name] != 0 || t.overrides[name].Cordoned
}

// setOverrides replaces the operators' overrides and returns those that are new or have changed. If a host that was
// cordoned has no new override, its cordon was lifted. The host then gets an override that lifts the cordon as of now.
func (t *endpointTable) setOverrides(newOverrides []operatorstate.Override, now func() system.Timestamp) (
	changed []operatorstate.Override) {
	next := make(map[string]operatorstate.Override, len(newOverrides))
	for _, o := range newOverrides {
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

// retargetByName applies a changed override to the host's target, if the host is in the table.
func (t *endpointTable) retargetByName(name string) {
	if id := t.idByName[name]; id != 0 {
		t.retarget(id, t.byID[id].entry)
	}
}

// acquire counts an attempt or probe as in flight and returns the endpoint's target, or nil if nothing may be sent to
// the endpoint. The endpoint may be missing from the table: the balancer may still know an endpoint that was
// just deleted.
func (t *endpointTable) acquire(id uint32) *upstream.Endpoint {
	e := t.byID[id]
	if e == nil {
		return nil
	}
	e.inFlight++
	return e.target
}

// release ends the attempt or probe that acquire counted as in flight.
func (t *endpointTable) release(id uint32) {
	if e := t.byID[id]; e != nil {
		e.inFlight--
		t.forgetIfUnused(id)
	}
}

// forgetIfUnused deletes an endpoint from the table if discovery has removed it and nothing is in flight to it.
func (t *endpointTable) forgetIfUnused(id uint32) {
	if e := t.byID[id]; e.removed && e.inFlight == 0 {
		delete(t.idByName, e.name)
		delete(t.byID, id)
	}
}
