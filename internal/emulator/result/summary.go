package result

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteSummary writes a human-readable summary of a run.
func WriteSummary(out io.Writer, run *Run) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s, %d sidecars (%d real), %d endpoints, play %d, commit %s: %.1f s, %.0f MB at most%s\n",
		run.Scenario, run.Size.Sidecars, run.Size.Real, run.Size.Endpoints, run.Play, run.Commit, run.Seconds,
		run.PeakMemoryMB, unusableReason(run))
	fmt.Fprintf(table, "start\t%.2f s; whole lists %d, bytes out %d\n", run.Startup.Seconds,
		run.Startup.Discovery.CompleteResponses, run.Startup.Discovery.BytesOut)
	writeDistributions(table, []Distribution{run.Startup.SimulatedReady, run.Startup.RealReady})
	for i := range run.Phases {
		writePhase(table, &run.Phases[i])
	}
	return table.Flush()
}

// unusableReason returns the reasons for which a run's results are not usable, each with a leading separator. It
// returns an empty string if they are usable.
func unusableReason(run *Run) string {
	reason := ""
	if run.Saturated {
		reason += "; SATURATED: the machine limited the results"
	}
	if run.Stopped != "" {
		reason += "; STOPPED: " + run.Stopped
	}
	return reason
}

// writePhase writes the summary of a phase.
func writePhase(table io.Writer, phase *Phase) {
	fmt.Fprintf(table, "phase %s\t%.1f s, machine %.0f%% busy, %.0f%% by this run\n",
		phase.Name, phase.Seconds, phase.MachineCPUShare*100, phase.OwnCPUShare*100)
	for _, usage := range phase.Roles {
		if usage.Processes == 0 {
			continue
		}
		unit := perUnit(usage, phase.Seconds)
		fmt.Fprintf(table, "  %s\t%d in %d processes\t%.3f %% of a core each\t%.1f MB each\t"+
			"%.0f B/s read, %.0f B/s written each\t%d descriptors\n",
			usage.Role, usage.Units, usage.Processes, unit.cpuPercent, unit.residentMB,
			unit.readBytes, unit.writeBytes, usage.Descriptors)
	}
	d := phase.Discovery
	fmt.Fprintf(table, "  discovery\t%.1f calls/s\t%d whole, %d changed, %d empty, %d unavailable\t"+
		"%.0f B/s in, %.0f B/s out\n",
		float64(d.ListCalls+d.WatchCalls)/phase.Seconds, d.CompleteResponses, d.DeltaResponses,
		d.EmptyResponses, d.Unavailable,
		float64(d.BytesIn)/phase.Seconds, float64(d.BytesOut)/phase.Seconds)
	e := phase.Endpoints
	fmt.Fprintf(table, "  endpoints\t%.1f requests/s, %.1f probes/s\t%d rejected, %d duplicates\t"+
		"%d connections open, %d accepted\n",
		float64(e.Requests)/phase.Seconds, float64(e.HealthChecks)/phase.Seconds, e.Rejected, e.Duplicates,
		e.Connections.Open, e.Connections.Accepted)
	writeRequests(table, "through sidecars", phase.Proxied)
	writeRequests(table, "direct", phase.Direct)
	writeDistributions(table, phase.Distributions)
	for _, note := range phase.Notes {
		fmt.Fprintf(table, "  note\t%s\n", note)
	}
}

// writeRequests writes a line with the results of requests, which may be nil.
func writeRequests(table io.Writer, name string, r *Requests) {
	if r == nil {
		return
	}
	c := r.Counts
	fmt.Fprintf(table, "  %s\t%.1f/s\tp50 %.2f, p99 %.2f, p99.9 %.2f, max %.1f ms\t"+
		"served %d, refused %d, failed %d, lost %d, mismatched %d, unsent %d, cancelled %d\n",
		name, float64(c.Planned)/max(r.Seconds, 1e-9), r.P50MS, r.P99MS, r.P999MS, r.MaxMS, c.Served, c.Rejected, c.Failed,
		c.Lost(), c.Mismatched, c.Unsent, c.Cancelled)
}

// writeDistributions writes a line for each distribution for which at least one duration was expected.
func writeDistributions(table io.Writer, distributions []Distribution) {
	for _, s := range distributions {
		if s.Total > 0 {
			fmt.Fprintf(table, "  %s\t%d of %d\tmedian %.0f, p99 %.0f, last %.0f ms\n",
				s.Name, s.Total-s.Missing, s.Total, s.MedianMS, s.P99MS, s.MaxMS)
		}
	}
}

// unitUsage is the average resource usage of one unit of a role: processor time in percent of a core, resident memory,
// and bytes read and written per second.
type unitUsage struct{ cpuPercent, residentMB, readBytes, writeBytes float64 }

// perUnit returns the average usage of one unit of a role in a phase that lasted the given seconds.
func perUnit(usage RoleUsage, seconds float64) unitUsage {
	units := max(1, float64(usage.Units))
	return unitUsage{
		cpuPercent: usage.CPUSeconds / seconds / units * 100,
		residentMB: usage.ResidentMB / units,
		readBytes:  float64(usage.ReadBytes) / seconds / units,
		writeBytes: float64(usage.WriteBytes) / seconds / units,
	}
}
