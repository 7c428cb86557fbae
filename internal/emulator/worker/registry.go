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

// registryPlayer plays discovery.
type registryPlayer struct {
	mu      sync.Mutex
	server  *registry.Server
	scratch string
}

func (p *registryPlayer) handlers() control.Handlers {
	return control.Handlers{
		StartRegistry:   control.Handle(p.start),
		SetInstances:    control.Handle(p.set),
		UpdateInstances: control.Handle(p.update),
		CountRegistry:   control.Handle(p.count),
	}
}

func (p *registryPlayer) start(_ context.Context, options RegistryOptions) (RegistryAddress, error) {
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

func (p *registryPlayer) set(_ context.Context, list Instances) (Version, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now()
	p.server.Set(list.Instances)
	return Version{p.server.Seq(), at}, nil
}

func (p *registryPlayer) update(_ context.Context, changes Instances) (Version, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now()
	p.server.Update(changes.Instances...)
	return Version{p.server.Seq(), at}, nil
}

func (p *registryPlayer) count(context.Context, control.Empty) (registry.Counts, error) {
	return p.server.Counts(), nil
}

func (p *registryPlayer) close() {
	if p.server != nil {
		_ = p.server.Close()
	}
	if p.scratch != "" {
		_ = os.RemoveAll(p.scratch) // the emulator may have been killed
	}
}
