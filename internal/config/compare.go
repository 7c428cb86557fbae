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

// HashBytes is the length of a configuration's hash in bytes. Its hexadecimal text has twice as many characters.
const HashBytes = 6

// fleetSettings is the part of a configuration that all sidecars of one fleet share and that a running sidecar can
// change without a restart. Hash is computed from its JSON. The keys and their order must not change, because the
// hashes of sidecars of two versions are compared during a release.
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

// Hash returns a short hash, in hexadecimal, of the settings that all sidecars of the fleet share. Sidecars with the
// same hash have the same settings, regardless of the format of their files.
func (c *Config) Hash() string {
	fleet := c.fleetSettings()
	fleet.Settings.Zone, fleet.Settings.Index = 0, 0 // both differ between the sidecars of a fleet
	fleet.Zones, fleet.MachineKinds = slices.Sorted(slices.Values(c.Zones)), slices.Sorted(slices.Values(c.MachineKinds))
	text, err := json.Marshal(fleet)
	if err != nil {
		return "none: " + err.Error() // only for NaN or an infinite number, which no configuration file can contain
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:HashBytes])
}

// Equal reports whether a reload from c to next changes nothing. It ignores the keys that can change only by a restart.
func (c *Config) Equal(next *Config) bool {
	return c.DiscoveryAddress == next.DiscoveryAddress && reflect.DeepEqual(c.fleetSettings(), next.fleetSettings())
}

// RestartKeys returns the keys of the file that can change only by a restart and whose values in c and next differ.
func (c *Config) RestartKeys(next *Config) (keys []string) {
	for _, k := range [...]struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.ListenAddress == next.ListenAddress},
		{"admin_addr", c.AdminAddress == next.AdminAddress},
		{"seed", c.Seed == next.Seed}, {"limits.memory_mb", c.Limits.MemoryMB == next.Limits.MemoryMB},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// ChangedParts returns the names of the parts of the configuration that differ between c and next, for the log.
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

// ChangesDiscovery reports whether a reload from c to next requires a new watch of discovery. That is the case if the
// address, the mode or the poll interval of discovery changes, or the drain grace, which determines the time limits of
// calls for pushed lists. It is also the case if the list of zones or of machine kinds changes, because the same
// entries are then interpreted differently.
func (c *Config) ChangesDiscovery(next *Config) bool {
	before, after := &c.Settings, &next.Settings
	return c.DiscoveryAddress != next.DiscoveryAddress || before.SubscribeToDiscovery != after.SubscribeToDiscovery ||
		before.Contract.PollInterval != after.Contract.PollInterval ||
		before.Contract.DrainGrace != after.Contract.DrainGrace ||
		!slices.Equal(c.Zones, next.Zones) || !slices.Equal(c.MachineKinds, next.MachineKinds)
}
