package play

import (
	"context"
	"errors"
	"sync"
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// prepareSidecars chooses the addresses of real sidecars, assigns simulated sidecars to workers, and writes all
// configuration files.
func (r *runner) prepareSidecars() error {
	perWorker := r.scenarioFile().Fleet.SimulatedPerWorker
	for _, s := range r.layout.Sidecars {
		if s.Real {
			listen, err := freeAddress(len(r.real))
			if err != nil {
				return err
			}
			r.real = append(r.real, &realSidecar{Sidecar: s, listenAddress: listen, configPath: r.configPath(s)})
			continue
		}
		if last := len(r.simulatedSidecars) - 1; last < 0 || len(r.simulatedSidecars[last]) == perWorker {
			r.simulatedSidecars = append(r.simulatedSidecars, nil)
		}
		last := len(r.simulatedSidecars) - 1
		r.simulatedSidecars[last] = append(r.simulatedSidecars[last], s)
	}
	_, err := r.writeConfigs()
	return err
}

// startSidecars starts all sidecars and waits until they are ready. The starts are spread evenly over
// limits.start_spread * sidecars / startSpreadFleetSize, where sidecars is the number of sidecars.
func (r *runner) startSidecars(ctx context.Context) error {
	var err error
	if r.simulatedSidecarWorkers, err = r.startWorkers(worker.SidecarsRole, len(r.simulatedSidecars)); err != nil {
		return err
	}
	var before, after registry.Counts
	if err := r.registryWorker.Call(ctx, worker.CountRegistry, control.Empty{}, &before); err != nil {
		return err
	}
	startedAt := time.Now()
	startSpread := r.scenarioFile().Limits.StartSpread.Std() *
		time.Duration(r.options.Size.Sidecars) / startSpreadFleetSize
	startup, err := r.startSidecarSet(ctx, r.real, r.simulatedSidecars, startSpread)
	if err != nil {
		return err
	}
	elapsed := time.Since(startedAt)
	if err := r.registryWorker.Call(ctx, worker.CountRegistry, control.Empty{}, &after); err != nil {
		return err
	}
	r.run.Startup = result.Startup{Seconds: elapsed.Seconds(), RealReady: startup.real, SimulatedReady: startup.simulated,
		Discovery: after.Since(before)}
	if startup.simulated.Missing > 0 {
		return errors.New("not all hollow sidecars became ready within limits.ready")
	}
	return nil
}

// startupTimes are the distributions of the times from a sidecar's start until it is ready.
type startupTimes struct{ real, simulated result.Distribution }

// startSidecarSet starts real sidecars and simulated sidecars at the same time, and waits until they are ready. The
// starts of each of the two groups are spread evenly over startSpread. byWorker holds the simulated sidecars of each
// worker.
func (r *runner) startSidecarSet(
	ctx context.Context, realSidecars []*realSidecar, byWorker [][]fleet.Sidecar, startSpread time.Duration,
) (startupTimes, error) {
	var times startupTimes
	var realErr, simulatedErr error
	var starting sync.WaitGroup
	starting.Add(2)
	go func() {
		defer starting.Done()
		times.real, realErr = r.startRealSidecars(ctx, realSidecars, startSpread)
	}()
	go func() {
		defer starting.Done()
		times.simulated, simulatedErr = r.startSimulatedSidecars(ctx, byWorker, startSpread)
	}()
	starting.Wait()
	return times, errors.Join(realErr, simulatedErr)
}

// startRealSidecars starts real sidecars evenly over startSpread, and waits until they are ready. It returns an error
// if one is not ready when startSpread + limits.ready has passed.
func (r *runner) startRealSidecars(
	ctx context.Context, sidecars []*realSidecar, startSpread time.Duration,
) (result.Distribution, error) {
	ctx, cancel := context.WithTimeout(ctx, startSpread+r.scenarioFile().Limits.ReadyTimeout.Std())
	defer cancel()
	times := make([]time.Duration, len(sidecars))
	failures := make([]error, len(sidecars))
	var starting sync.WaitGroup
	for i, s := range sidecars {
		starting.Add(1)
		go func() {
			defer starting.Done()
			times[i], failures[i] = r.startRealSidecarAfter(ctx, s, startSpread*time.Duration(i)/time.Duration(len(sidecars)))
		}()
	}
	starting.Wait()
	ready := result.NewDistribution("from a real sidecar's start to its being ready", len(sidecars), times)
	return ready, errors.Join(failures...)
}

// startRealSidecarAfter starts a real sidecar after a delay, and returns the time from its start until it was ready.
func (r *runner) startRealSidecarAfter(
	ctx context.Context, s *realSidecar, delay time.Duration,
) (time.Duration, error) {
	if err := pause(ctx, delay); err != nil {
		return 0, err
	}
	if err := r.startRealSidecar(s); err != nil {
		return 0, err
	}
	return s.awaitReady(ctx)
}

// startSimulatedSidecars starts simulated sidecars evenly over startSpread, and waits until they are ready. byWorker
// holds the sidecars of each worker. Sidecars that are not ready within limits.ready are recorded as missing.
func (r *runner) startSimulatedSidecars(
	ctx context.Context, byWorker [][]fleet.Sidecar, startSpread time.Duration,
) (result.Distribution, error) {
	var workers []*workerProcess
	var startRequests []worker.Sidecars
	var awaitRequests []worker.AwaitRequest
	count := 0
	for i, group := range byWorker {
		if len(group) == 0 {
			continue
		}
		startRequest := worker.Sidecars{Over: startSpread}
		awaitRequest := worker.AwaitRequest{Timeout: r.scenarioFile().Limits.ReadyTimeout.Std()}
		for _, s := range group {
			startRequest.Files = append(startRequest.Files, worker.SidecarFile{Name: s.Name, Path: r.configPath(s)})
			awaitRequest.Names = append(awaitRequest.Names, s.Name)
		}
		workers = append(workers, r.simulatedSidecarWorkers[i])
		startRequests, awaitRequests = append(startRequests, startRequest), append(awaitRequests, awaitRequest)
		count += len(group)
	}
	if _, err := callEach[control.Empty](ctx, workers, worker.StartSidecars, startRequests); err != nil {
		return result.Distribution{}, err
	}
	ready, err := callEach[worker.Completions](ctx, workers, worker.AwaitReady, awaitRequests)
	if err != nil {
		return result.Distribution{}, err
	}
	var times []time.Duration
	for _, completions := range ready {
		for _, completion := range completions.Completed {
			times = append(times, completion.At.Sub(completion.StartedAt))
		}
	}
	return result.NewDistribution("from a hollow sidecar's start to its being ready", count, times), nil
}
