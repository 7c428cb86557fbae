package play

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/load"
	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/spec"
	"oakproxy/internal/emulator/worker"
)

// descriptorReserve is such that a process with this part of its descriptors left is crowded.
const descriptorReserve = 20

// roleTotals are a role's figures since the start.
type roleTotals struct {
	role      result.Role
	usage     process.Usage
	processes int
	units     int
	nearLimit int // processes that hold nearly all the descriptors they may
}

// snapshot is what everything has counted by an instant.
type snapshot struct {
	at        time.Time
	machine   process.MachineCPU
	roles     []roleTotals
	discovery registry.Counts
	endpoints endpoint.Counts
	simulated worker.SidecarCounts
}

// takeSnapshot reads all figures.
func (r *runner) takeSnapshot(ctx context.Context) (*snapshot, error) {
	var s snapshot
	var err error
	if err := r.registry.Call(ctx, worker.CountRegistry, control.Empty{}, &s.discovery); err != nil {
		return nil, err
	}
	if s.endpoints, err = r.countEndpoints(ctx); err != nil {
		return nil, err
	}
	if s.simulated, err = r.countSimulated(ctx); err != nil {
		return nil, err
	}
	if s.roles, err = r.readRoles(); err != nil {
		return nil, err
	}
	s.machine, err = process.ReadMachineCPU()
	s.at = time.Now()
	return &s, err
}

func (r *runner) countEndpoints(ctx context.Context) (endpoint.Counts, error) {
	counts, err := callAll[control.Empty, endpoint.Counts](ctx, r.endpointWorkers, worker.CountEndpoints, control.Empty{})
	var sum endpoint.Counts
	for _, some := range counts {
		sum.Add(some)
	}
	return sum, err
}

func (r *runner) countSimulated(ctx context.Context) (worker.SidecarCounts, error) {
	counts, err := callAll[control.Empty, worker.SidecarCounts](ctx, r.sidecarWorkers, worker.CountSidecars, control.Empty{})
	var sum worker.SidecarCounts
	for _, some := range counts {
		sum.Add(some)
	}
	return sum, err
}

// readRoles reads what the processes of each role have spent.
func (r *runner) readRoles() ([]roleTotals, error) {
	byRole := []struct {
		role    result.Role
		workers []*workerProcess
		units   int
	}{
		{result.SimulatedSidecar, r.sidecarWorkers, r.simulatedCount()},
		{result.Endpoint, r.endpointWorkers, len(r.layout.Endpoints)},
		{result.Discovery, []*workerProcess{r.registry}, 1},
		{result.Generator, r.generators, 1},
	}
	var all []roleTotals
	for _, group := range byRole {
		totals := roleTotals{role: group.role, units: group.units}
		for _, w := range group.workers {
			if err := totals.read(w.child.PID()); err != nil {
				return nil, err
			}
		}
		all = append(all, totals)
	}
	real, err := r.readReal()
	if err != nil {
		return nil, err
	}
	own := roleTotals{role: result.Configuration, units: 1}
	if err := own.read(os.Getpid()); err != nil {
		return nil, err
	}
	return append(all, real, own), nil
}

// readReal reads what the real sidecars have spent, those of earlier processes included.
func (r *runner) readReal() (roleTotals, error) {
	totals := roleTotals{role: result.RealSidecar, units: len(r.real)}
	for _, s := range r.real {
		totals.usage.Add(s.pastUsage)
		if s.child == nil {
			continue
		}
		if err := totals.read(s.child.PID()); err != nil {
			return totals, err
		}
	}
	return totals, nil
}

func (t *roleTotals) read(pid int) error {
	usage, err := process.ReadUsage(pid)
	if err != nil {
		return err
	}
	limit, err := process.MaxDescriptors()
	if err != nil {
		return err
	}
	if usage.Descriptors*descriptorReserve > limit*(descriptorReserve-1) {
		t.nearLimit++
	}
	t.usage.Add(usage)
	t.processes++
	return nil
}

// since returns what a role spent since an earlier reading.
func (t roleTotals) since(earlier roleTotals) result.RoleUsage {
	return result.RoleUsage{
		Role:        t.role,
		Processes:   t.processes,
		Units:       t.units,
		CPUSeconds:  (t.usage.CPU - earlier.usage.CPU).Seconds(),
		ResidentMB:  float64(t.usage.ResidentKB) / kbPerMB,
		PeakMB:      float64(t.usage.PeakKB) / kbPerMB,
		Descriptors: t.usage.Descriptors,
		ReadBytes:   t.usage.ReadBytes - earlier.usage.ReadBytes,
		WriteBytes:  t.usage.WriteBytes - earlier.usage.WriteBytes,
	}
}

