package play

import (
	"context"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/worker"
)

// startEndpoints starts the workers that host endpoints, starts all endpoints in them, and sets discovery's endpoint
// list.
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
	return r.registryWorker.Call(ctx, worker.SetInstances, list, nil)
}

// assignEndpoints assigns the endpoints to workers round-robin, and returns the configurations of the endpoints that
// each worker has to start.
func (r *runner) assignEndpoints() []worker.EndpointConfigs {
	perWorker := r.scenarioFile().Fleet.EndpointsPerWorker
	requests := make([]worker.EndpointConfigs, (len(r.layout.Endpoints)+perWorker-1)/perWorker)
	for i, e := range r.layout.Endpoints {
		index := i % len(requests)
		r.endpointWorkerIndex[e.Name] = index
		requests[index].Configs = append(requests[index].Configs, r.layout.EndpointConfig(e, r.scenarioFile()))
	}
	return requests
}

// recordIncarnations records the addresses and start times of endpoints that workers have reported.
func (r *runner) recordIncarnations(responses []worker.Incarnations) {
	r.incarnationsMu.Lock()
	defer r.incarnationsMu.Unlock()
	for _, response := range responses {
		for _, incarnation := range response.Endpoints {
			r.incarnations[incarnation.Name] = incarnation
		}
	}
}

// instances returns entries for discovery's endpoint list: the given endpoints with their current addresses and the
// given health.
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

// applyAction makes the workers of the given endpoints apply an action to them, and records the addresses and start
// times that the endpoints have after the action.
func (r *runner) applyAction(ctx context.Context, action worker.Action, endpoints []fleet.Endpoint) error {
	namesByWorker := make([][]string, len(r.endpointWorkers))
	for _, e := range endpoints {
		index := r.endpointWorkerIndex[e.Name]
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

// announce sets the given health in the entries of endpoints in discovery's endpoint list, and returns the version of
// the list that contains the update.
func (r *runner) announce(ctx context.Context, endpoints []fleet.Endpoint, health string) (worker.ListVersion, error) {
	var version worker.ListVersion
	update := worker.Instances{Instances: r.instances(endpoints, health)}
	err := r.registryWorker.Call(ctx, worker.UpdateInstances, update, &version)
	return version, err
}

// directTargets returns the addresses of the endpoints that receive direct load: all but those excluded from load.
func (r *runner) directTargets() []string {
	r.incarnationsMu.Lock()
	defer r.incarnationsMu.Unlock()
	var targets []string
	for _, e := range r.layout.Endpoints {
		if !r.excludedFromLoad[e.Name] {
			targets = append(targets, r.incarnations[e.Name].Address)
		}
	}
	return targets
}
