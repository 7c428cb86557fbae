// Package config reads the configuration of a sidecar from its file and the environment, compares configurations,
// and numbers the one in force. It opens no sockets and takes no decisions.
package config

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/discovery"
	"oakproxy/internal/system"
)

// Config is what a sidecar is told at its start, and anew while it runs. Make one with Load. It does not
// change once it is made.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Admin     string // the second address; empty where there is none
	Passed    string // the descriptor of an inherited listening socket; empty where there is none
	Seed      uint64
	Limits    Limits
	Settings  balancer.Settings
	Host      Host

	KnownEndpoints discovery.List
	Zones          []string // names, by the numbers that the balancer uses
	MachineKinds   []string
	ReportFields   []string      // of a load report, in the order of Settings.Fields
	IdleTimeout    time.Duration // after which an endpoint may close a connection

	DiscoveryWait time.Duration                                                        // that a call of discovery waits for news; 0: by the settings
	DiscoveryDial func(ctx context.Context, network, address string) (net.Conn, error) // discovery; nil: by the network

	Err error // why it could not be read; nil where it could
}

// Limits is what the platform grants a sidecar.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// adminVar names the second address, which differs between the processes of one
// sidecar while all else is the same.
const adminVar = "BALANCER_ADMIN_ADDR"

// InheritedSocketVariable names the descriptor of the clients' listening socket, where the
// platform holds that and every process of the sidecar inherits it.
const InheritedSocketVariable = "BALANCER_PASSED_SOCKET"

// Load reads a configuration file, and what the environment adds to it. Its
// errors name the key or variable at fault.
func Load(path string) (*Config, error) {
	var data []byte
	err := system.RetryAtStart(context.Background(), func() (err error) {
		data, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, err
	}
	cfg, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if own := os.Getenv(adminVar); own != "" {
		cfg.Admin = own
	}
	if err := CheckAdminAddress(cfg.Admin); err != nil {
		return nil, err
	}
	cfg.Passed = os.Getenv(InheritedSocketVariable)
	cfg.Host = OwnProcessHost()
	return cfg, nil
}

// CheckAdminAddress accepts an address to listen on, or none.
func CheckAdminAddress(address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil && address != "" {
		return fmt.Errorf("admin_addr: %q is not host:port", address)
	}
	return nil
}
