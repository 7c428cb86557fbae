package discovery

import (
	"errors"
	"fmt"
	"net"
	"oakproxy/balancer"
)

type Entry struct {
	Name   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  uint16  `json:"block"`
	Health string  `json:"health"`
	Share  float32 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

var States = map[string]balancer.EndpointState{
	"Ready": balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Removed,
}

// check finds what keeps an entry from being used.
func (h *Entry) check() error {
	state, ok := States[h.Health]
	switch {
	case h.Name == "":
		return errors.New("host is missing")
	case !ok:
		return fmt.Errorf("health: %q is not a known state", h.Health)
	case state == balancer.Ready:
		if _, _, err := net.SplitHostPort(h.Dial); err != nil {
			return fmt.Errorf("dial: %q is not host:port", h.Dial)
		}
	}
	return nil
}
