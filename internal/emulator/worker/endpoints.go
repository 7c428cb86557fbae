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

// endpointsPlayer plays the endpoints of one zone.
type endpointsPlayer struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint.Endpoint
	names     []string // in the order of their start
}

func newEndpointsPlayer() *endpointsPlayer {
	return &endpointsPlayer{endpoints: map[string]*endpoint.Endpoint{}}
}

func (p *endpointsPlayer) handlers() control.Handlers {
	return control.Handlers{
		StartEndpoints: control.Handle(p.start),
		ActOnEndpoints: control.Handle(p.act),
		CountEndpoints: control.Handle(p.count),
	}
}

func (p *endpointsPlayer) start(_ context.Context, asked EndpointConfigs) (Lives, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var started Lives
	for _, config := range asked.Configs {
		e, err := endpoint.Start(config)
		if err != nil {
			return Lives{}, fmt.Errorf("%s: %w", config.Name, err)
		}
		p.endpoints[config.Name] = e
		p.names = append(p.names, config.Name)
		started.Lives = append(started.Lives, life(e))
	}
	return started, nil
}

func life(e *endpoint.Endpoint) Life {
	return Life{Name: e.Config().Name, Address: e.Address(), BornMS: e.BornMS()}
}

func (p *endpointsPlayer) act(_ context.Context, asked Act) (Lives, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var touched Lives
	for _, name := range p.names {
		if !among(asked.Names, name) {
			continue
		}
		e := p.endpoints[name]
		if err := perform(asked.Action, e); err != nil {
			return Lives{}, fmt.Errorf("%s: %s: %w", asked.Action, name, err)
		}
		touched.Lives = append(touched.Lives, life(e))
	}
	if len(touched.Lives) < len(asked.Names) {
		return Lives{}, fmt.Errorf("%s: not all of %v are here", asked.Action, asked.Names)
	}
	return touched, nil
}

func perform(action Action, e *endpoint.Endpoint) error {
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

func (p *endpointsPlayer) count(context.Context, control.Empty) (endpoint.Counts, error) {
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

func (p *endpointsPlayer) close() {
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
