package play

import (
	"context"

	"oakproxy/internal/emulator/worker"
)

const (
	largestSize     = 860 // sidecars; limits.start_spread is for this size
	simulatedListen = "127.0.0.1:0"
)

// start starts the fleet: discovery, endpoints, then the sidecars.
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
	var started worker.RegistryAddress
	err = r.registry.Call(ctx, worker.StartRegistry, worker.RegistryOptions{
		CallsPerSecond: options.CallsPerSecond,
		MaxQueueDelay:  options.MaxQueueDelay.Std(),
		History:        options.History,
		Scratch:        r.scratch,
	}, &started)
	r.configurations.Discovery = started.Address
	return err
}
