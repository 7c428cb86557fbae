package discovery

import (
	"errors"
	"fmt"
	"net"

	"oakproxy/balancer"
)

// Entry is one endpoint in a list. The protocol page, section Discovery, defines its JSON format.
type Entry struct {
	Name        string  `json:"host"`    // name of the endpoint, the same for every sidecar
	Address     string  `json:"dial"`    // host:port at which this sidecar connects to the endpoint
	Zone        string  `json:"site"`    // name of the zone
	MachineKind string  `json:"class"`   // name of the machine kind
	Cell        uint16  `json:"block"`   // number of the cell; the endpoints of a cell may deduplicate requests together
	Health      string  `json:"health"`  // one of the keys of HealthStates
	Weight      float32 `json:"share"`   // weight relative to the other endpoints
	StartUnixMS int64   `json:"born_ms"` // Unix time of the last start in milliseconds; 0 means long ago
}

// healthTerminating is the value of Entry.Health for a draining endpoint.
const healthTerminating = "Terminating"

// HealthStates maps the values of Entry.Health to endpoint states. Gone occurs only in lists of changes.
var HealthStates = map[string]balancer.EndpointState{
	"Ready": balancer.Ready, healthTerminating: balancer.Draining, "Gone": balancer.Removed,
}

// errNoName is the error for an entry without the name of an endpoint.
var errNoName = errors.New("host is missing")

// validate returns an error if an entry cannot be used. The address is checked only if the endpoint is ready, because
// no other endpoint needs one.
func (e *Entry) validate() error {
	if e.Name == "" {
		return errNoName
	}
	state, known := HealthStates[e.Health]
	if !known {
		return fmt.Errorf("health: %q is not a known state", e.Health)
	}
	if state != balancer.Ready {
		return nil
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil {
		return fmt.Errorf("dial: %q does not have the form host:port", e.Address)
	}
	return nil
}
