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

// loadResult is the outcome of the load of one phase.
type loadResult struct {
	reports worker.LoadReports
	err     error
}

// startLoad starts sending requests through the real sidecars and directly to endpoints. The channel that it returns
// delivers the result when sending has ended. It returns nil, and sends nothing, for a phase without load or if no real
// sidecar gets load.
func (r *runner) startLoad(ctx context.Context, withLoad bool) <-chan loadResult {
	plans := worker.LoadPlans{Proxied: r.proxiedPlan(), Direct: r.directPlan()}
	if !withLoad || len(plans.Proxied.Targets) == 0 {
		return nil
	}
	done := make(chan loadResult, 1)
	go func() {
		var outcome loadResult
		outcome.err = r.loadWorkers[0].Call(ctx, worker.SendLoad, plans, &outcome.reports)
		done <- outcome
	}()
	return done
}

// stopLoad stops the load of a phase, waits for its reports and returns them. It adds the numbers of planned requests
// in the reports to r.plannedRequests. A nil loadDone means that no load was started.
func (r *runner) stopLoad(ctx context.Context, loadDone <-chan loadResult) (worker.LoadReports, error) {
	if loadDone == nil {
		return worker.LoadReports{}, nil
	}
	if err := r.loadWorkers[0].Call(ctx, worker.StopLoad, control.Empty{}, nil); err != nil {
		return worker.LoadReports{}, err
	}
	outcome := <-loadDone
	for _, report := range []*load.Report{outcome.reports.Proxied, outcome.reports.Direct} {
		if report != nil {
			r.plannedRequests += int(report.Counts.Planned)
		}
	}
	return outcome.reports, outcome.err
}

// proxiedPlan returns the plan of the load through the real sidecars that are not excluded from load.
func (r *runner) proxiedPlan() load.Plan {
	var targets []string
	for _, s := range r.real {
		if !r.excludedFromLoad[s.Name] {
			targets = append(targets, s.listenAddress)
		}
	}
	return r.newPlan(targets, r.scenarioFile().Load.CallsPerSecond*float64(len(targets)), false)
}

// directPlan returns the plan of the load that is sent directly to endpoints, for comparison. It is empty if
// load.direct_calls_per_second is 0.
func (r *runner) directPlan() load.Plan {
	rate := r.scenarioFile().Load.DirectCallsPerSecond
	if rate <= 0 {
		return load.Plan{}
	}
	return r.newPlan(r.directTargets(), rate, true)
}

// newPlan returns a load plan for the given targets. The rate is the total over all targets, in requests per second.
func (r *runner) newPlan(targets []string, rate float64, direct bool) load.Plan {
	plan := load.Plan{
		Targets:     targets,
		Rate:        rate,
		Duration:    r.scenarioFile().Limits.Duration.Std(),
		MaxRequests: r.requestBudget(rate),
		MaxInFlight: r.scenarioFile().Load.MaxInFlight,
		Seed:        r.loadSeed(direct),
		Tenants:     r.configurations.Tenants(),
		Direct:      direct,
	}
	for _, class := range r.scenarioFile().Load.Classes {
		plan.Classes = append(plan.Classes, loadClass(class))
	}
	return plan
}

// loadSeed returns a seed that differs between all load plans of a run, because requests of different plans must not
// have equal IDs. Each phase has two plans, a proxied and a direct one. Runs with different seeds share no load seed as
// long as a run has at most plansPerRun/2 phases.
func (r *runner) loadSeed(direct bool) uint64 {
	const plansPerRun = 16
	planNumber := uint64(2 * len(r.run.Phases))
	if direct {
		planNumber++
	}
	return r.options.Seed*plansPerRun + planNumber
}

// loadClass converts a request class of the scenario file to one of the load generator.
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

// requestBudget returns how many requests a plan with the given rate may send, at least 1. The requests that earlier
// phases have left of limits.requests are divided between the plans in proportion to their rates. The result is
// remaining * rate / totalRate, where remaining is the number of requests left, and totalRate is the sum of the rates
// of the direct load and of the load through all real sidecars, including those excluded from load.
func (r *runner) requestBudget(rate float64) int {
	loadOptions := r.scenarioFile().Load
	totalRate := loadOptions.CallsPerSecond*float64(len(r.real)) + loadOptions.DirectCallsPerSecond
	remaining := float64(r.scenarioFile().Limits.Requests - r.plannedRequests)
	return max(1, int(math.Floor(remaining*rate/totalRate)))
}
