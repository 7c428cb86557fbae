package worker

import (
	"context"
	"io"
	"slices"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/spec"
)

// service is what one role does.
type service interface {
	handlers() control.Handlers
	close() // ends all that was started
}

// Run plays a role until the input ends or ctx does.
func Run(ctx context.Context, role Role, input io.Reader, output io.Writer) error {
	played, err := newService(role)
	if err != nil {
		return err
	}
	defer played.close()
	return control.Serve(ctx, input, output, played.handlers())
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
	return nil, spec.Invalid("unknown role %q", role)
}

// matchesName says whether a name is one of those given, or none are.
func matchesName(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
