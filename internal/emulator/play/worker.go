package play

import (
	"context"
	"errors"
	"sync"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/worker"
)

// workerProcess is a worker process and the client that sends requests to it.
type workerProcess struct {
	*control.Client
	child *process.Child
}

// startWorker starts a worker process of a role. An unexpected exit of the process ends the run.
func (r *runner) startWorker(role worker.Role) (*workerProcess, error) {
	arguments := append(append([]string(nil), r.options.Emulator.Arguments...), string(role))
	child, err := r.processes.Start(process.Program{
		Name:        string(role) + " worker",
		Path:        r.options.Emulator.Path,
		Arguments:   arguments,
		Environment: r.options.Emulator.Environment,
		Piped:       true,
	})
	if err != nil {
		return nil, err
	}
	r.watchForExit(child)
	return &workerProcess{control.NewClient(child.Output, child.Input), child}, nil
}

// startWorkers starts count worker processes of a role.
func (r *runner) startWorkers(role worker.Role, count int) ([]*workerProcess, error) {
	workers := make([]*workerProcess, count)
	for i := range workers {
		var err error
		if workers[i], err = r.startWorker(role); err != nil {
			return nil, err
		}
	}
	return workers, nil
}

// callEach sends a request to several workers concurrently, with a different body for each. Bodies and responses are in
// the order of the workers; the error joins all failures.
func callEach[Response, Request any](
	ctx context.Context, workers []*workerProcess, kind control.Kind, bodies []Request,
) ([]Response, error) {
	responses := make([]Response, len(workers))
	failures := make([]error, len(workers))
	var calls sync.WaitGroup
	for i, w := range workers {
		calls.Add(1)
		go func() {
			defer calls.Done()
			failures[i] = w.Call(ctx, kind, bodies[i], &responses[i])
		}()
	}
	calls.Wait()
	return responses, errors.Join(failures...)
}

// callAll sends a request with the same body to several workers concurrently, as callEach does.
func callAll[Response, Request any](
	ctx context.Context, workers []*workerProcess, kind control.Kind, body Request,
) ([]Response, error) {
	bodies := make([]Request, len(workers))
	for i := range bodies {
		bodies[i] = body
	}
	return callEach[Response](ctx, workers, kind, bodies)
}
