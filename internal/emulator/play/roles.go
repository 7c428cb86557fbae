package play

import (
	"os"

	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/result"
)

// descriptorReserveDivisor defines when a process is near its limit of file descriptors: when it can open fewer than
// limit / descriptorReserveDivisor further descriptors.
const descriptorReserveDivisor = 20

// roleTotals is the resource usage of all processes of a role. Processor time and bytes are counted from the start of
// each process.
type roleTotals struct {
	role               result.Role
	usage              process.Usage
	processes          int
	units              int // number of sidecars, endpoints or other instances of the role
	processesNearLimit int // processes near their limit of file descriptors
}

// readRoles reads the resource usage of each role, always in the same order.
func (r *runner) readRoles() ([]roleTotals, error) {
	byRole := []struct {
		role    result.Role
		workers []*workerProcess
		units   int
	}{
		{result.SimulatedSidecar, r.simulatedSidecarWorkers, r.simulatedCount()},
		{result.Endpoint, r.endpointWorkers, len(r.layout.Endpoints)},
		{result.Discovery, []*workerProcess{r.registryWorker}, 1},
		{result.Generator, r.loadWorkers, 1},
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
	realTotals, err := r.readRealSidecars()
	if err != nil {
		return nil, err
	}
	ownTotals := roleTotals{role: result.Configuration, units: 1}
	if err := ownTotals.read(os.Getpid()); err != nil {
		return nil, err
	}
	return append(all, realTotals, ownTotals), nil
}

// readRealSidecars reads the resource usage of the real sidecars, including that of their processes that were killed.
func (r *runner) readRealSidecars() (roleTotals, error) {
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

// read reads the resource usage of a process and adds it to the totals.
func (t *roleTotals) read(pid int) error {
	usage, err := process.ReadUsage(pid)
	if err != nil {
		return err
	}
	limit, err := process.MaxDescriptors()
	if err != nil {
		return err
	}
	if usage.Descriptors*descriptorReserveDivisor > limit*(descriptorReserveDivisor-1) {
		t.processesNearLimit++
	}
	t.usage.Add(usage)
	t.processes++
	return nil
}

// usageSince returns the usage of a role for the result file. Processor time and bytes are those since an earlier
// reading; memory and descriptors are those of the current reading.
func (t roleTotals) usageSince(earlier roleTotals) result.RoleUsage {
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
