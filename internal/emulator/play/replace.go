package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// propagationTimeout is how long a change of the list may take until it counts as missing.
const propagationTimeout = 10 * time.Second

// propagation gathers how long sidecars took to hear of changes.
type propagation struct {
	delays  []time.Duration
	missing int
}

func (h *propagation) distribution(what string) result.Distribution {
	return result.NewDistribution(what, len(h.delays)+h.missing, h.delays)
}

// awaitList waits until every hollow sidecar has heard of a version of the list.
func (r *runner) awaitList(ctx context.Context, version worker.ListVersion, times *propagation) error {
	asked := worker.Await{Version: version.Number, Timeout: propagationTimeout}
	heard, err := callAll[worker.Await, worker.Completions](ctx, r.sidecarWorkers, worker.AwaitList, asked)
	if err != nil {
		return err
	}
	for _, some := range heard {
		times.missing += len(some.Missing)
		for _, arrival := range some.Completed {
			// One that started later read it with its first list.
			if arrival.StartedAt.Before(version.CreatedAt) {
				times.delays = append(times.delays, arrival.At.Sub(version.CreatedAt))
			}
		}
	}
	return nil
}

// replacement is an endpoint that restarts, with the hollow sidecar of its application.
type replacement struct {
	endpoint fleet.Endpoint
	sidecar  fleet.Sidecar
	worker   int // of the sidecar
}

// playReplace restarts endpoints and their sidecars one after the other.
func playReplace(ctx context.Context, r *runner) error {
	chosen := r.chooseReplacements(r.options.Scenario.Events)
	for _, c := range chosen {
		r.excluded[c.endpoint.Name] = true
	}
	if err := r.measureLoaded(ctx); err != nil {
		return err
	}
	return r.measure(ctx, "replace", 0, true, func(ctx context.Context, phase *result.Phase) error {
		return r.replaceAll(ctx, phase, chosen)
	})
}

// chooseReplacements picks hollow sidecars, spread evenly over the fleet, that have an endpoint.
func (r *runner) chooseReplacements(count int) []replacement {
	var all []replacement
	for host, some := range r.simulated {
		for _, s := range some {
			if s.Position < len(r.layout.Endpoints) {
				all = append(all, replacement{r.layout.Endpoints[s.Position], s, host})
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

// replacementResult is what came of one replacement.
type replacementResult struct {
	drain, ready propagation
	startup      result.Distribution
	err          error
}

// replaceAll plays replacements at the scenario's pace; they overlap where the drain
// takes longer than that.
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

func (h *propagation) add(other propagation) {
	h.delays = append(h.delays, other.delays...)
	h.missing += other.missing
}

// replace drains an endpoint and its sidecar and starts both anew.
func (r *runner) replace(ctx context.Context, c replacement) (done replacementResult) {
	done.err = r.drainOne(ctx, c, &done)
	if done.err == nil {
		done.err = r.restartOne(ctx, c, &done)
	}
	return done
}

// drainOne announces the end of an endpoint, and ends its sidecar.
func (r *runner) drainOne(ctx context.Context, c replacement, done *replacementResult) error {
	ends := time.Now().Add(r.options.Scenario.Drain.Std())
	version, err := r.announce(ctx, []fleet.Endpoint{c.endpoint}, registry.Terminating)
	if err != nil {
		return err
	}
	if err := r.applyAction(ctx, worker.Drain, []fleet.Endpoint{c.endpoint}); err != nil {
		return err
	}
	names := worker.Names{Names: []string{c.sidecar.Name}}
	if err := r.sidecarWorkers[c.worker].Call(ctx, worker.StopSidecars, names, nil); err != nil {
		return err
	}
	if err := r.awaitList(ctx, version, &done.drain); err != nil {
		return err
	}
	return pause(ctx, time.Until(ends))
}

// restartOne starts an endpoint and its sidecar anew, and announces it.
func (r *runner) restartOne(ctx context.Context, c replacement, done *replacementResult) error {
	if err := r.applyAction(ctx, worker.Restart, []fleet.Endpoint{c.endpoint}); err != nil {
		return err
	}
	version, err := r.announce(ctx, []fleet.Endpoint{c.endpoint}, registry.Ready)
	if err != nil {
		return err
	}
	byHost := make([][]fleet.Sidecar, len(r.sidecarWorkers))
	byHost[c.worker] = []fleet.Sidecar{c.sidecar}
	if done.startup, err = r.startSimulated(ctx, byHost, 0); err != nil {
		return err
	}
	return r.awaitList(ctx, version, &done.ready)
}
