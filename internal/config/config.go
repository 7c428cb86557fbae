// Package config reads the configuration of a sidecar from its file and the environment, compares configurations,
// and numbers the one in force. It opens no sockets and takes no decisions.
package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/discovery"
	"oakproxy/internal/system"
	"oakproxy/internal/wire"
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

// minSockets is what a sidecar needs to serve anything at all.
const minSockets = 64

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

// configFile is the text of a configuration file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin_addr"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Parse reads the text of a configuration file. Its errors name the key at fault. The environment adds
// nothing to it, and its Host is the zero one.
func Parse(data []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	for _, a := range [...]struct{ key, value string }{{"listen", file.Listen}, {"discovery", file.Discovery}} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return nil, fmt.Errorf("%s: %q is not host:port", a.key, a.value)
		}
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", file.Seed)
	}
	if file.Limits.MemoryMB <= 0 {
		return nil, fmt.Errorf("limits.memory_mb: %d is not positive", file.Limits.MemoryMB)
	}
	if file.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("limits.sockets: %d is under %d", file.Limits.Sockets, minSockets)
	}
	cfg := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Admin: file.Admin,
		Seed: seed, Limits: file.Limits}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if err := json.Unmarshal(file.Known, &cfg.KnownEndpoints); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if err := cfg.readSettings(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return cfg, nil
}

// readSettings reads the balancer's settings through the parser that the
// simulator's adapter uses, and what only real sockets need beside them.
func (c *Config) readSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return fmt.Errorf("is missing")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps the text: 5000000 must not become 5e+06
	tree := map[string]any{}
	if err := decoder.Decode(&tree); err != nil {
		return err
	}
	var text strings.Builder
	flatten(&text, "", tree)
	var err error
	if c.Settings, err = wire.ParseSettings(text.String()); err != nil {
		return err
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if err := c.checkNames(); err != nil {
		return err
	}
	var own struct {
		Areas  []string `json:"areas"`
		Skus   []string `json:"skus"`
		Limits struct {
			Keepalive int64 `json:"keepalive"`
		} `json:"limits"`
		Reporting struct {
			Fields []string `json:"fields"`
		} `json:"reporting"`
	}
	if err := json.Unmarshal(raw, &own); err != nil {
		return err
	}
	if own.Limits.Keepalive <= 0 {
		return fmt.Errorf("limits.keepalive: %d is not positive", own.Limits.Keepalive)
	}
	if c.Settings.Limits.DialTimeout <= 0 {
		return fmt.Errorf("limits.dial-timeout: %d is not positive", c.Settings.Limits.DialTimeout)
	}
	c.Zones, c.MachineKinds, c.ReportFields = own.Areas, own.Skus, own.Reporting.Fields
	c.IdleTimeout = time.Duration(own.Limits.Keepalive) * time.Microsecond
	return nil
}

// checkNames sees to it that no two classes and no two tenants have one name: requests name them by it, and so
// does what was learned of them.
func (c *Config) checkNames() error {
	classes := map[string]bool{}
	for i, class := range c.Settings.Classes {
		if classes[class.Name] {
			return fmt.Errorf("classes.%d.name: %q is there twice", i, class.Name)
		}
		classes[class.Name] = true
	}
	tenants := map[string]bool{}
	for i, tenant := range c.Settings.Tenants {
		if tenants[tenant.Name] {
			return fmt.Errorf("tenants.%d.name: %q is there twice", i, tenant.Name)
		}
		tenants[tenant.Name] = true
	}
	return nil
}

// flatten writes a JSON value as the path=value lines of the simulator's first
// message: lists of objects by their length and index, other lists by commas.
func flatten(out *strings.Builder, path string, value any) {
	below := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := value.(type) {
	case nil: // as if absent
	case map[string]any:
		for key, item := range v {
			flatten(out, below(key), item)
		}
	case []any:
		if len(v) > 0 {
			if _, objects := v[0].(map[string]any); objects {
				fmt.Fprintf(out, "%s=%d\n", below("count"), len(v))
				for i, item := range v {
					flatten(out, below(strconv.Itoa(i)), item)
				}
				return
			}
		}
		words := make([]string, len(v))
		for i, item := range v {
			words[i] = scalar(item)
		}
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(words, ","))
	default:
		fmt.Fprintf(out, "%s=%s\n", path, scalar(v))
	}
}

// separators may not stand in a value of the settings text.
var separators = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

func scalar(v any) string { return separators.Replace(fmt.Sprint(v)) }
