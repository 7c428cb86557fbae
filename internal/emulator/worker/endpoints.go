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

// endpointService plays the endpoints of one zone.
type endpointService struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint.Endpoint
	names     []string // in the order of their start
}

func newEndpointService() *endpointService {
	return &endpointService{endpoints: map[string]*endpoint.Endpoint{}}
}

func (p *endpointService) handlers() control.Handlers {
	return control.Handlers{
		StartEndpoints: control.Handle(p.start),
		ActOnEndpoints: control.Handle(p.apply),
		CountEndpoints: control.Handle(p.count),
	}
}

func (p *endpointService) start(_ context.Context, asked EndpointConfigs) (Incarnations, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var started Incarnations
	for _, config := range asked.Configs {
		e, err := endpoint.Start(config)
		if err != nil {
			return Incarnations{}, fmt.Errorf("%s: %w", config.Name, err)
		}
		p.endpoints[config.Name] = e
		p.names = append(p.names, config.Name)
		started.Endpoints = append(started.Endpoints, incarnationOf(e))
	}
	return started, nil
}

func incarnationOf(e *endpoint.Endpoint) Incarnation {
	return Incarnation{Name: e.Config().Name, Address: e.Address(), StartedMS: e.BornMS()}
}

func (p *endpointService) apply(_ context.Context, asked EndpointAction) (Incarnations, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var touched Incarnations
	for _, name := range p.names {
		if !matchesName(asked.Names, name) {
			continue
		}
		e := p.endpoints[name]
		if err := applyAction(asked.Action, e); err != nil {
			return Incarnations{}, fmt.Errorf("%s: %s: %w", asked.Action, name, err)
		}
		touched.Endpoints = append(touched.Endpoints, incarnationOf(e))
	}
	if len(touched.Endpoints) < len(asked.Names) {
		return Incarnations{}, fmt.Errorf("%s: not all of %v are here", asked.Action, asked.Names)
	}
	return touched, nil
}

func applyAction(action Action, e *endpoint.Endpoint) error {
	switch action {
	case Drain:
		e.Drain()
		return nil
	case Restart:
		return e.Restart()
	case Vanish:
		return e.Vanish()
	}
	return errors.New("no such action")
}

func (p *endpointService) count(context.Context, control.Empty) (endpoint.Counts, error) {
	p.mu.Lock()
	all := slices.Clone(p.names)
	p.mu.Unlock()
	var sum endpoint.Counts
	for _, name := range all {
		AddEndpointCounts(&sum, p.endpoints[name].Counts())
	}
	return sum, nil
}

// AddEndpointCounts adds an endpoint's figures to those of others.
func AddEndpointCounts(sum *endpoint.Counts, counts endpoint.Counts) {
	sum.Requests += counts.Requests
	sum.Served += counts.Served
	sum.Rejected += counts.Rejected
	sum.MissingID += counts.MissingID
	sum.Duplicates += counts.Duplicates
	sum.Abandoned += counts.Abandoned
	sum.Probes += counts.Probes
	sum.BytesIn += counts.BytesIn
	sum.BytesOut += counts.BytesOut
	sum.Connections.Accepted += counts.Connections.Accepted
	sum.Connections.Open += counts.Connections.Open
	sum.Connections.MaxOpen += counts.Connections.MaxOpen
}

func (p *endpointService) close() {
	var closing sync.WaitGroup
	for _, e := range p.endpoints {
		closing.Add(1)
		go func() {
			defer closing.Done()
			_ = e.Close()
		}()
	}
	closing.Wait()
}
