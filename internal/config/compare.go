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

// shared is what a configuration says that a running sidecar takes up, without what tells sidecars of one fleet
// apart.
type shared struct {
	Settings     balancer.Settings
	Sockets      int
	Zones, Kinds []string
	Fields       []string
	Keepalive    time.Duration
}

func (c *Config) shared() shared {
	return shared{c.Settings, c.Limits.Sockets, c.Zones, c.MachineKinds, c.ReportFields, c.IdleTimeout}
}

// Hash returns a short hash of what holds at the whole fleet: sidecars that show the same one have the same settings,
// however their files are written.
func (c *Config) Hash() string {
	fleet := c.shared()
	fleet.Settings.Zone, fleet.Settings.Index = 0, 0
	fleet.Zones, fleet.Kinds = slices.Sorted(slices.Values(c.Zones)), slices.Sorted(slices.Values(c.MachineKinds))
	text, err := json.Marshal(fleet)
	if err != nil {
		return "none: " + err.Error() // a figure that is not finite; no file gives one
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:HashBytes])
}

// Equal says whether a running sidecar has nothing to take up of next.
func (c *Config) Equal(next *Config) bool {
	return c.Discovery == next.Discovery && reflect.DeepEqual(c.shared(), next.shared())
}

// RestartKeys names the keys that differ in next and can't change in a process that runs.
func (c *Config) RestartKeys(next *Config) (keys []string) {
	for _, k := range [...]struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen}, {"admin_addr", c.Admin == next.Admin},
		{"seed", c.Seed == next.Seed}, {"limits.memory_mb", c.Limits.MemoryMB == next.Limits.MemoryMB},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// ChangedParts names the parts of c that differ in next.
func (c *Config) ChangedParts(next *Config) (parts []string) {
	was, is := &c.Settings, &next.Settings
	for _, p := range [...]struct {
		part    string
		was, is any
	}{
		{"discovery", c.Discovery, next.Discovery}, {"classes", was.Classes, is.Classes},
		{"tenants", was.Tenants, is.Tenants}, {"settings.limits", was.Limits, is.Limits},
		{"contract", was.Contract, is.Contract}, {"prices", was.Prices, is.Prices}, {"goal", was.Goal, is.Goal},
		{"reporting", c.ReportFields, next.ReportFields}, {"areas", c.Zones, next.Zones}, {"skus", c.MachineKinds, next.MachineKinds},
		{"zone", was.Zone, is.Zone}, {"peers-total", was.Balancers, is.Balancers},
		{"limits.sockets", c.Limits.Sockets, next.Limits.Sockets}, {"keepalive", c.IdleTimeout, next.IdleTimeout},
	} {
		if !reflect.DeepEqual(p.was, p.is) {
			parts = append(parts, p.part)
		}
	}
	return parts
}

// ChangesDiscovery says whether discovery has to be asked anew under next: elsewhere, at another pace, or since its words
// mean something else.
func (c *Config) ChangesDiscovery(next *Config) bool {
	was, is := &c.Settings, &next.Settings
	return c.Discovery != next.Discovery || was.SubscribeToDiscovery != is.SubscribeToDiscovery ||
		was.Contract.PollInterval != is.Contract.PollInterval || was.Contract.DrainGrace != is.Contract.DrainGrace ||
		!slices.Equal(c.Zones, next.Zones) || !slices.Equal(c.MachineKinds, next.MachineKinds)
}
