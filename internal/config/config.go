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

// Config is the configuration of a sidecar: what its file and environment say, and the host that it runs on. Make one
// with Load or Parse. It does not change once it is made.
type Config struct {
	Name             string            // of the sidecar, the same after a restart
	ListenAddress    string            // host:port for clients
	DiscoveryAddress string            // host:port of the service that lists endpoints
	AdminAddress     string            // host:port of the admin interface; empty: none
	InheritedSocket  string            // the number of an inherited listening socket's descriptor; empty: none
	Seed             uint64            // of random numbers
	Limits           Limits            // granted by the platform
	Settings         balancer.Settings // of the balancer
	Host             Host              // what the sidecar may use of its process

	KnownEndpoints discovery.List // the last endpoint list, which may be old
	Zones          []string       // names, by the numbers that the balancer uses
	MachineKinds   []string       // names, by the numbers that the balancer uses
	ReportFields   []string       // of a load report, in the order of Settings.Fields
	IdleTimeout    time.Duration  // after which an endpoint may close a connection

	// DiscoveryWait is how long discovery may hold a call until there is a change; 0: as Settings has it.
	DiscoveryWait time.Duration

	// DiscoveryDial connects to discovery; nil: the network's dialer.
	DiscoveryDial func(ctx context.Context, network, address string) (net.Conn, error)

	// Err is why the configuration could not be read again (see ReloadOnSignal). Nothing else is set then.
	Err error
}

// Limits is what the platform grants a sidecar.
type Limits struct {
	MemoryMB int `json:"memory_mb"` // in MiB; over it the platform kills the sidecar
	Sockets  int `json:"sockets"`   // file descriptors
}

// InheritedSocketVariable is the environment variable with the number of the clients' listening socket's descriptor. It
// is set where the platform holds that socket and every process of the sidecar inherits it.
const InheritedSocketVariable = "BALANCER_PASSED_SOCKET"

// adminAddressVariable is the environment variable that overrides the admin address of the file. It may differ between the
// processes of one sidecar, which share a file.
const adminAddressVariable = "BALANCER_ADMIN_ADDR"

// Load reads a configuration file and applies the environment to it. A file that cannot be opened for a passing cause
// is tried for up to system.StartTimeout. The error is an fs.PathError, or names the key at fault; that of an address
// from BALANCER_ADMIN_ADDR is the file's admin_addr.
func Load(path string) (*Config, error) {
	var data []byte
	err := system.RetryAtStart(context.Background(), func() (err error) {
		data, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, err // an fs.PathError, which names the file
	}
	cfg, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if address := os.Getenv(adminAddressVariable); address != "" {
		cfg.AdminAddress = address
	}
	if err := CheckAdminAddress(cfg.AdminAddress); err != nil {
		return nil, err
	}
	cfg.InheritedSocket = os.Getenv(InheritedSocketVariable)
	cfg.Host = OwnProcessHost()
	return cfg, nil
}

// CheckAdminAddress returns an error unless address is host:port, or empty for no admin interface.
func CheckAdminAddress(address string) error {
	if address == "" {
		return nil
	}
	return checkHostPort("admin_addr", address)
}

// checkHostPort returns an error that names key unless address is host:port.
func checkHostPort(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %q is not host:port", key, address)
	}
	return nil
}
