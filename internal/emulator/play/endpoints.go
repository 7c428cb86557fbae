package play

import (
	"context"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/worker"
)

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
