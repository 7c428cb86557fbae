package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/wire"
)

// minSockets is the smallest number of file descriptors with which a sidecar can work. A sidecar needs descriptors for
// its own files and listeners, and for connections to some clients, some endpoints and discovery.
const minSockets = 64

// errMissing is the error for a required key that is absent.
var errMissing = errors.New("is missing")

// configFile is the JSON structure of a configuration file.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin_addr"`
	Seed      string          `json:"seed"` // seed of the random number generators, in hexadecimal
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`    // JSON of a discovery.List
	Settings  json.RawMessage `json:"settings"` // see parseSettings
}

// Parse parses the contents of a configuration file. It does not read environment variables and leaves Host at its zero
// value. An error names the invalid key, unless data is not JSON.
func Parse(data []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	if err := checkHostPort("listen", file.Listen); err != nil {
		return nil, err
	}
	if err := checkHostPort("discovery", file.Discovery); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of at most 64 bits", file.Seed)
	}
	if err := file.Limits.validate(); err != nil {
		return nil, err
	}
	cfg := &Config{Name: file.Name, ListenAddress: file.Listen, DiscoveryAddress: file.Discovery, AdminAddress: file.Admin,
		Seed: seed, Limits: file.Limits}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if err := json.Unmarshal(file.Known, &cfg.KnownEndpoints); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if err := cfg.parseSettings(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return cfg, nil
}

func (l Limits) validate() error {
	if l.MemoryMB <= 0 {
		return fmt.Errorf("limits.memory_mb: %d is not positive", l.MemoryMB)
	}
	if l.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is less than the minimum of %d", l.Sockets, minSockets)
	}
	return nil
}

// sidecarSettings are the parts of the settings object that only a sidecar with real sockets needs. The balancer does
// not need them, because it identifies zones, machine kinds and report fields by numbers instead of names, and has no
// idle connections.
type sidecarSettings struct {
	Zones        []string `json:"areas"`
	MachineKinds []string `json:"skus"`
	Limits       struct {
		KeepaliveMicros int64 `json:"keepalive"`
	} `json:"limits"`
	Reporting struct {
		Fields []string `json:"fields"`
	} `json:"reporting"`
}

// parseSettings parses the settings object into c. It parses the balancer's settings with the parser that the
// simulator's adapter uses, and then the settings that only a sidecar with real sockets needs.
func (c *Config) parseSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return errMissing
	}
	var err error
	if c.Settings, err = parseBalancerSettings(raw); err != nil {
		return err
	}
	if err := checkUniqueNames(&c.Settings); err != nil {
		return err
	}
	var sidecarOnly sidecarSettings
	if err := json.Unmarshal(raw, &sidecarOnly); err != nil {
		return err
	}
	if sidecarOnly.Limits.KeepaliveMicros <= 0 {
		return fmt.Errorf("limits.keepalive: %d is not positive", sidecarOnly.Limits.KeepaliveMicros)
	}
	if c.Settings.Limits.DialTimeout <= 0 {
		return fmt.Errorf("limits.dial-timeout: %d is not positive", c.Settings.Limits.DialTimeout)
	}
	c.Zones, c.MachineKinds, c.ReportFields = sidecarOnly.Zones, sidecarOnly.MachineKinds, sidecarOnly.Reporting.Fields
	c.IdleTimeout = time.Duration(sidecarOnly.Limits.KeepaliveMicros) * time.Microsecond
	return nil
}

// parseBalancerSettings parses and validates the balancer's settings in a settings object.
func parseBalancerSettings(raw json.RawMessage) (balancer.Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps the text of numbers: 5000000 must not become 5e+06
	tree := map[string]any{}
	if err := decoder.Decode(&tree); err != nil {
		return balancer.Settings{}, err
	}
	var text strings.Builder
	flatten(&text, "", tree)
	settings, err := wire.ParseSettings(text.String())
	if err != nil {
		return settings, err
	}
	return settings, settings.Validate()
}

// checkUniqueNames returns an error if two classes or two tenants have the same name. Names must be unique, because
// requests and saved estimates refer to classes and tenants by name.
func checkUniqueNames(settings *balancer.Settings) error {
	classes := map[string]bool{}
	for i, class := range settings.Classes {
		if classes[class.Name] {
			return fmt.Errorf("classes.%d.name: %q is already the name of another class", i, class.Name)
		}
		classes[class.Name] = true
	}
	tenants := map[string]bool{}
	for i, tenant := range settings.Tenants {
		if tenants[tenant.Name] {
			return fmt.Errorf("tenants.%d.name: %q is already the name of another tenant", i, tenant.Name)
		}
		tenants[tenant.Name] = true
	}
	return nil
}
