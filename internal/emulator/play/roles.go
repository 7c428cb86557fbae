package play

import (
	"os"

	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/result"
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
