package discovery

import (
	"errors"
	"fmt"
	"net"

	"oakproxy/balancer"
)

// Entry is one endpoint in a list, by the protocol page's section on discovery.
type Entry struct {
	Name        string  `json:"host"`    // the same at every sidecar
	Address     string  `json:"dial"`    // host:port at which this sidecar connects
	Zone        string  `json:"site"`    // the zone's name
	MachineKind string  `json:"class"`   // the machine kind's name
	Cell        uint16  `json:"block"`   // the cell, whose endpoints may deduplicate requests together
	Health      string  `json:"health"`  // a key of HealthStates
	Weight      float32 `json:"share"`   // its weight among the endpoints
	StartUnixMS int64   `json:"born_ms"` // Unix time of its last start in milliseconds; 0: long ago
}

// healthTerminating is the health of an endpoint that is draining.
const healthTerminating = "Terminating"

// HealthStates are the values of Entry.Health and the states that they stand for. Gone occurs among changes only.
var HealthStates = map[string]balancer.EndpointState{
	"Ready": balancer.Ready, healthTerminating: balancer.Draining, "Gone": balancer.Removed,
}

// errNoName is the error of an entry that names no endpoint.
var errNoName = errors.New("host is missing")

// validate returns why an entry cannot be used, or nil. Only an endpoint that is ready needs an address.
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
		return fmt.Errorf("dial: %q is not host:port", e.Address)
	}
	return nil
}
