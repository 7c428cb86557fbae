package play

import (
	"context"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/worker"
)

// startEndpoints starts the endpoints and lists them in discovery.
func (r *runner) startEndpoints(ctx context.Context) error {
	requests := r.assignEndpoints()
	var err error
	if r.endpointWorkers, err = r.startWorkers(worker.EndpointsRole, len(requests)); err != nil {
		return err
	}
	started, err := callEach[worker.Incarnations](ctx, r.endpointWorkers, worker.StartEndpoints, requests)
	if err != nil {
		return err
	}
	r.recordIncarnations(started)
	list := worker.Instances{Instances: r.instances(r.layout.Endpoints, registry.Ready)}
	return r.registry.Call(ctx, worker.SetInstances, list, nil)
}

// assignEndpoints assigns the endpoints to workers, and returns what each worker has to start.
func (r *runner) assignEndpoints() []worker.EndpointConfigs {
	perWorker := r.spec().Fleet.EndpointsPerWorker
	requests := make([]worker.EndpointConfigs, (len(r.layout.Endpoints)+perWorker-1)/perWorker)
	for i, e := range r.layout.Endpoints {
		index := i % len(requests)
		r.endpointWorkerOf[e.Name] = index
		requests[index].Configs = append(requests[index].Configs, r.layout.Config(e, r.spec()))
	}
	return requests
}

// recordIncarnations records where endpoints are reached.
func (r *runner) recordIncarnations(all []worker.Incarnations) {
	r.incarnationsMu.Lock()
	defer r.incarnationsMu.Unlock()
	for _, one := range all {
		for _, incarnation := range one.Endpoints {
			r.incarnations[incarnation.Name] = incarnation
		}
	}
}

// instances returns the entries of endpoints in discovery's list.
func (r *runner) instances(endpoints []fleet.Endpoint, health string) []registry.Instance {
	r.incarnationsMu.Lock()
	defer r.incarnationsMu.Unlock()
	list := make([]registry.Instance, len(endpoints))
	for i, e := range endpoints {
		incarnation := r.incarnations[e.Name]
		list[i] = r.layout.Instance(e, incarnation.Address, health, incarnation.StartedMS)
	}
	return list
}

// applyAction applies an action to endpoints, and records their new incarnations.
func (r *runner) applyAction(ctx context.Context, action worker.Action, endpoints []fleet.Endpoint) error {
	namesByWorker := make([][]string, len(r.endpointWorkers))
	for _, e := range endpoints {
		index := r.endpointWorkerOf[e.Name]
		namesByWorker[index] = append(namesByWorker[index], e.Name)
	}
	var workers []*workerProcess
	var requests []worker.EndpointAction
	for index, names := range namesByWorker {
		if len(names) > 0 {
			workers = append(workers, r.endpointWorkers[index])
			requests = append(requests, worker.EndpointAction{Action: action, Names: names})
		}
	}
	incarnations, err := callEach[worker.Incarnations](ctx, workers, worker.ActOnEndpoints, requests)
	r.recordIncarnations(incarnations)
	return err
}

// announce updates endpoints in discovery's list, and returns the version with the update.
func (r *runner) announce(ctx context.Context, endpoints []fleet.Endpoint, health string) (worker.ListVersion, error) {
	var version worker.ListVersion
	update := worker.Instances{Instances: r.instances(endpoints, health)}
	err := r.registry.Call(ctx, worker.UpdateInstances, update, &version)
	return version, err
}

// addresses returns the addresses of the endpoints that get load.
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
