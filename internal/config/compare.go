package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"oakproxy/balancer"
)

// HashBytes is the length of a configuration's hash in bytes. Its text has twice as many characters.
const HashBytes = 6

// fleetSettings is the part of a configuration that a running sidecar can put into force and that does not tell the
// sidecars of one fleet apart. Hash is of its JSON: the keys and their order must not change, since sidecars of two
// versions compare their hashes during a release.
type fleetSettings struct {
	Settings     balancer.Settings `json:"Settings"`
	Sockets      int               `json:"Sockets"`
	Zones        []string          `json:"Zones"`
	MachineKinds []string          `json:"Kinds"`
	ReportFields []string          `json:"Fields"`
	IdleTimeout  time.Duration     `json:"Keepalive"`
}

func (c *Config) fleetSettings() fleetSettings {
	return fleetSettings{Settings: c.Settings, Sockets: c.Limits.Sockets, Zones: c.Zones, MachineKinds: c.MachineKinds,
		ReportFields: c.ReportFields, IdleTimeout: c.IdleTimeout}
}

// Hash returns a short hash, in hexadecimal, of the settings that hold for the whole fleet. Sidecars that show the same
// one have the same settings, however their files are written.
func (c *Config) Hash() string {
	fleet := c.fleetSettings()
	fleet.Settings.Zone, fleet.Settings.Index = 0, 0 // a sidecar's own
	fleet.Zones, fleet.MachineKinds = slices.Sorted(slices.Values(c.Zones)), slices.Sorted(slices.Values(c.MachineKinds))
	text, err := json.Marshal(fleet)
	if err != nil {
		return "none: " + err.Error() // for a number that is not finite, which no file can hold
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:HashBytes])
}

// Equal reports whether a sidecar that runs by c would change nothing by next. Keys that need a restart do not count.
func (c *Config) Equal(next *Config) bool {
	return c.DiscoveryAddress == next.DiscoveryAddress && reflect.DeepEqual(c.fleetSettings(), next.fleetSettings())
}

// RestartKeys returns the keys of the file that differ in next and cannot change in a running process.
func (c *Config) RestartKeys(next *Config) (keys []string) {
	for _, k := range [...]struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.ListenAddress == next.ListenAddress}, {"admin_addr", c.AdminAddress == next.AdminAddress},
		{"seed", c.Seed == next.Seed}, {"limits.memory_mb", c.Limits.MemoryMB == next.Limits.MemoryMB},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// ChangedParts returns the names of the parts of c that differ in next, for the log.
func (c *Config) ChangedParts(next *Config) (parts []string) {
	before, after := &c.Settings, &next.Settings
	for _, p := range [...]struct {
		part          string
		before, after any
	}{
		{"discovery", c.DiscoveryAddress, next.DiscoveryAddress}, {"classes", before.Classes, after.Classes},
		{"tenants", before.Tenants, after.Tenants}, {"settings.limits", before.Limits, after.Limits},
		{"contract", before.Contract, after.Contract}, {"prices", before.Prices, after.Prices},
		{"goal", before.Goal, after.Goal}, {"reporting", c.ReportFields, next.ReportFields},
		{"areas", c.Zones, next.Zones}, {"skus", c.MachineKinds, next.MachineKinds},
		{"zone", before.Zone, after.Zone}, {"peers-total", before.Balancers, after.Balancers},
		{"limits.sockets", c.Limits.Sockets, next.Limits.Sockets}, {"keepalive", c.IdleTimeout, next.IdleTimeout},
	} {
		if !reflect.DeepEqual(p.before, p.after) {
			parts = append(parts, p.part)
		}
	}
	return parts
}

// ChangesDiscovery reports whether next makes a new watch of discovery necessary: it is at another address, polled at
// another interval, or its entries have another meaning.
func (c *Config) ChangesDiscovery(next *Config) bool {
	before, after := &c.Settings, &next.Settings
	return c.DiscoveryAddress != next.DiscoveryAddress || before.SubscribeToDiscovery != after.SubscribeToDiscovery ||
		before.Contract.PollInterval != after.Contract.PollInterval ||
		before.Contract.DrainGrace != after.Contract.DrainGrace ||
		!slices.Equal(c.Zones, next.Zones) || !slices.Equal(c.MachineKinds, next.MachineKinds)
}
