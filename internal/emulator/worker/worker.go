package worker

import (
	"context"
	"io"
	"slices"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/spec"
)

// service implements a role.
type service interface {
	handlers() control.Handlers
	close() // stops everything that the handlers have started; called when no handler is running
}

// Run serves the requests of a role until the input ends or ctx is done. Then it stops everything that the role has
// started. For an unknown role it returns a *spec.InputError.
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

// matchesNames reports whether names contains name. An empty list matches every name.
func matchesNames(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
