package play

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/worker"
)

// prepareSidecars chooses addresses and hosts, and writes the configuration files.
func (r *runner) prepareSidecars() error {
	perHost := r.spec().Fleet.SimulatedPerWorker
	for _, s := range r.layout.Sidecars {
		if s.Real {
			listen, err := reserveAddress(len(r.real))
			if err != nil {
				return err
			}
			r.real = append(r.real, &realSidecar{Sidecar: s, listen: listen, path: r.configPath(s)})
			continue
		}
		if last := len(r.simulated) - 1; last < 0 || len(r.simulated[last]) == perHost {
			r.simulated = append(r.simulated, nil)
		}
		last := len(r.simulated) - 1
		r.simulated[last] = append(r.simulated[last], s)
	}
	_, err := r.writeConfigs()
	return err
}

// configPath returns where a sidecar's configuration file is.
func (r *runner) configPath(s fleet.Sidecar) string { return filepath.Join(r.scratch, s.Name+".json") }

// writeConfig puts the configuration's present version in place of a sidecar's file, at once.
func (r *runner) writeConfig(s fleet.Sidecar, listen string) (int, error) {
	text, err := r.configurations.Encode(s, listen, r.version)
	if err != nil {
		return 0, err
	}
	path := r.configPath(s)
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return 0, err
	}
	return len(text), os.Rename(next, path)
}

// startSidecars starts all sidecars over the same time, and waits until they are ready.
func (r *runner) startSidecars(ctx context.Context) error {
	var err error
	if r.sidecarWorkers, err = r.startWorkers(worker.SidecarsRole, len(r.simulated)); err != nil {
		return err
	}
	var before, after registry.Counts
	if err := r.registry.Call(ctx, worker.CountRegistry, control.Empty{}, &before); err != nil {
		return err
	}
	began := time.Now()
	spread := r.spec().Limits.StartSpread.Std() * time.Duration(r.options.Size.Sidecars) / largestSize
	real, hollow, err := r.startSidecarSet(ctx, r.real, r.simulated, spread)
	if err != nil {
		return err
	}
	took := time.Since(began)
	if err := r.registry.Call(ctx, worker.CountRegistry, control.Empty{}, &after); err != nil {
		return err
	}
	r.run.Startup = result.Startup{Seconds: took.Seconds(), RealReady: real, SimulatedReady: hollow,
		Discovery: after.Since(before)}
	if hollow.Missing > 0 {
		return errors.New("not all hollow sidecars are ready within limits.ready")
	}
	return nil
}

// startSidecarSet starts real sidecars, and hollow ones by host, over the same time, and waits until
// they are ready.
func (r *runner) startSidecarSet(ctx context.Context, realOnes []*realSidecar, byHost [][]fleet.Sidecar, spread time.Duration) (real, hollow result.Distribution, err error) {
	var realErr, hollowErr error
	var starting sync.WaitGroup
	starting.Add(2)
	go func() {
		defer starting.Done()
		real, realErr = r.startAllReal(ctx, realOnes, spread)
	}()
	go func() {
		defer starting.Done()
		hollow, hollowErr = r.startSimulated(ctx, byHost, spread)
	}()
	starting.Wait()
	return real, hollow, errors.Join(realErr, hollowErr)
}

// startAllReal starts real sidecars evenly over a time, and waits until they are ready.
func (r *runner) startAllReal(ctx context.Context, of []*realSidecar, spread time.Duration) (result.Distribution, error) {
	ctx, cancel := context.WithTimeout(ctx, spread+r.spec().Limits.Ready.Std())
	defer cancel()
	took := make([]time.Duration, len(of))
	failures := make([]error, len(of))
	var starting sync.WaitGroup
	for i, s := range of {
		starting.Add(1)
		go func() {
			defer starting.Done()
			took[i], failures[i] = r.startRealAfter(ctx, s, spread*time.Duration(i)/time.Duration(len(of)))
		}()
	}
	starting.Wait()
	return result.NewDistribution("from a real sidecar's start to its being ready", len(of), took), errors.Join(failures...)
}

// startRealAfter starts a real sidecar after a while, and returns how long it takes to be ready.
func (r *runner) startRealAfter(ctx context.Context, s *realSidecar, wait time.Duration) (time.Duration, error) {
	if err := pause(ctx, wait); err != nil {
		return 0, err
	}
	if err := r.startReal(s); err != nil {
		return 0, err
	}
	return s.awaitReady(ctx)
}

// startSimulated starts hollow sidecars, given by host, and waits until they are ready.
func (r *runner) startSimulated(ctx context.Context, byHost [][]fleet.Sidecar, spread time.Duration) (result.Distribution, error) {
	starts := make([]worker.Sidecars, len(byHost))
	awaits := make([]worker.Await, len(byHost))
	count := 0
	var hosts []*workerProcess
	for i, some := range byHost {
		if len(some) == 0 {
			continue
		}
		n := len(hosts)
		hosts = append(hosts, r.sidecarWorkers[i])
		starts[n].Over = spread
		awaits[n].Timeout = r.spec().Limits.Ready.Std()
		for _, s := range some {
			starts[n].Files = append(starts[n].Files, worker.SidecarFile{Name: s.Name, Path: r.configPath(s)})
			awaits[n].Names = append(awaits[n].Names, s.Name)
			count++
		}
	}
	if _, err := callEach[worker.Sidecars, control.Empty](ctx, hosts, worker.StartSidecars, starts); err != nil {
		return result.Distribution{}, err
	}
	ready, err := callEach[worker.Await, worker.Completions](ctx, hosts, worker.AwaitReady, awaits)
	if err != nil {
		return result.Distribution{}, err
	}
	var took []time.Duration
	for _, some := range ready {
		for _, arrival := range some.Completed {
			took = append(took, arrival.At.Sub(arrival.StartedAt))
		}
	}
	return result.NewDistribution("from a hollow sidecar's start to its being ready", count, took), nil
}
