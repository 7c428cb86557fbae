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

// prepareSidecars chooses the addresses of real sidecars and the workers of simulated ones, and writes all
// configuration files.
func (r *runner) prepareSidecars() error {
	perWorker := r.spec().Fleet.SimulatedPerWorker
	for _, s := range r.layout.Sidecars {
		if s.Real {
			listen, err := freeAddress(len(r.real))
			if err != nil {
				return err
			}
			r.real = append(r.real, &realSidecar{Sidecar: s, listen: listen, path: r.configPath(s)})
			continue
		}
		if last := len(r.simulated) - 1; last < 0 || len(r.simulated[last]) == perWorker {
			r.simulated = append(r.simulated, nil)
		}
		last := len(r.simulated) - 1
		r.simulated[last] = append(r.simulated[last], s)
	}
	_, err := r.writeConfigs()
	return err
}

// startSidecars starts all sidecars evenly over limits.start_spread, scaled by the size of the fleet, and
// waits until they are ready.
func (r *runner) startSidecars(ctx context.Context) error {
	var err error
	if r.sidecarWorkers, err = r.startWorkers(worker.SidecarsRole, len(r.simulated)); err != nil {
		return err
	}
	var before, after registry.Counts
	if err := r.registry.Call(ctx, worker.CountRegistry, control.Empty{}, &before); err != nil {
		return err
	}
	start := time.Now()
	duration := r.spec().Limits.StartSpread.Std() * time.Duration(r.options.Size.Sidecars) / largestSize
	startup, err := r.startSidecarSet(ctx, r.real, r.simulated, duration)
	if err != nil {
		return err
	}
	elapsed := time.Since(start)
	if err := r.registry.Call(ctx, worker.CountRegistry, control.Empty{}, &after); err != nil {
		return err
	}
	r.run.Startup = result.Startup{Seconds: elapsed.Seconds(), RealReady: startup.real, SimulatedReady: startup.simulated,
		Discovery: after.Since(before)}
	if startup.simulated.Missing > 0 {
		return errors.New("not all hollow sidecars are ready within limits.ready")
	}
	return nil
}

// startupTimes are the times from the sidecars' starts to their being ready.
type startupTimes struct{ real, simulated result.Distribution }

// startSidecarSet starts real sidecars, and simulated ones by worker, each evenly over a duration, and waits
// until they are ready.
func (r *runner) startSidecarSet(
	ctx context.Context, realSidecars []*realSidecar, byWorker [][]fleet.Sidecar, over time.Duration,
) (startupTimes, error) {
	var times startupTimes
	var realErr, simulatedErr error
	var starting sync.WaitGroup
	starting.Add(2)
	go func() {
		defer starting.Done()
		times.real, realErr = r.startAllReal(ctx, realSidecars, over)
	}()
	go func() {
		defer starting.Done()
		times.simulated, simulatedErr = r.startSimulated(ctx, byWorker, over)
	}()
	starting.Wait()
	return times, errors.Join(realErr, simulatedErr)
}

// startAllReal starts real sidecars evenly over a duration, and waits until they are ready.
func (r *runner) startAllReal(
	ctx context.Context, sidecars []*realSidecar, over time.Duration,
) (result.Distribution, error) {
	ctx, cancel := context.WithTimeout(ctx, over+r.spec().Limits.Ready.Std())
	defer cancel()
	times := make([]time.Duration, len(sidecars))
	failures := make([]error, len(sidecars))
	var starting sync.WaitGroup
	for i, s := range sidecars {
		starting.Add(1)
		go func() {
			defer starting.Done()
			times[i], failures[i] = r.startRealAfter(ctx, s, over*time.Duration(i)/time.Duration(len(sidecars)))
		}()
	}
	starting.Wait()
	ready := result.NewDistribution("from a real sidecar's start to its being ready", len(sidecars), times)
	return ready, errors.Join(failures...)
}

// startRealAfter starts a real sidecar after a delay, and returns how long it took to be ready.
func (r *runner) startRealAfter(ctx context.Context, s *realSidecar, delay time.Duration) (time.Duration, error) {
	if err := pause(ctx, delay); err != nil {
		return 0, err
	}
	if err := r.startReal(s); err != nil {
		return 0, err
	}
	return s.awaitReady(ctx)
}

// startSimulated starts simulated sidecars, given by worker, and waits until they are ready.
func (r *runner) startSimulated(
	ctx context.Context, byWorker [][]fleet.Sidecar, over time.Duration,
) (result.Distribution, error) {
	var workers []*workerProcess
	var starts []worker.Sidecars
	var awaits []worker.AwaitRequest
	count := 0
	for i, group := range byWorker {
		if len(group) == 0 {
			continue
		}
		start := worker.Sidecars{Over: over}
		await := worker.AwaitRequest{Timeout: r.spec().Limits.Ready.Std()}
		for _, s := range group {
			start.Files = append(start.Files, worker.SidecarFile{Name: s.Name, Path: r.configPath(s)})
			await.Names = append(await.Names, s.Name)
		}
		workers = append(workers, r.sidecarWorkers[i])
		starts, awaits = append(starts, start), append(awaits, await)
		count += len(group)
	}
	if _, err := callEach[control.Empty](ctx, workers, worker.StartSidecars, starts); err != nil {
		return result.Distribution{}, err
	}
	ready, err := callEach[worker.Completions](ctx, workers, worker.AwaitReady, awaits)
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
