package worker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/endpoint"
)

// endpointService implements the endpoints role: it hosts some of the endpoints of the fleet.
type endpointService struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint.Endpoint // endpoints by name
	names     []string                      // names of the endpoints, in the order in which they were started
}

func newEndpointService() *endpointService {
	return &endpointService{endpoints: map[string]*endpoint.Endpoint{}}
}

func (s *endpointService) handlers() control.Handlers {
	return control.Handlers{
		StartEndpoints: control.Handle(s.start),
		ActOnEndpoints: control.Handle(s.apply),
		CountEndpoints: control.Handle(s.count),
	}
}

func (s *endpointService) start(_ context.Context, request EndpointConfigs) (Incarnations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var started Incarnations
	for _, config := range request.Configs {
		e, err := endpoint.Start(config)
		if err != nil {
			return Incarnations{}, fmt.Errorf("%s: %w", config.Name, err)
		}
		s.endpoints[config.Name] = e
		s.names = append(s.names, config.Name)
		started.Endpoints = append(started.Endpoints, incarnationOf(e))
	}
	return started, nil
}

func incarnationOf(e *endpoint.Endpoint) Incarnation {
	return Incarnation{Name: e.Config().Name, Address: e.Address(), StartedMS: e.StartedMS()}
}

func (s *endpointService) apply(_ context.Context, request EndpointAction) (Incarnations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var affected Incarnations
	for _, name := range s.names {
		if !matchesNames(request.Names, name) {
			continue
		}
		e := s.endpoints[name]
		if err := applyAction(request.Action, e); err != nil {
			return Incarnations{}, fmt.Errorf("%s: %s: %w", request.Action, name, err)
		}
		affected.Endpoints = append(affected.Endpoints, incarnationOf(e))
	}
	if len(affected.Endpoints) < len(request.Names) {
		return Incarnations{}, fmt.Errorf("%s: this worker hosts only %d of the endpoints %v",
			request.Action, len(affected.Endpoints), request.Names)
	}
	return affected, nil
}

func applyAction(action Action, e *endpoint.Endpoint) error {
	switch action {
	case Drain:
		e.Drain()
		return nil
	case Restart:
		return e.Restart()
	case Disconnect:
		return e.Disconnect()
	}
	return errors.New("unknown endpoint action")
}

func (s *endpointService) count(context.Context, control.Empty) (endpoint.Counts, error) {
	s.mu.Lock()
	names := slices.Clone(s.names)
	s.mu.Unlock()
	var sum endpoint.Counts
	for _, name := range names {
		sum.Add(s.endpoints[name].Counts())
	}
	return sum, nil
}

func (s *endpointService) close() {
	var closing sync.WaitGroup
	for _, e := range s.endpoints {
		closing.Add(1)
		go func() {
			defer closing.Done()
			_ = e.Close()
		}()
	}
	closing.Wait()
}
