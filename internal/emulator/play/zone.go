package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// failedZone is the index of the zone that fails.
const failedZone = 0

// zoneMembers are the endpoints and sidecars of a zone.
type zoneMembers struct {
	endpoints []fleet.Endpoint
	simulated [][]fleet.Sidecar // simulated sidecars of each worker, by index in simulatedSidecarWorkers
	real      []*realSidecar
}

// playZoneFailure measures load without events, then load while a zone is lost, then load after the zone has recovered,
// while its endpoints warm up. The zone's real sidecars get no load in any phase, since their applications would have
// failed with the zone. Its endpoints get no direct load.
func playZoneFailure(ctx context.Context, r *runner) error {
	members := r.zoneMembersOf(failedZone)
	r.excludeFromLoad(members)
	if err := r.measureLoadedPhase(ctx); err != nil {
		return err
	}
	scenario := r.options.Scenario
	err := r.measurePhase(ctx, phasePlan{name: "gone", duration: scenario.Outage.Std(), withLoad: true,
		action: func(ctx context.Context, phase *result.Phase) error { return r.failZone(ctx, phase, members) }})
	if err != nil {
		return err
	}
	return r.measurePhase(ctx, phasePlan{name: "back", duration: scenario.Recovery.Std(), withLoad: true,
		action: func(ctx context.Context, phase *result.Phase) error { return r.recoverZone(ctx, phase, members) }})
}

// zoneMembersOf returns the endpoints and sidecars of the zone with the given index.
func (r *runner) zoneMembersOf(zone int) *zoneMembers {
	members := &zoneMembers{simulated: make([][]fleet.Sidecar, len(r.simulatedSidecars))}
	for _, e := range r.layout.Endpoints {
		if e.Zone == zone {
			members.endpoints = append(members.endpoints, e)
		}
	}
	for index, group := range r.simulatedSidecars {
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

// excludeFromLoad excludes the real sidecars of a zone from load, and its endpoints from direct load.
func (r *runner) excludeFromLoad(members *zoneMembers) {
	for _, e := range members.endpoints {
		r.excludedFromLoad[e.Name] = true
	}
	for _, s := range members.real {
		r.excludedFromLoad[s.Name] = true
	}
}

// failZone disconnects the endpoints of a zone, stops its sidecars, and removes the endpoints from discovery's list
// after the scenario's detection delay.
func (r *runner) failZone(ctx context.Context, phase *result.Phase, members *zoneMembers) error {
	if err := r.applyAction(ctx, worker.Disconnect, members.endpoints); err != nil {
		return err
	}
	detectedAt := time.Now().Add(r.options.Scenario.DetectionDelay.Std())
	if err := r.stopZoneSidecars(ctx, members); err != nil {
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

// stopZoneSidecars stops the sidecars of a zone. It kills the real ones, and shuts the simulated ones down gracefully,
// since they share processes with sidecars of other zones.
func (r *runner) stopZoneSidecars(ctx context.Context, members *zoneMembers) error {
	for _, s := range members.real {
		if err := r.killRealSidecar(s); err != nil {
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
		if err := r.simulatedSidecarWorkers[index].Call(ctx, worker.StopSidecars, names, nil); err != nil {
			return err
		}
	}
	return nil
}

// recoverZone restarts the endpoints of a zone, which then warm up, announces them as ready, and starts all sidecars of
// the zone at the same time.
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

// recordPropagation waits until the simulated sidecars have received a version of the endpoint list, and records the
// distribution of the delays under a name. It sets the phase's number of events to 1.
func (r *runner) recordPropagation(
	ctx context.Context, phase *result.Phase, version worker.ListVersion, name string,
) error {
	var received propagation
	if err := r.awaitList(ctx, version, &received); err != nil {
		return err
	}
	phase.Events = 1
	phase.Distributions = append(phase.Distributions, received.distribution(name))
	return nil
}
