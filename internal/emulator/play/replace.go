package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// replacement is an endpoint that restarts, and the simulated sidecar of the same application.
type replacement struct {
	endpoint fleet.Endpoint
	sidecar  fleet.Sidecar
	worker   int // index of the sidecar's
}

// playReplace restarts endpoints and their sidecars one by one.
func playReplace(ctx context.Context, r *runner) error {
	chosen := r.chooseReplacements(r.options.Scenario.Events)
	for _, c := range chosen {
		r.excluded[c.endpoint.Name] = true
	}
	if err := r.measureLoaded(ctx); err != nil {
		return err
	}
	return r.measure(ctx, phasePlan{name: "replace", loaded: true,
		action: func(ctx context.Context, phase *result.Phase) error { return r.replaceAll(ctx, phase, chosen) }})
}

// chooseReplacements chooses simulated sidecars that have an endpoint, evenly over the fleet.
func (r *runner) chooseReplacements(count int) []replacement {
	var all []replacement
	for index, group := range r.simulated {
		for _, s := range group {
			if s.Position < len(r.layout.Endpoints) {
				all = append(all, replacement{endpoint: r.layout.Endpoints[s.Position], sidecar: s, worker: index})
			}
		}
	}
	count = min(count, len(all))
	chosen := make([]replacement, count)
	for i := range chosen {
		chosen[i] = all[i*len(all)/count]
	}
	return chosen
}

// replacementResult is the outcome of one replacement.
type replacementResult struct {
	drain, ready propagation
	startup      result.Distribution
	err          error
}

// replaceAll starts replacements at the scenario's interval. They overlap if draining takes longer than that.
func (r *runner) replaceAll(ctx context.Context, phase *result.Phase, chosen []replacement) error {
	results := make(chan replacementResult, len(chosen))
	next := time.Now()
	started := 0
	for _, c := range chosen {
		if err := pause(ctx, time.Until(next)); err != nil {
			break
		}
		next = next.Add(r.options.Scenario.Interval())
		started++
		go func() { results <- r.replace(ctx, c) }()
	}
	var drained, ready propagation
	var restarts []time.Duration
	var failure error
	for range started {
		one := <-results
		if one.err != nil {
			failure = one.err
			continue
		}
		drained.add(one.drain)
		ready.add(one.ready)
		if one.startup.Missing == 0 {
			restarts = append(restarts, time.Duration(one.startup.MaxMS*float64(time.Millisecond)))
		}
	}
	phase.Events = started
	phase.Distributions = append(phase.Distributions,
		drained.distribution("from discovery's word of a drain to its being heard"),
		ready.distribution("from discovery's word of a start to its being heard"),
		result.NewDistribution("from a replaced sidecar's start to its being ready", started, restarts))
	return failure
}

// replace drains an endpoint and its sidecar and restarts both.
func (r *runner) replace(ctx context.Context, c replacement) (done replacementResult) {
	done.err = r.drainOne(ctx, c, &done)
	if done.err == nil {
		done.err = r.restartOne(ctx, c, &done)
	}
	return done
}

// drainOne announces that an endpoint terminates, drains it and shuts its sidecar down.
func (r *runner) drainOne(ctx context.Context, c replacement, done *replacementResult) error {
	end := time.Now().Add(r.options.Scenario.Drain.Std())
	version, err := r.announce(ctx, []fleet.Endpoint{c.endpoint}, registry.Terminating)
	if err != nil {
		return err
	}
	if err := r.applyAction(ctx, worker.Drain, []fleet.Endpoint{c.endpoint}); err != nil {
		return err
	}
	names := worker.SidecarNames{Names: []string{c.sidecar.Name}}
	if err := r.sidecarWorkers[c.worker].Call(ctx, worker.StopSidecars, names, nil); err != nil {
		return err
	}
	if err := r.awaitList(ctx, version, &done.drain); err != nil {
		return err
	}
	return pause(ctx, time.Until(end))
}

// restartOne restarts an endpoint and its sidecar, and announces the endpoint.
func (r *runner) restartOne(ctx context.Context, c replacement, done *replacementResult) error {
	if err := r.applyAction(ctx, worker.Restart, []fleet.Endpoint{c.endpoint}); err != nil {
		return err
	}
	version, err := r.announce(ctx, []fleet.Endpoint{c.endpoint}, registry.Ready)
	if err != nil {
		return err
	}
	byWorker := make([][]fleet.Sidecar, len(r.sidecarWorkers))
	byWorker[c.worker] = []fleet.Sidecar{c.sidecar}
	if done.startup, err = r.startSimulated(ctx, byWorker, 0); err != nil {
		return err
	}
	return r.awaitList(ctx, version, &done.ready)
}
