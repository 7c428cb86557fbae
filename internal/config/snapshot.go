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

const (
	FirstGeneration = 1 // of the configuration that a sidecar starts with
	HashBytes       = 6 // of the configuration's hash in log lines
)

// Snapshot is a configuration in force. It does not change: clients' goroutines read it while the loop goes on to
// the next one.
type Snapshot struct {
	*Config
	Generation int
	FileHash   string
	Classes    map[string]uint8  // places in the settings, by name
	Tenants    map[string]uint16 // the same
}

// NewSnapshot returns the first configuration of a sidecar.
func NewSnapshot(cfg *Config) *Snapshot {
	s := &Snapshot{Config: cfg, Generation: FirstGeneration, FileHash: cfg.Hash(),
		Classes: map[string]uint8{}, Tenants: map[string]uint16{}}
	for i, c := range cfg.Settings.Classes {
		s.Classes[c.Name] = uint8(i)
	}
	for i, t := range cfg.Settings.Tenants {
		s.Tenants[t.Name] = uint16(i)
	}
	return s
}

// ReplacedBy returns the configuration that follows s, with the hash of the file that it is from.
func (s *Snapshot) ReplacedBy(cfg *Config, hash string) *Snapshot {
	next := NewSnapshot(cfg)
	next.FileHash = hash
	next.Generation = s.Generation + 1
	return next
}

// LongestClientTimeout is the longest time that a client waits for an answer.
func (c *Config) LongestClientTimeout() time.Duration {
	var longest balancer.Micros
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return time.Duration(longest) * time.Microsecond
}

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

// Merge returns what a sidecar that runs by c takes up of next.
func (c *Config) Merge(next *Config) *Config {
	merged := *c
	merged.Discovery, merged.Limits.Sockets = next.Discovery, next.Limits.Sockets
	merged.Settings, merged.ReportFields, merged.IdleTimeout = next.Settings, next.ReportFields, next.IdleTimeout
	merged.Zones, merged.MachineKinds = numbered(c.Zones, next.Zones), numbered(c.MachineKinds, next.MachineKinds)
	if own := next.Settings.Zone; own >= 0 && own < len(next.Zones) {
		merged.Settings.Zone = slices.Index(merged.Zones, next.Zones[own])
	}
	return &merged
}

// numbered returns names by the numbers that the balancer knows them by: none is given to another name.
func numbered(old, next []string) []string {
	all := slices.Clone(old)
	for _, name := range next {
		if !slices.Contains(all, name) && len(all) < UnknownName {
			all = append(all, name)
		}
	}
	return all
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

// UnknownName numbers a zone or kind that the settings do not list.
const UnknownName = 255

func NameIndex(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < UnknownName {
		return uint8(i)
	}
	return UnknownName
}
