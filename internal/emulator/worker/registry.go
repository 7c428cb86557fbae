package worker

import (
	"context"
	"os"
	"sync"
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/spec"
)

const anyLoopbackPort = "127.0.0.1:0"

// registryService plays discovery.
type registryService struct {
	mu      sync.Mutex
	server  *registry.Server
	scratch string
}

func (p *registryService) handlers() control.Handlers {
	return control.Handlers{
		StartRegistry:   control.Handle(p.start),
		SetInstances:    control.Handle(p.set),
		UpdateInstances: control.Handle(p.update),
		CountRegistry:   control.Handle(p.count),
	}
}

func (p *registryService) start(_ context.Context, options RegistryOptions) (RegistryAddress, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		return RegistryAddress{}, spec.Invalid("the registry has been started")
	}
	p.scratch = options.Scratch
	p.server = registry.New(registry.Options{
		CallsPerSecond: options.CallsPerSecond,
		MaxQueueDelay:  options.MaxQueueDelay,
		History:        options.History,
	})
	address, err := p.server.Listen(anyLoopbackPort)
	if err != nil {
		return RegistryAddress{}, err
	}
	return RegistryAddress{address.String()}, nil
}

func (p *registryService) set(_ context.Context, list Instances) (ListVersion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now()
	p.server.Set(list.Instances)
	return ListVersion{p.server.Seq(), at}, nil
}

func (p *registryService) update(_ context.Context, changes Instances) (ListVersion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now()
	p.server.Update(changes.Instances...)
	return ListVersion{p.server.Seq(), at}, nil
}

func (p *registryService) count(context.Context, control.Empty) (registry.Counts, error) {
	return p.server.Counts(), nil
}

func (p *registryService) close() {
	if p.server != nil {
		_ = p.server.Close()
	}
	if p.scratch != "" {
		_ = os.RemoveAll(p.scratch) // the emulator may have been killed
	}
}
