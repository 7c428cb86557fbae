package sidecar

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
	firstGeneration = 1 // of the configuration that a sidecar starts with
	hashBytes       = 6 // of the configuration's hash in log lines
)

// snapshot is a configuration in force. It does not change: clients' goroutines read it while the loop goes on to
// the next one.
type snapshot struct {
	*Config
	generation int
	hash       string
	classes    map[string]uint8  // places in the settings, by name
	tenants    map[string]uint16 // the same
}

// newSnapshot returns the first configuration of a sidecar.
func newSnapshot(cfg *Config) *snapshot {
	s := &snapshot{Config: cfg, generation: firstGeneration, hash: cfg.Hash(),
		classes: map[string]uint8{}, tenants: map[string]uint16{}}
	for i, c := range cfg.Settings.Classes {
		s.classes[c.Name] = uint8(i)
	}
	for i, t := range cfg.Settings.Tenants {
		s.tenants[t.Name] = uint16(i)
	}
	return s
}

// replacedBy returns the configuration that follows s, with the hash of the file that it is from.
func (s *snapshot) replacedBy(cfg *Config, hash string) *snapshot {
	next := newSnapshot(cfg)
	next.hash = hash
	next.generation = s.generation + 1
	return next
}

// longestDeadline is the longest time that a client waits for an answer.
func (c *Config) longestDeadline() time.Duration {
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
	return shared{c.Settings, c.Limits.Sockets, c.zones, c.kinds, c.fields, c.idle}
}

// Hash returns a short hash of what holds at the whole fleet: sidecars that show the same one have the same settings,
// however their files are written.
func (c *Config) Hash() string {
	fleet := c.shared()
	fleet.Settings.Zone, fleet.Settings.Index = 0, 0
	fleet.Zones, fleet.Kinds = slices.Sorted(slices.Values(c.zones)), slices.Sorted(slices.Values(c.kinds))
	text, err := json.Marshal(fleet)
	if err != nil {
		return "none: " + err.Error() // a figure that is not finite; no file gives one
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:hashBytes])
}

// equal says whether a running sidecar has nothing to take up of next.
func (c *Config) equal(next *Config) bool {
	return c.Discovery == next.Discovery && reflect.DeepEqual(c.shared(), next.shared())
}

// succeededBy returns what a sidecar that runs by c takes up of next.
func (c *Config) succeededBy(next *Config) *Config {
	merged := *c
	merged.Discovery, merged.Limits.Sockets = next.Discovery, next.Limits.Sockets
	merged.Settings, merged.fields, merged.idle = next.Settings, next.fields, next.idle
	merged.zones, merged.kinds = numbered(c.zones, next.zones), numbered(c.kinds, next.kinds)
	if own := next.Settings.Zone; own >= 0 && own < len(next.zones) {
		merged.Settings.Zone = slices.Index(merged.zones, next.zones[own])
	}
	return &merged
}

// numbered returns names by the numbers that the balancer knows them by: none is given to another name.
func numbered(old, next []string) []string {
	all := slices.Clone(old)
	for _, name := range next {
		if !slices.Contains(all, name) && len(all) < unknownName {
			all = append(all, name)
		}
	}
	return all
}

// needRestart names the keys that differ in next and can't change in a process that runs.
func (c *Config) needRestart(next *Config) (keys []string) {
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

// changed names the parts of c that differ in next.
func (c *Config) changed(next *Config) (parts []string) {
	was, is := &c.Settings, &next.Settings
	for _, p := range [...]struct {
		part    string
		was, is any
	}{
		{"discovery", c.Discovery, next.Discovery}, {"classes", was.Classes, is.Classes},
		{"tenants", was.Tenants, is.Tenants}, {"settings.limits", was.Limits, is.Limits},
		{"contract", was.Contract, is.Contract}, {"prices", was.Prices, is.Prices}, {"goal", was.Goal, is.Goal},
		{"reporting", c.fields, next.fields}, {"areas", c.zones, next.zones}, {"skus", c.kinds, next.kinds},
		{"zone", was.Zone, is.Zone}, {"peers-total", was.Balancers, is.Balancers},
		{"limits.sockets", c.Limits.Sockets, next.Limits.Sockets}, {"keepalive", c.idle, next.idle},
	} {
		if !reflect.DeepEqual(p.was, p.is) {
			parts = append(parts, p.part)
		}
	}
	return parts
}

// restartsWatch says whether discovery has to be asked anew under next: elsewhere, at another pace, or since its words
// mean something else.
func (c *Config) restartsWatch(next *Config) bool {
	was, is := &c.Settings, &next.Settings
	return c.Discovery != next.Discovery || was.SubscribeToDiscovery != is.SubscribeToDiscovery ||
		was.Contract.PollInterval != is.Contract.PollInterval || was.Contract.DrainGrace != is.Contract.DrainGrace ||
		!slices.Equal(c.zones, next.zones) || !slices.Equal(c.kinds, next.kinds)
}

// unknownName numbers a zone or kind that the settings do not list.
const unknownName = 255

func number(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < unknownName {
		return uint8(i)
	}
	return unknownName
}
