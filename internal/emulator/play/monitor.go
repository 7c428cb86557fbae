package play

import (
	"context"
	"fmt"
	"os"
	"time"

	"oakproxy/internal/emulator/process"
)

const (
	monitorInterval  = 500 * time.Millisecond
	progressInterval = 2 * time.Second
)

// monitor ends a run that exceeds its memory limit, and reports progress, until ctx is done.
func (r *runner) monitor(ctx context.Context) {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	start, reportedAt := time.Now(), time.Now()
	cpu, _ := process.ReadMachineCPU() // without it, the progress line tells less
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		residentKB := r.residentKB()
		r.peakKB.Store(max(r.peakKB.Load(), residentKB))
		if residentKB > int64(r.spec().Limits.MemoryMB)*kbPerMB {
			r.cancel(errMemory)
			return
		}
		if time.Since(reportedAt) >= progressInterval {
			now, _ := process.ReadMachineCPU()
			r.reportProgress(time.Since(start), residentKB, now.BusyShare(cpu))
			reportedAt, cpu = time.Now(), now
		}
	}
}

// residentKB returns the resident memory of the emulator and its children.
func (r *runner) residentKB() int64 {
	own, _ := process.ResidentKB(os.Getpid()) // without it, the children count alone
	return own + r.group.ResidentKB()
}

// reportProgress writes a progress line.
func (r *runner) reportProgress(elapsed time.Duration, residentKB int64, busyShare float64) {
	if r.options.Progress == nil {
		return
	}
	size := r.options.Size
	fmt.Fprintf(r.options.Progress,
		"%s %d sidecars (%d real), %d endpoints, play %d: %3.0f s, %s; %d processes, %d MB, machine %.0f%% busy\n",
		r.options.Name, size.Sidecars, size.Real, size.Endpoints, r.options.Play, elapsed.Seconds(), *r.phase.Load(),
		len(r.group.Children()), residentKB/kbPerMB, busyShare*100)
}
