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

// snapshot is a reading of the counters and of the resource usage of all processes.
type snapshot struct {
	at        time.Time
	machine   process.MachineCPU
	roles     []roleTotals
	discovery registry.Counts
	endpoints endpoint.Counts
	simulated worker.SidecarCounts
}

// takeSnapshot reads all counters and the resource usage of all processes.
func (r *runner) takeSnapshot(ctx context.Context) (*snapshot, error) {
	var s snapshot
	var err error
	if err := r.registryWorker.Call(ctx, worker.CountRegistry, control.Empty{}, &s.discovery); err != nil {
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

// countEndpoints returns the counts of all endpoints.
func (r *runner) countEndpoints(ctx context.Context) (endpoint.Counts, error) {
	return sumCounts[endpoint.Counts](ctx, r.endpointWorkers, worker.CountEndpoints)
}

// countSimulated returns the counts of all simulated sidecars.
func (r *runner) countSimulated(ctx context.Context) (worker.SidecarCounts, error) {
	return sumCounts[worker.SidecarCounts](ctx, r.simulatedSidecarWorkers, worker.CountSidecars)
}

// sumCounts requests the counts of each worker with a message of the given kind, and returns the sum of the counts.
func sumCounts[Counts any, Sum interface {
	*Counts
	Add(Counts)
}](ctx context.Context, workers []*workerProcess, kind control.Kind) (Counts, error) {
	counts, err := callAll[Counts](ctx, workers, kind, control.Empty{})
	var sum Counts
	for _, workerCounts := range counts {
		Sum(&sum).Add(workerCounts)
	}
	return sum, err
}

// recordSince records in a phase the counts and the resource usage since an earlier snapshot.
func (s *snapshot) recordSince(earlier *snapshot, phase *result.Phase) {
	phase.Seconds = s.at.Sub(earlier.at).Seconds()
	phase.MachineCPUShare = s.machine.BusyShare(earlier.machine)
	for i, totals := range s.roles {
		usage := totals.usageSince(earlier.roles[i])
		phase.Roles = append(phase.Roles, usage)
		phase.OwnCPUShare += usage.CPUSeconds / phase.Seconds / float64(runtime.NumCPU())
		if totals.processesNearLimit > 0 {
			phase.Notes = append(phase.Notes, fmt.Sprintf(
				"%d of %d processes of role %s are near their limit of file descriptors; connections may have been refused",
				totals.processesNearLimit, totals.processes, totals.role))
			phase.NearDescriptorLimit = true
		}
	}
	phase.Discovery = s.discovery.Since(earlier.discovery)
	phase.Endpoints = s.endpoints.Since(earlier.endpoints)
	phase.Simulated = s.simulated.Since(earlier.simulated)
}
