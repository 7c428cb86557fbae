package play

import (
	"os"

	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/result"
)

// descriptorReserve sets when a process is near its limit of descriptors: when less than one in descriptorReserve
// remains.
const descriptorReserve = 20

// roleTotals is the resource usage of the processes of a role since their start.
type roleTotals struct {
	role      result.Role
	usage     process.Usage
	processes int
	units     int
	nearLimit int // processes with nearly as many open descriptors as they may have
}

// readRoles reads the resource usage of each role.
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

// readReal reads the resource usage of the real sidecars, including that of their earlier processes.
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

// read adds the resource usage of a process.
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

// since returns the resource usage of a role since an earlier reading.
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
