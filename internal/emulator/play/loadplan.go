package play

import (
	"context"
	"math"
	"net/http"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/load"
	"oakproxy/internal/emulator/spec"
	"oakproxy/internal/emulator/worker"
)

// loadResult is the result of the load of a phase.
type loadResult struct {
	reports worker.LoadReports
	err     error
}

// startLoad starts sending requests through the real sidecars and directly to endpoints. It returns nil for a
// phase without load.
func (r *runner) startLoad(ctx context.Context, loaded bool) <-chan loadResult {
	plans := worker.LoadPlans{Proxied: r.proxiedPlan(), Direct: r.directPlan()}
	if !loaded || len(plans.Proxied.Targets) == 0 {
		return nil
	}
	done := make(chan loadResult, 1)
	go func() {
		var sent loadResult
		sent.err = r.generators[0].Call(ctx, worker.SendLoad, plans, &sent.reports)
		done <- sent
	}()
	return done
}

// stopLoad stops the load of a phase and returns its result.
func (r *runner) stopLoad(ctx context.Context, sending <-chan loadResult) (worker.LoadReports, error) {
	if sending == nil {
		return worker.LoadReports{}, nil
	}
	if err := r.generators[0].Call(ctx, worker.StopLoad, control.Empty{}, nil); err != nil {
		return worker.LoadReports{}, err
	}
	sent := <-sending
	for _, report := range []*load.Report{sent.reports.Proxied, sent.reports.Direct} {
		if report != nil {
			r.requests += int(report.Counts.Planned)
		}
	}
	return sent.reports, sent.err
}

// proxiedPlan returns the load on the real sidecars.
func (r *runner) proxiedPlan() load.Plan {
	var targets []string
	for _, s := range r.real {
		if !r.excluded[s.Name] {
			targets = append(targets, s.listen)
		}
	}
	return r.newPlan(targets, r.spec().Load.CallsPerSecond*float64(len(targets)), false)
}

// directPlan returns the load directly on endpoints, for comparison.
func (r *runner) directPlan() load.Plan {
	rate := r.spec().Load.DirectCallsPerSecond
	if rate <= 0 {
		return load.Plan{}
	}
	return r.newPlan(r.addresses(), rate, true)
}

// newPlan returns a plan of this rate over all targets, in requests a second.
func (r *runner) newPlan(targets []string, rate float64, direct bool) load.Plan {
	plan := load.Plan{
		Targets:     targets,
		Rate:        rate,
		Duration:    r.spec().Limits.Duration.Std(),
		MaxRequests: r.requestBudget(rate),
		MaxInFlight: r.spec().Load.MaxInFlight,
		Seed:        r.loadSeed(direct),
		Tenants:     r.configurations.Tenants(),
		Direct:      direct,
	}
	for _, class := range r.spec().Load.Classes {
		plan.Classes = append(plan.Classes, loadClass(class))
	}
	return plan
}

// loadSeed returns a seed that no other plan of the run has: requests must not share their IDs.
func (r *runner) loadSeed(direct bool) uint64 {
	const maxPlans = 16
	plan := uint64(2 * len(r.run.Phases))
	if direct {
		plan++
	}
	return r.options.Seed*maxPlans + plan
}

// loadClass returns a class of the scenario file as the load generator's.
func loadClass(class spec.Class) load.Class {
	converted := load.Class{
		Name:              class.Name,
		Timeout:           class.Timeout.Std(),
		Weight:            class.Weight,
		HasIdempotencyKey: class.Idempotency == spec.IdempotentWithKey,
	}
	if class.Idempotency != spec.Idempotent {
		converted.Method = http.MethodPost
	}
	return converted
}

// requestBudget returns a plan's part, by its rate, of the requests that remain of limits.requests.
func (r *runner) requestBudget(rate float64) int {
	loads := r.spec().Load
	totalRate := loads.CallsPerSecond*float64(len(r.real)) + loads.DirectCallsPerSecond
	remaining := float64(r.spec().Limits.Requests - r.requests)
	return max(1, int(math.Floor(remaining*rate/totalRate)))
}
