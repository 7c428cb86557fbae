package play

import (
	"context"
	"fmt"
	"os"
	"time"

	"oakproxy/internal/emulator/process"
)

const (
	monitorInterval  = 500 * time.Millisecond // interval between readings of the resident memory
	progressInterval = 2 * time.Second        // minimum time between progress lines
)

// monitor records the peak memory, ends the run if the run's processes exceed limits.memory_mb, and writes progress
// lines. It returns when ctx is done or the limit is exceeded.
func (r *runner) monitor(ctx context.Context) {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	start, reportedAt := time.Now(), time.Now()
	previousCPU, _ := process.ReadMachineCPU() // on an error, only the progress line is inaccurate
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		residentKB := r.residentKB()
		r.peakKB.Store(max(r.peakKB.Load(), residentKB))
		if residentKB > int64(r.scenarioFile().Limits.MemoryMB)*kbPerMB {
			r.cancel(errMemory)
			return
		}
		if time.Since(reportedAt) >= progressInterval {
			currentCPU, _ := process.ReadMachineCPU()
			r.reportProgress(time.Since(start), residentKB, currentCPU.BusyShare(previousCPU))
			reportedAt, previousCPU = time.Now(), currentCPU
		}
	}
}

// residentKB returns the resident memory of the emulator and its child processes, in KiB.
func (r *runner) residentKB() int64 {
	own, _ := process.ResidentKB(os.Getpid()) // on an error, only the children are counted
	return own + r.processes.ResidentKB()
}

// reportProgress writes a progress line, unless the run's options have no writer for it.
func (r *runner) reportProgress(elapsed time.Duration, residentKB int64, busyShare float64) {
	if r.options.Progress == nil {
		return
	}
	size := r.options.Size
	fmt.Fprintf(r.options.Progress,
		"%s %d sidecars (%d real), %d endpoints, play %d: %3.0f s, %s; %d processes, %d MB, machine %.0f%% busy\n",
		r.options.Name, size.Sidecars, size.Real, size.Endpoints, r.options.Play, elapsed.Seconds(), *r.currentPhase.Load(),
		len(r.processes.Children()), residentKB/kbPerMB, busyShare*100)
}
