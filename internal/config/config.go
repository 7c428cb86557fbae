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

// Config is the configuration of a sidecar: the contents of its file, the environment variables, and the resources of
// the process that it may use. Load and Parse create one. A Config must not be changed after that.
type Config struct {
	Name             string            // name of the sidecar, which is the same after a restart
	ListenAddress    string            // host:port at which the sidecar listens for clients
	DiscoveryAddress string            // host:port of the service that lists endpoints
	AdminAddress     string            // host:port of the admin interface; empty if there is none
	InheritedSocket  string            // descriptor of an inherited listening socket, in decimal; empty if there is none
	Seed             uint64            // seed of the random number generators
	Limits           Limits            // resources that the platform grants the sidecar
	Settings         balancer.Settings // settings of the balancer
	Host             Host              // what the sidecar may use of its process: files, memory limit, clock

	KnownEndpoints discovery.List // endpoint list to use until discovery answers; it may be outdated
	Zones          []string       // names of zones; the index is the number that the balancer uses
	MachineKinds   []string       // names of machine kinds; the index is the number that the balancer uses
	ReportFields   []string       // names of the fields of a load report, in the order of Settings.ReportFields
	IdleTimeout    time.Duration  // time after which an endpoint may close an idle connection

	// DiscoveryWait is how long a call asks discovery to wait for a change. If it is 0, the time is derived from
	// Settings.Contract.PollInterval.
	DiscoveryWait time.Duration

	// DiscoveryDial connects to discovery. If it is nil, the standard dialer is used.
	DiscoveryDial func(ctx context.Context, network, address string) (net.Conn, error)

	// Err is the error of a failed reload (see ReloadOnSignal). If it is not nil, no other field is set.
	Err error
}

// Limits are the resources that the platform grants a sidecar.
type Limits struct {
	MemoryMB int `json:"memory_mb"` // memory in MiB; the platform kills a sidecar that uses more
	Sockets  int `json:"sockets"`   // number of file descriptors
}

// InheritedSocketVariable is the environment variable with the file descriptor of the listening socket for clients. It
// is set if the platform keeps that socket open and every process of the sidecar inherits it.
const InheritedSocketVariable = "BALANCER_PASSED_SOCKET"

// adminAddressVariable is the environment variable that overrides the admin address in the configuration file. The
// processes of one sidecar share that file but may need different admin addresses.
const adminAddressVariable = "BALANCER_ADMIN_ADDR"

// Load reads a configuration file and applies the environment variables to it. If the file cannot be read for a
// transient reason, Load retries for up to system.StartTimeout. The error is an *fs.PathError, an error of Parse that
// also names the file, or the error of CheckAdminAddress for the address in BALANCER_ADMIN_ADDR or in the file.
func Load(path string) (*Config, error) {
	var data []byte
	err := system.RetryAtStart(context.Background(), func() (err error) {
		data, err = os.ReadFile(path)
		return err
	})
	if err != nil {
		return nil, err // an *fs.PathError, which names the file
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

// CheckAdminAddress returns an error that names the key admin_addr, unless address has the form host:port or is empty.
// An empty address means that there is no admin interface.
func CheckAdminAddress(address string) error {
	if address == "" {
		return nil
	}
	return checkHostPort("admin_addr", address)
}

// checkHostPort returns an error that names key unless address has the form host:port.
func checkHostPort(key, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %q does not have the form host:port", key, address)
	}
	return nil
}
