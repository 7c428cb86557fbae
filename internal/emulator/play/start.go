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

const (
	largestSize     = 860 // sidecars, for which limits.start_spread is given
	simulatedListen = "127.0.0.1:0"
)

// start brings the fleet up: discovery, endpoints, then the sidecars.
func (r *runner) start(ctx context.Context) error {
	if err := r.startRegistry(ctx); err != nil {
		return err
	}
	if err := r.startEndpoints(ctx); err != nil {
		return err
	}
	if err := r.prepareSidecars(); err != nil {
		return err
	}
	var err error
	if r.generators, err = r.startWorkers(worker.LoadRole, 1); err != nil {
		return err
	}
	r.setPhase("sidecars start")
	return r.startSidecars(ctx)
}

func (r *runner) startRegistry(ctx context.Context) error {
	var err error
	if r.registry, err = r.startWorker(worker.RegistryRole); err != nil {
		return err
	}
	options := r.spec().Registry
	var at worker.RegistryAddress
	err = r.registry.Call(ctx, worker.StartRegistry, worker.RegistryOptions{
		CallsPerSecond: options.CallsPerSecond,
		MaxQueueDelay:  options.MaxQueueDelay.Std(),
		History:        options.History,
		Scratch:        r.scratch,
	}, &at)
	r.configurations.Discovery = at.Address
	return err
}

// startEndpoints starts the endpoints, and tells discovery of them.
func (r *runner) startEndpoints(ctx context.Context) error {
	asked := r.assignEndpoints()
	var err error
	if r.endpointWorkers, err = r.startWorkers(worker.EndpointsRole, len(asked)); err != nil {
		return err
	}
	started, err := callEach[worker.EndpointConfigs, worker.Incarnations](ctx, r.endpointWorkers, worker.StartEndpoints, asked)
	if err != nil {
		return err
	}
	r.recordIncarnations(started)
	list := worker.Instances{Instances: r.instances(r.layout.Endpoints, registry.Ready)}
	return r.registry.Call(ctx, worker.SetInstances, list, nil)
}

// assignEndpoints spreads the endpoints over workers, and returns what each is to start.
func (r *runner) assignEndpoints() []worker.EndpointConfigs {
	perWorker := r.spec().Fleet.EndpointsPerWorker
	asked := make([]worker.EndpointConfigs, (len(r.layout.Endpoints)+perWorker-1)/perWorker)
	for i, e := range r.layout.Endpoints {
		stand := i % len(asked)
		r.endpointWorkerOf[e.Name] = stand
		asked[stand].Configs = append(asked[stand].Configs, r.layout.Config(e, r.spec()))
	}
	return asked
}

// recordIncarnations takes up where endpoints are reached.
func (r *runner) recordIncarnations(all []worker.Incarnations) {
	r.incarnationsMu.Lock()
	defer r.incarnationsMu.Unlock()
	for _, some := range all {
		for _, life := range some.Endpoints {
			r.incarnations[life.Name] = life
		}
	}
}

// instances returns what discovery is to tell of endpoints.
func (r *runner) instances(of []fleet.Endpoint, health string) []registry.Instance {
	r.incarnationsMu.Lock()
	defer r.incarnationsMu.Unlock()
	list := make([]registry.Instance, len(of))
	for i, e := range of {
		life := r.incarnations[e.Name]
		list[i] = r.layout.Instance(e, life.Address, health, life.StartedMS)
	}
	return list
}

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

// applyAction does something to endpoints, and takes up what has changed.
func (r *runner) applyAction(ctx context.Context, action worker.Action, of []fleet.Endpoint) error {
	names := make([][]string, len(r.endpointWorkers))
	for _, e := range of {
		stand := r.endpointWorkerOf[e.Name]
		names[stand] = append(names[stand], e.Name)
	}
	var stands []*workerProcess
	var asked []worker.EndpointAction
	for stand, some := range names {
		if len(some) > 0 {
			stands = append(stands, r.endpointWorkers[stand])
			asked = append(asked, worker.EndpointAction{Action: action, Names: some})
		}
	}
	lives, err := callEach[worker.EndpointAction, worker.Incarnations](ctx, stands, worker.ActOnEndpoints, asked)
	r.recordIncarnations(lives)
	return err
}

// announce tells discovery of endpoints, and returns the version that tells it.
func (r *runner) announce(ctx context.Context, of []fleet.Endpoint, health string) (worker.ListVersion, error) {
	var version worker.ListVersion
	err := r.registry.Call(ctx, worker.UpdateInstances, worker.Instances{Instances: r.instances(of, health)}, &version)
	return version, err
}

// addresses returns where endpoints that get load are reached.
func (r *runner) addresses() []string {
	r.incarnationsMu.Lock()
	defer r.incarnationsMu.Unlock()
	var all []string
	for _, e := range r.layout.Endpoints {
		if !r.excluded[e.Name] {
			all = append(all, r.incarnations[e.Name].Address)
		}
	}
	return all
}
