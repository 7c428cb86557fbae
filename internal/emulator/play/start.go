package play

import (
	"context"

	"oakproxy/internal/emulator/worker"
)

const (
	// startSpreadFleetSize is the size of a fleet, in sidecars, whose starts are spread over exactly
	// limits.start_spread. For other fleets, the time is proportional to the number of sidecars.
	startSpreadFleetSize   = 860
	simulatedListenAddress = "127.0.0.1:0" // port 0 lets the system choose the port
)

// startFleet starts the discovery server, the endpoints, the load generator and then the sidecars.
func (r *runner) startFleet(ctx context.Context) error {
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
	if r.loadWorkers, err = r.startWorkers(worker.LoadRole, 1); err != nil {
		return err
	}
	r.setPhase("sidecars start")
	return r.startSidecars(ctx)
}

// startRegistry starts the discovery server in a worker, and sets its address in the sidecars' configurations.
func (r *runner) startRegistry(ctx context.Context) error {
	var err error
	if r.registryWorker, err = r.startWorker(worker.RegistryRole); err != nil {
		return err
	}
	options := r.scenarioFile().Registry
	var started worker.RegistryAddress
	err = r.registryWorker.Call(ctx, worker.StartRegistry, worker.RegistryOptions{
		CallsPerSecond: options.CallsPerSecond,
		MaxQueueDelay:  options.MaxQueueDelay.Std(),
		History:        options.History,
		Scratch:        r.scratch,
	}, &started)
	r.configurations.Discovery = started.Address
	return err
}
