package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// lostZone is the zone that goes.
const lostZone = 0

// zonePart is what a zone holds.
type zonePart struct {
	endpoints []fleet.Endpoint
	hollow    [][]fleet.Sidecar // by host
	real      []*realSidecar
}

// playZone takes one zone away and brings it back cold. Its applications send nothing,
// as they are gone as well.
func playZone(ctx context.Context, r *runner) error {
	part := r.zonePart(lostZone)
	r.spare(part)
	if err := r.measureLoaded(ctx); err != nil {
		return err
	}
	scenario := r.options.Scenario
	err := r.measure(ctx, "gone", scenario.Gone.Std(), true, func(ctx context.Context, phase *result.Phase) error {
		return r.loseZone(ctx, phase, part)
	})
	if err != nil {
		return err
	}
	return r.measure(ctx, "back", scenario.Back.Std(), true, func(ctx context.Context, phase *result.Phase) error {
		return r.returnZone(ctx, phase, part)
	})
}

// zonePart finds what a zone holds.
func (r *runner) zonePart(zone int) *zonePart {
	part := &zonePart{hollow: make([][]fleet.Sidecar, len(r.hollow))}
	for _, e := range r.layout.Endpoints {
		if e.Zone == zone {
			part.endpoints = append(part.endpoints, e)
		}
	}
	for host, some := range r.hollow {
		for _, s := range some {
			if s.Zone == zone {
				part.hollow[host] = append(part.hollow[host], s)
			}
		}
	}
	for _, s := range r.real {
		if s.Zone == zone {
			part.real = append(part.real, s)
		}
	}
	return part
}

// spare keeps load from what will be gone.
func (r *runner) spare(part *zonePart) {
	for _, e := range part.endpoints {
		r.spared[e.Name] = true
	}
	for _, s := range part.real {
		r.spared[s.Name] = true
	}
}

// loseZone has a zone fall silent, and discovery tell that it is gone.
func (r *runner) loseZone(ctx context.Context, phase *result.Phase, part *zonePart) error {
	if err := r.act(ctx, worker.Disconnect, part.endpoints); err != nil {
		return err
	}
	told := time.Now().Add(r.options.Scenario.Notice.Std())
	if err := r.stopSidecars(ctx, part); err != nil {
		return err
	}
	if err := pause(ctx, time.Until(told)); err != nil {
		return err
	}
	version, err := r.announce(ctx, part.endpoints, registry.Gone)
	if err != nil {
		return err
	}
	var heard heardTimes
	if err := r.awaitHeard(ctx, version, &heard); err != nil {
		return err
	}
	phase.Events = 1
	phase.Spreads = append(phase.Spreads, heard.spread("from discovery's word of the loss to its being heard"))
	return nil
}

// stopSidecars ends the sidecars of a zone: the real ones at once, the hollow ones by
// their drain, since they share processes with others.
func (r *runner) stopSidecars(ctx context.Context, part *zonePart) error {
	for _, s := range part.real {
		if err := r.killReal(s); err != nil {
			return err
		}
	}
	for host, some := range part.hollow {
		if len(some) == 0 {
			continue
		}
		var names worker.Names
		for _, s := range some {
			names.Names = append(names.Names, s.Name)
		}
		if err := r.hosts[host].Call(ctx, worker.StopSidecars, names, nil); err != nil {
			return err
		}
	}
	return nil
}

// returnZone starts a zone's endpoints cold, and all of its sidecars at the same time.
func (r *runner) returnZone(ctx context.Context, phase *result.Phase, part *zonePart) error {
	if err := r.act(ctx, worker.Restart, part.endpoints); err != nil {
		return err
	}
	version, err := r.announce(ctx, part.endpoints, registry.Ready)
	if err != nil {
		return err
	}
	real, hollow, err := r.startBoth(ctx, part.real, part.hollow, 0)
	if err != nil {
		return err
	}
	var heard heardTimes
	if err := r.awaitHeard(ctx, version, &heard); err != nil {
		return err
	}
	phase.Events = 1
	phase.Spreads = append(phase.Spreads, heard.spread("from discovery's word of the return to its being heard"), hollow, real)
	return nil
}
