package play

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// descriptorReserve is the divisor for the part of its descriptors below which a process is near its limit.
const descriptorReserve = 20

// roleTotals is what the processes of a role have spent since their start, and hold.
type roleTotals struct {
	role      result.Role
	usage     process.Usage
	processes int
	units     int
	nearLimit int // processes that hold nearly all the descriptors they may open
}

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
	realTotals, err := r.readReal()
	if err != nil {
		return nil, err
	}
	own := roleTotals{role: result.Configuration, units: 1}
	if err := own.read(os.Getpid()); err != nil {
		return nil, err
	}
	return append(all, realTotals, own), nil
}

// readReal reads what the real sidecars have spent, earlier processes included.
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

// read adds a process.
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

// since returns what a role has spent since an earlier reading.
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
