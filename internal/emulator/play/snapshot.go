package play

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// snapshot is a reading of all counters.
type snapshot struct {
	at        time.Time
	machine   process.MachineCPU
	roles     []roleTotals
	discovery registry.Counts
	endpoints endpoint.Counts
	simulated worker.SidecarCounts
}

// takeSnapshot reads all counters.
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
	return sumCounts[endpoint.Counts](ctx, r.endpointWorkers, worker.CountEndpoints)
}

func (r *runner) countSimulated(ctx context.Context) (worker.SidecarCounts, error) {
	return sumCounts[worker.SidecarCounts](ctx, r.sidecarWorkers, worker.CountSidecars)
}

// sumCounts returns the sum of the counts of all workers.
func sumCounts[Counts any, Sum interface {
	*Counts
	Add(Counts)
}](ctx context.Context, workers []*workerProcess, kind control.Kind) (Counts, error) {
	counts, err := callAll[Counts](ctx, workers, kind, control.Empty{})
	var sum Counts
	for _, one := range counts {
		Sum(&sum).Add(one)
	}
	return sum, err
}

// since records in a phase what has been counted since an earlier snapshot.
func (s *snapshot) since(earlier *snapshot, phase *result.Phase) {
	phase.Seconds = s.at.Sub(earlier.at).Seconds()
	phase.MachineCPUShare = s.machine.BusyShare(earlier.machine)
	for i, totals := range s.roles {
		usage := totals.since(earlier.roles[i])
		phase.Roles = append(phase.Roles, usage)
		phase.OwnCPUShare += usage.CPUSeconds / phase.Seconds / float64(runtime.NumCPU())
		if totals.nearLimit > 0 {
			phase.Notes = append(phase.Notes, fmt.Sprintf(
				"%d of %d processes of role %s are out of descriptors: connections were refused",
				totals.nearLimit, totals.processes, totals.role))
			phase.OutOfDescriptors = true
		}
	}
	phase.Discovery = s.discovery.Since(earlier.discovery)
	phase.Endpoints = s.endpoints.Since(earlier.endpoints)
	phase.Simulated = s.simulated.Since(earlier.simulated)
}
