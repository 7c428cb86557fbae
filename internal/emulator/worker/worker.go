package worker

import (
	"context"
	"io"
	"slices"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/spec"
)

// player is what one role does.
type player interface {
	handlers() control.Handlers
	close() // ends all that was started
}

// Run plays a role until the input ends or ctx does.
func Run(ctx context.Context, role Role, input io.Reader, output io.Writer) error {
	played, err := newPlayer(role)
	if err != nil {
		return err
	}
	defer played.close()
	return control.Serve(ctx, input, output, played.handlers())
}

func newPlayer(role Role) (player, error) {
	switch role {
	case RegistryRole:
		return &registryPlayer{}, nil
	case EndpointsRole:
		return newEndpointsPlayer(), nil
	case HollowRole:
		return newHollowPlayer(), nil
	case LoadRole:
		return &loadPlayer{}, nil
	}
	return nil, spec.Invalid("unknown role %q", role)
}

// among says whether a name is one of those given, or none are.
func among(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}
