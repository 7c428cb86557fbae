package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// failedZone is the zone that fails.
const failedZone = 0

// zoneMembers are the members of a zone.
type zoneMembers struct {
	endpoints []fleet.Endpoint
	simulated [][]fleet.Sidecar // by worker
	real      []*realSidecar
}

// playZone makes one zone fail and recover with endpoints that warm up. The zone's real sidecars get no load in any
// phase, since their applications would have failed as well.
func playZone(ctx context.Context, r *runner) error {
	zone := r.membersOf(failedZone)
	r.exclude(zone)
	if err := r.measureLoaded(ctx); err != nil {
		return err
	}
	scenario := r.options.Scenario
	err := r.measure(ctx, phasePlan{name: "gone", duration: scenario.Outage.Std(), loaded: true,
		action: func(ctx context.Context, phase *result.Phase) error { return r.failZone(ctx, phase, zone) }})
	if err != nil {
		return err
	}
	return r.measure(ctx, phasePlan{name: "back", duration: scenario.Recovery.Std(), loaded: true,
		action: func(ctx context.Context, phase *result.Phase) error { return r.recoverZone(ctx, phase, zone) }})
}

// membersOf returns the members of a zone.
func (r *runner) membersOf(zone int) *zoneMembers {
	members := &zoneMembers{simulated: make([][]fleet.Sidecar, len(r.simulated))}
	for _, e := range r.layout.Endpoints {
		if e.Zone == zone {
			members.endpoints = append(members.endpoints, e)
		}
	}
	for index, group := range r.simulated {
		for _, s := range group {
			if s.Zone == zone {
				members.simulated[index] = append(members.simulated[index], s)
			}
		}
	}
	for _, s := range r.real {
		if s.Zone == zone {
			members.real = append(members.real, s)
		}
	}
	return members
}

// exclude keeps load from members of a zone that will fail.
func (r *runner) exclude(members *zoneMembers) {
	for _, e := range members.endpoints {
		r.excluded[e.Name] = true
	}
	for _, s := range members.real {
		r.excluded[s.Name] = true
	}
}

// failZone disconnects a zone, and removes it from the endpoint list after the detection delay.
func (r *runner) failZone(ctx context.Context, phase *result.Phase, members *zoneMembers) error {
	if err := r.applyAction(ctx, worker.Disconnect, members.endpoints); err != nil {
		return err
	}
	detectedAt := time.Now().Add(r.options.Scenario.DetectionDelay.Std())
	if err := r.stopSidecars(ctx, members); err != nil {
		return err
	}
	if err := pause(ctx, time.Until(detectedAt)); err != nil {
		return err
	}
	version, err := r.announce(ctx, members.endpoints, registry.Removed)
	if err != nil {
		return err
	}
	return r.recordPropagation(ctx, phase, version, "from discovery's word of the loss to its being heard")
}

// stopSidecars stops the sidecars of a zone: it kills the real ones, and shuts the simulated ones down
// gracefully, since they share processes with others.
func (r *runner) stopSidecars(ctx context.Context, members *zoneMembers) error {
	for _, s := range members.real {
		if err := r.killReal(s); err != nil {
			return err
		}
	}
	for index, group := range members.simulated {
		if len(group) == 0 {
			continue
		}
		var names worker.SidecarNames
		for _, s := range group {
			names.Names = append(names.Names, s.Name)
		}
		if err := r.sidecarWorkers[index].Call(ctx, worker.StopSidecars, names, nil); err != nil {
			return err
		}
	}
	return nil
}

// recoverZone restarts a zone's endpoints, which warm up, and starts all of its sidecars at the same time.
func (r *runner) recoverZone(ctx context.Context, phase *result.Phase, members *zoneMembers) error {
	if err := r.applyAction(ctx, worker.Restart, members.endpoints); err != nil {
		return err
	}
	version, err := r.announce(ctx, members.endpoints, registry.Ready)
	if err != nil {
		return err
	}
	startup, err := r.startSidecarSet(ctx, members.real, members.simulated, 0)
	if err != nil {
		return err
	}
	err = r.recordPropagation(ctx, phase, version, "from discovery's word of the return to its being heard")
	if err != nil {
		return err
	}
	phase.Distributions = append(phase.Distributions, startup.simulated, startup.real)
	return nil
}

// recordPropagation waits until the sidecars have received a version of the endpoint list, and records it as
// the one event of a phase.
func (r *runner) recordPropagation(
	ctx context.Context, phase *result.Phase, version worker.ListVersion, what string,
) error {
	var received propagation
	if err := r.awaitList(ctx, version, &received); err != nil {
		return err
	}
	phase.Events = 1
	phase.Distributions = append(phase.Distributions, received.distribution(what))
	return nil
}
