package worker

import (
	"context"
	"io"
	"slices"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/spec"
)

// service implements one role.
type service interface {
	handlers() control.Handlers
	close() // stops all that was started; no handler runs by then
}

// Run serves the requests of a role until the input ends or ctx is done, and stops what the role started.
// An unknown role is a *spec.InputError.
func Run(ctx context.Context, role Role, input io.Reader, output io.Writer) error {
	s, err := newService(role)
	if err != nil {
		return err
	}
	defer s.close()
	return control.Serve(ctx, input, output, s.handlers())
}

func newService(role Role) (service, error) {
	switch role {
	case RegistryRole:
		return &registryService{}, nil
	case EndpointsRole:
		return newEndpointService(), nil
	case SidecarsRole:
		return newSidecarService(), nil
	case LoadRole:
		return &loadService{}, nil
	}
	return nil, spec.InputErrorf("unknown role %q", role)
}

// matchesName says whether name is among names. No names match every name.
func matchesName(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
