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

// anyLoopbackPort is a loopback address whose port the operating system chooses.
const anyLoopbackPort = "127.0.0.1:0"

// registryService implements the registry role: it hosts the discovery server.
type registryService struct {
	mu               sync.Mutex
	server           *registry.Server
	scratchDirectory string
}

func (s *registryService) handlers() control.Handlers {
	return control.Handlers{
		StartRegistry:   control.Handle(s.start),
		SetInstances:    control.Handle(s.set),
		UpdateInstances: control.Handle(s.update),
		CountRegistry:   control.Handle(s.count),
	}
}

func (s *registryService) start(_ context.Context, options RegistryOptions) (RegistryAddress, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return RegistryAddress{}, spec.InputErrorf("registry: already started")
	}
	s.scratchDirectory = options.Scratch
	s.server = registry.New(registry.Options{
		CallsPerSecond: options.CallsPerSecond,
		MaxQueueDelay:  options.MaxQueueDelay,
		History:        options.History,
	})
	address, err := s.server.Listen(anyLoopbackPort)
	if err != nil {
		return RegistryAddress{}, err
	}
	return RegistryAddress{Address: address.String()}, nil
}

func (s *registryService) set(_ context.Context, request Instances) (ListVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	createdAt := time.Now()
	s.server.Set(request.Instances)
	return ListVersion{Number: s.server.Version(), CreatedAt: createdAt}, nil
}

func (s *registryService) update(_ context.Context, request Instances) (ListVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	createdAt := time.Now()
	s.server.Update(request.Instances...)
	return ListVersion{Number: s.server.Version(), CreatedAt: createdAt}, nil
}

func (s *registryService) count(context.Context, control.Empty) (registry.Counts, error) {
	return s.server.Counts(), nil
}

func (s *registryService) close() {
	if s.server != nil {
		_ = s.server.Close()
	}
	if s.scratchDirectory != "" {
		_ = os.RemoveAll(s.scratchDirectory) // in case the emulator was killed before it could remove the directory
	}
}
