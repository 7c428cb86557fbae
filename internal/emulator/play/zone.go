package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// failedZone is the zone that goes.
const failedZone = 0

// zoneMembers is what a zone holds.
type zoneMembers struct {
	endpoints []fleet.Endpoint
	simulated [][]fleet.Sidecar // by host
	real      []*realSidecar
}

// playZone takes one zone away and brings it back cold. Its applications send nothing,
// as they are gone as well.
func playZone(ctx context.Context, r *runner) error {
	part := r.membersOf(failedZone)
	r.exclude(part)
	if err := r.measureLoaded(ctx); err != nil {
		return err
	}
	scenario := r.options.Scenario
	err := r.measure(ctx, "gone", scenario.Outage.Std(), true, func(ctx context.Context, phase *result.Phase) error {
		return r.failZone(ctx, phase, part)
	})
	if err != nil {
		return err
	}
	return r.measure(ctx, "back", scenario.Recovery.Std(), true, func(ctx context.Context, phase *result.Phase) error {
		return r.recoverZone(ctx, phase, part)
	})
}

// membersOf finds what a zone holds.
func (r *runner) membersOf(zone int) *zoneMembers {
	part := &zoneMembers{simulated: make([][]fleet.Sidecar, len(r.simulated))}
	for _, e := range r.layout.Endpoints {
		if e.Zone == zone {
			part.endpoints = append(part.endpoints, e)
		}
	}
	for host, some := range r.simulated {
		for _, s := range some {
			if s.Zone == zone {
				part.simulated[host] = append(part.simulated[host], s)
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

// exclude keeps load from what will be gone.
func (r *runner) exclude(part *zoneMembers) {
	for _, e := range part.endpoints {
		r.excluded[e.Name] = true
	}
	for _, s := range part.real {
		r.excluded[s.Name] = true
	}
}

// failZone has a zone fall silent, and discovery tell that it is gone.
func (r *runner) failZone(ctx context.Context, phase *result.Phase, part *zoneMembers) error {
	if err := r.applyAction(ctx, worker.Disconnect, part.endpoints); err != nil {
		return err
	}
	told := time.Now().Add(r.options.Scenario.DetectionDelay.Std())
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
	var heard propagation
	if err := r.awaitList(ctx, version, &heard); err != nil {
		return err
	}
	phase.Events = 1
	phase.Distributions = append(phase.Distributions, heard.distribution("from discovery's word of the loss to its being heard"))
	return nil
}

// stopSidecars ends the sidecars of a zone: the real ones at once, the hollow ones by
// their drain, since they share processes with others.
func (r *runner) stopSidecars(ctx context.Context, part *zoneMembers) error {
	for _, s := range part.real {
		if err := r.killReal(s); err != nil {
			return err
		}
	}
	for host, some := range part.simulated {
		if len(some) == 0 {
			continue
		}
		var names worker.Names
		for _, s := range some {
			names.Names = append(names.Names, s.Name)
		}
		if err := r.sidecarWorkers[host].Call(ctx, worker.StopSidecars, names, nil); err != nil {
			return err
		}
	}
	return nil
}

// recoverZone starts a zone's endpoints cold, and all of its sidecars at the same time.
func (r *runner) recoverZone(ctx context.Context, phase *result.Phase, part *zoneMembers) error {
	if err := r.applyAction(ctx, worker.Restart, part.endpoints); err != nil {
		return err
	}
	version, err := r.announce(ctx, part.endpoints, registry.Ready)
	if err != nil {
		return err
	}
	real, hollow, err := r.startSidecarSet(ctx, part.real, part.simulated, 0)
	if err != nil {
		return err
	}
	var heard propagation
	if err := r.awaitList(ctx, version, &heard); err != nil {
		return err
	}
	phase.Events = 1
	phase.Distributions = append(phase.Distributions, heard.distribution("from discovery's word of the return to its being heard"), hollow, real)
	return nil
}
