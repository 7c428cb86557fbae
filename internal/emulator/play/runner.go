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
	stopGrace      = 8 * time.Second // for children to exit before they are killed
	scratchPattern = "oakproxy-emulator-*"
)

// Causes for which a run ends early.
var (
	errDuration = errors.New("the run took longer than limits.duration")
	errMemory   = errors.New("the run's processes held more than limits.memory_mb")
	// errExitedCleanly is the cause where a child exits unexpectedly and without an error.
	errExitedCleanly = errors.New("exit status 0")
)

// runner plays one scenario. Its fields are for the goroutine that plays it unless a lock or an atomic guards them.
type runner struct {
	options        Options
	layout         *fleet.Layout
	configurations *fleet.Configurations
	scratch        string // holds the configuration files
	group          *process.Group
	run            *result.Run
	cancel         context.CancelCauseFunc // ends the run for a reason

	registry        *workerProcess
	endpointWorkers []*workerProcess // that host endpoints
	sidecarWorkers  []*workerProcess // that host simulated sidecars
	generators      []*workerProcess // of load; exactly one

	simulated        [][]fleet.Sidecar // by worker
	endpointWorkerOf map[string]int    // index by endpoint name
	real             []*realSidecar
	incarnationsMu   sync.Mutex
	incarnations     map[string]worker.Incarnation // by endpoint name
	version          int                           // of the configuration
	requests         int                           // sent so far
	excluded         map[string]bool               // names of endpoints and real sidecars that get no load
	peakKB           atomic.Int64
	phase            atomic.Pointer[string] // for the progress line
	stopping         atomic.Bool
	expectedMu       sync.Mutex
	expectedExits    map[*process.Child]bool
}

// Run plays a scenario. If the run ends early, it returns both what was measured by then and an error that
// says why: the cause of ctx, an exceeded limit, or a failure.
func Run(ctx context.Context, options Options) (*result.Run, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, options.File.Limits.Duration.Std(), errDuration)
	defer cancelTimeout()
	r := newRunner(options, cancel)
	started := time.Now()
	err := r.runScenario(ctx)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil {
		r.run.Stopped = err.Error()
	}
	r.run.Seconds = time.Since(started).Seconds()
	r.run.PeakMemoryMB = float64(r.peakKB.Load()) / kbPerMB
	return r.run, err
}

func newRunner(options Options, cancel context.CancelCauseFunc) *runner {
	layout := fleet.New(options.File, options.Size)
	r := &runner{
		options:          options,
		layout:           layout,
		configurations:   &fleet.Configurations{File: options.File, Layout: layout, Seed: options.Seed},
		group:            process.NewGroup(),
		cancel:           cancel,
		endpointWorkerOf: map[string]int{},
		incarnations:     map[string]worker.Incarnation{},
		version:          1,
		excluded:         map[string]bool{},
		expectedExits:    map[*process.Child]bool{},
		run: &result.Run{
			Version:         result.Version,
			StartedAt:       time.Now().UTC(),
			Commit:          options.Commit,
			Machine:         machine(),
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

// runScenario starts the fleet, plays the scenario, and stops all that was started.
func (r *runner) runScenario(ctx context.Context) (err error) {
	if r.scratch, err = os.MkdirTemp(r.options.ScratchRoot, scratchPattern); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(r.scratch)) }()
	defer r.stop()
	monitoring := make(chan struct{})
	go func() {
		defer close(monitoring)
		r.monitor(ctx)
	}()
	defer func() {
		r.cancel(nil)
		<-monitoring
	}()
	if err := r.start(ctx); err != nil {
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

// finish records the results of the complete run.
func (r *runner) finish(ctx context.Context) error {
	r.setPhase("end")
	simulated, err := r.countSimulated(ctx)
	if err != nil {
		return err
	}
	r.run.End.Simulated = simulated
	if simulated.Failed > 0 {
		return fmt.Errorf("%d hollow sidecars failed, the first: %s", simulated.Failed, simulated.FirstFailure)
	}
	for _, phase := range r.run.Phases {
		r.run.Saturated = r.run.Saturated || phase.OutOfDescriptors || phase.MachineCPUShare > result.SaturationThreshold
	}
	return nil
}

// stop stops all processes.
func (r *runner) stop() {
	r.setPhase("stop")
	r.stopping.Store(true)
	r.group.Stop(stopGrace)
}

// setPhase sets the phase for the progress line.
func (r *runner) setPhase(phase string) { r.phase.Store(&phase) }

// pause waits for a duration. It returns the cause of ctx if that is done by then.
func pause(ctx context.Context, duration time.Duration) error {
	system.Sleep(ctx, duration)
	return context.Cause(ctx)
}

// simulatedCount returns the number of simulated sidecars.
func (r *runner) simulatedCount() int { return r.options.Size.Sidecars - len(r.real) }

// spec returns the scenario file.
func (r *runner) spec() *spec.File { return r.options.File }
