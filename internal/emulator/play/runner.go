package play

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/spec"
	"oakproxy/internal/emulator/worker"
	"oakproxy/internal/system"
)

const (
	stopGrace      = 8 * time.Second       // time that children have to exit before they are killed
	scratchPattern = "oakproxy-emulator-*" // name pattern of a run's temporary directory
)

// Causes of a run's early end.
var (
	errDuration = errors.New("the run exceeded limits.duration")
	errMemory   = errors.New("the run's processes exceeded limits.memory_mb")
	// errExitedCleanly stands for the error of a child that exits unexpectedly with exit status 0.
	errExitedCleanly = errors.New("exit status 0")
)

// runner plays one scenario. Fields that are neither atomic nor guarded by a mutex are used only by the goroutine that
// plays the scenario and by goroutines that it waits for.
type runner struct {
	options        Options
	layout         *fleet.Layout
	configurations *fleet.Configurations
	scratch        string         // temporary directory that holds the configuration files
	processes      *process.Group // child processes of the run
	run            *result.Run
	cancel         context.CancelCauseFunc // ends the run early, with the given cause

	registryWorker          *workerProcess
	endpointWorkers         []*workerProcess // workers that host endpoints
	simulatedSidecarWorkers []*workerProcess // workers that host simulated sidecars
	loadWorkers             []*workerProcess // workers that generate load; exactly one

	simulatedSidecars   [][]fleet.Sidecar // simulated sidecars of each worker, by index in simulatedSidecarWorkers
	endpointWorkerIndex map[string]int    // index in endpointWorkers, by endpoint name
	real                []*realSidecar
	incarnationsMu      sync.Mutex                    // guards incarnations
	incarnations        map[string]worker.Incarnation // current incarnation of each endpoint, by endpoint name
	configVersion       int                           // version of the configuration, from 1
	plannedRequests     int                           // sum of Counts.Planned in the load reports of earlier phases
	excludedFromLoad    map[string]bool               // names of the endpoints and real sidecars that get no load
	peakKB              atomic.Int64                  // peak resident memory of all processes, in KiB
	currentPhase        atomic.Pointer[string]        // name of the current phase, for the progress line
	stopping            atomic.Bool                   // set once all children are being stopped
	expectedMu          sync.Mutex                    // guards expectedExits
	expectedExits       map[*process.Child]bool       // children whose exit doesn't end the run
}

// Run plays a scenario. If the run ends early, Run returns both the results measured by then and an error with the
// reason: the cause of ctx, an exceeded limit, or a failure. It returns a nil run if the options are not valid.
func Run(ctx context.Context, options Options) (*result.Run, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, options.File.Limits.Duration.Std(), errDuration)
	defer cancelTimeout()
	r := newRunner(options, cancel)
	startedAt := time.Now()
	err := r.runScenario(ctx)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil {
		r.run.Stopped = err.Error()
	}
	r.run.Seconds = time.Since(startedAt).Seconds()
	r.run.PeakMemoryMB = float64(r.peakKB.Load()) / kbPerMB
	return r.run, err
}

func newRunner(options Options, cancel context.CancelCauseFunc) *runner {
	layout := fleet.New(options.File, options.Size)
	r := &runner{
		options:             options,
		layout:              layout,
		configurations:      &fleet.Configurations{File: options.File, Layout: layout, Seed: options.Seed},
		processes:           process.NewGroup(),
		cancel:              cancel,
		endpointWorkerIndex: map[string]int{},
		incarnations:        map[string]worker.Incarnation{},
		configVersion:       1,
		excludedFromLoad:    map[string]bool{},
		expectedExits:       map[*process.Child]bool{},
		run: &result.Run{
			Version:         result.Version,
			StartedAt:       time.Now().UTC(),
			Commit:          options.Commit,
			Machine:         describeMachine(),
			Scenario:        options.Name,
			Size:            options.Size,
			Play:            options.Play,
			Seed:            options.Seed,
			Options:         *options.File,
			ScenarioOptions: options.Scenario,
		},
	}
	r.setPhase("start")
	return r
}

// runScenario starts the fleet, plays the scenario, and stops every process that was started.
func (r *runner) runScenario(ctx context.Context) (err error) {
	if r.scratch, err = os.MkdirTemp(r.options.ScratchRoot, scratchPattern); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(r.scratch)) }()
	defer r.stopProcesses()
	monitorDone := make(chan struct{})
	go func() {
		defer close(monitorDone)
		r.monitor(ctx)
	}()
	defer func() {
		r.cancel(nil)
		<-monitorDone
	}()
	if err := r.startFleet(ctx); err != nil {
		return err
	}
	r.setPhase("settle")
	if err := pause(ctx, r.options.Scenario.Settle.Std()); err != nil {
		return err
	}
	if err := scenarios[r.options.Scenario.Kind](ctx, r); err != nil {
		return err
	}
	return r.finish(ctx)
}

// finish records the counts at the end of a complete run, and whether the run saturated the machine. It returns an
// error if a simulated sidecar failed.
func (r *runner) finish(ctx context.Context) error {
	r.setPhase("end")
	simulated, err := r.countSimulated(ctx)
	if err != nil {
		return err
	}
	r.run.End.Simulated = simulated
	if simulated.Failed > 0 {
		return fmt.Errorf("%d hollow sidecars failed; first failure: %s", simulated.Failed, simulated.FirstFailure)
	}
	for _, phase := range r.run.Phases {
		r.run.Saturated = r.run.Saturated || phase.NearDescriptorLimit || phase.MachineCPUShare > result.SaturationThreshold
	}
	return nil
}

// stopProcesses stops all child processes and kills those that have not exited after stopGrace.
func (r *runner) stopProcesses() {
	r.setPhase("stop")
	r.stopping.Store(true)
	r.processes.Stop(stopGrace)
}

// setPhase sets the phase that progress lines name.
func (r *runner) setPhase(phase string) { r.currentPhase.Store(&phase) }

// pause waits for a duration. If ctx is done before or during the wait, pause returns the cause of ctx at once.
func pause(ctx context.Context, duration time.Duration) error {
	system.Sleep(ctx, duration)
	return context.Cause(ctx)
}

// simulatedCount returns the number of simulated sidecars.
func (r *runner) simulatedCount() int { return r.options.Size.Sidecars - len(r.real) }

// scenarioFile returns the scenario file.
func (r *runner) scenarioFile() *spec.File { return r.options.File }
