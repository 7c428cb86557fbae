package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// replacement is an endpoint to restart, together with the simulated sidecar of the same application.
type replacement struct {
	endpoint    fleet.Endpoint
	sidecar     fleet.Sidecar
	workerIndex int // index of the worker that hosts the sidecar
}

// playReplacements measures load without events, then load while endpoints and their sidecars restart, one endpoint
// and its sidecar at each interval of the scenario. The endpoints that will restart get no direct load in any phase.
func playReplacements(ctx context.Context, r *runner) error {
	chosen := r.chooseReplacements(r.options.Scenario.Events)
	for _, c := range chosen {
		r.excludedFromLoad[c.endpoint.Name] = true
	}
	if err := r.measureLoadedPhase(ctx); err != nil {
		return err
	}
	return r.measurePhase(ctx, phasePlan{name: "replace", withLoad: true,
		action: func(ctx context.Context, phase *result.Phase) error { return r.replaceAll(ctx, phase, chosen) }})
}

// chooseReplacements chooses at most count simulated sidecars whose application also has an endpoint, evenly over the
// fleet, and returns them with these endpoints.
func (r *runner) chooseReplacements(count int) []replacement {
	var candidates []replacement
	for workerIndex, group := range r.simulatedSidecars {
		for _, s := range group {
			if s.Position < len(r.layout.Endpoints) {
				candidates = append(candidates, replacement{endpoint: r.layout.Endpoints[s.Position], sidecar: s,
					workerIndex: workerIndex})
			}
		}
	}
	count = min(count, len(candidates))
	chosen := make([]replacement, count)
	for i := range chosen {
		chosen[i] = candidates[i*len(candidates)/count]
	}
	return chosen
}

// replacementResult is the outcome of one replacement.
type replacementResult struct {
	drainPropagation, readyPropagation propagation
	startup                            result.Distribution
	err                                error
}

// replaceAll starts a replacement at each interval of the scenario and waits until all of them have ended. Replacements
// overlap if one takes longer than the interval.
func (r *runner) replaceAll(ctx context.Context, phase *result.Phase, chosen []replacement) error {
	results := make(chan replacementResult, len(chosen))
	nextStart := time.Now()
	startedCount := 0
	for _, c := range chosen {
		if err := pause(ctx, time.Until(nextStart)); err != nil {
			break
		}
		nextStart = nextStart.Add(r.options.Scenario.Interval())
		startedCount++
		go func() { results <- r.replace(ctx, c) }()
	}
	var drained, ready propagation
	var restarts []time.Duration
	var lastErr error
	for range startedCount {
		outcome := <-results
		if outcome.err != nil {
			lastErr = outcome.err
			continue
		}
		drained.add(outcome.drainPropagation)
		ready.add(outcome.readyPropagation)
		if outcome.startup.Missing == 0 {
			restarts = append(restarts, time.Duration(outcome.startup.MaxMS*float64(time.Millisecond)))
		}
	}
	phase.Events = startedCount
	phase.Distributions = append(phase.Distributions,
		drained.distribution("from discovery's word of a drain to its being heard"),
		ready.distribution("from discovery's word of a start to its being heard"),
		result.NewDistribution("from a replaced sidecar's start to its being ready", startedCount, restarts))
	return lastErr
}

// replace drains an endpoint, stops its sidecar and restarts both.
func (r *runner) replace(ctx context.Context, c replacement) (outcome replacementResult) {
	outcome.err = r.drainOne(ctx, c, &outcome)
	if outcome.err == nil {
		outcome.err = r.restartOne(ctx, c, &outcome)
	}
	return outcome
}

// drainOne announces that an endpoint terminates, drains the endpoint and shuts its sidecar down gracefully. It returns
// when the scenario's drain time is over and the announcement has reached the simulated sidecars.
func (r *runner) drainOne(ctx context.Context, c replacement, outcome *replacementResult) error {
	end := time.Now().Add(r.options.Scenario.DrainDuration.Std())
	version, err := r.announce(ctx, []fleet.Endpoint{c.endpoint}, registry.Terminating)
	if err != nil {
		return err
	}
	if err := r.applyAction(ctx, worker.Drain, []fleet.Endpoint{c.endpoint}); err != nil {
		return err
	}
	names := worker.SidecarNames{Names: []string{c.sidecar.Name}}
	if err := r.simulatedSidecarWorkers[c.workerIndex].Call(ctx, worker.StopSidecars, names, nil); err != nil {
		return err
	}
	if err := r.awaitList(ctx, version, &outcome.drainPropagation); err != nil {
		return err
	}
	return pause(ctx, time.Until(end))
}

// restartOne restarts an endpoint, announces it as ready, starts its sidecar, and waits until the announcement has
// reached the simulated sidecars.
func (r *runner) restartOne(ctx context.Context, c replacement, outcome *replacementResult) error {
	if err := r.applyAction(ctx, worker.Restart, []fleet.Endpoint{c.endpoint}); err != nil {
		return err
	}
	version, err := r.announce(ctx, []fleet.Endpoint{c.endpoint}, registry.Ready)
	if err != nil {
		return err
	}
	byWorker := make([][]fleet.Sidecar, len(r.simulatedSidecarWorkers))
	byWorker[c.workerIndex] = []fleet.Sidecar{c.sidecar}
	if outcome.startup, err = r.startSimulatedSidecars(ctx, byWorker, 0); err != nil {
		return err
	}
	return r.awaitList(ctx, version, &outcome.readyPropagation)
}