// action is what happens in a phase beside the load.
type action func(ctx context.Context, phase *result.Phase) error

// measure plays a phase: for a time, and until its action is done, if it has one.
func (r *runner) measure(ctx context.Context, name string, length time.Duration, loaded bool, do action) error {
	r.setPhase(name)
	phase := result.Phase{Name: name}
	before, err := r.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	sending := r.startLoad(ctx, loaded)
	err = r.runAction(ctx, &phase, length, do)
	reports, loadErr := r.stopLoad(ctx, sending)
	if err := errors.Join(err, loadErr); err != nil {
		return err
	}
	after, err := r.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	phase.Proxied, phase.Direct = result.NewRequests(reports.Proxied), result.NewRequests(reports.Direct)
	after.since(before, &phase)
	r.run.Phases = append(r.run.Phases, phase)
	return nil
}

// runAction does an action, and waits until the phase has had its time.
func (r *runner) runAction(ctx context.Context, phase *result.Phase, length time.Duration, do action) error {
	ends := time.Now().Add(length)
	if do != nil {
		if err := do(ctx, phase); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(ends))
}

// since fills in what a phase has counted.
func (s *snapshot) since(earlier *snapshot, phase *result.Phase) {
	phase.Seconds = s.at.Sub(earlier.at).Seconds()
	phase.MachineCPUShare = s.machine.BusyShare(earlier.machine)
	for i, totals := range s.roles {
		spent := totals.since(earlier.roles[i])
		phase.Roles = append(phase.Roles, spent)
		phase.OwnCPUShare += spent.CPUSeconds / phase.Seconds / float64(runtime.NumCPU())
		if totals.nearLimit > 0 {
			phase.Notes = append(phase.Notes, fmt.Sprintf("%d of %d processes of role %s are out of descriptors: connections were refused",
				totals.nearLimit, totals.processes, totals.role))
			phase.OutOfDescriptors = true
		}
	}
	phase.Discovery = s.discovery.Since(earlier.discovery)
	phase.Endpoints = s.endpoints.Since(earlier.endpoints)
	phase.Simulated = s.simulated.Since(earlier.simulated)
}

// loadResult is what came of the load of a phase.
type loadResult struct {
	reports worker.LoadReports
	err     error
}

// startLoad begins to send requests through the real sidecars and straight to endpoints.
// It returns nil for a phase without load.
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

// stopLoad ends the load of a phase and returns what came of it.
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

// proxiedPlan is the load on the real sidecars.
func (r *runner) proxiedPlan() load.Plan {
	var targets []string
	for _, s := range r.real {
		if !r.excluded[s.Name] {
			targets = append(targets, s.listen)
		}
	}
	return r.newPlan(targets, r.spec().Load.CallsPerSecond*float64(len(targets)), false)
}

// directPlan is the load straight to endpoints, for comparison.
func (r *runner) directPlan() load.Plan {
	rate := r.spec().Load.DirectCallsPerSecond
	if rate <= 0 {
		return load.Plan{}
	}
	return r.newPlan(r.addresses(), rate, true)
}

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

// loadSeed is a seed that no other plan of the run has: requests must not share their ids.
func (r *runner) loadSeed(direct bool) uint64 {
	const maxPlans = 16
	plan := uint64(2 * len(r.run.Phases))
	if direct {
		plan++
	}
	return r.options.Seed*maxPlans + plan
}

func loadClass(class spec.Class) load.Class {
	next := load.Class{Name: class.Name, Timeout: class.Timeout.Std(), Weight: class.Weight}
	if class.Idempotency != spec.Idempotent {
		next.Method = "POST"
	}
	next.Idempotent = class.Idempotency == spec.IdempotentWithKey
	return next
}

// requestBudget is a plan's part of the requests that are left, by its rate.
func (r *runner) requestBudget(rate float64) int {
	loads := r.spec().Load
	whole := loads.CallsPerSecond*float64(len(r.real)) + loads.DirectCallsPerSecond
	left := float64(r.spec().Limits.Requests - r.requests)
	return max(1, int(math.Floor(left*rate/whole)))
}
