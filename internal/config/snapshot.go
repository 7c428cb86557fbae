package config

import (
	"time"

	"oakproxy/balancer"
)

// FirstGeneration is the generation of the configuration with which a sidecar starts.
const FirstGeneration = 1

// Snapshot is a configuration in force, with data derived from it. A Snapshot must not be changed, because the
// goroutines of clients may still read it when the event loop puts the next Snapshot into force.
type Snapshot struct {
	*Config
	Generation int               // number of the generation: FirstGeneration at the start, 1 more after each change
	FileHash   string            // Hash of the configuration as read from the file, before Merge
	Classes    map[string]uint8  // index in Settings.Classes by name
	Tenants    map[string]uint16 // index in Settings.Tenants by name
}

// NewSnapshot returns the Snapshot of the configuration with which a sidecar starts.
func NewSnapshot(cfg *Config) *Snapshot {
	s := &Snapshot{Config: cfg, Generation: FirstGeneration, FileHash: cfg.Hash(),
		Classes: map[string]uint8{}, Tenants: map[string]uint16{}}
	for i, class := range cfg.Settings.Classes {
		s.Classes[class.Name] = uint8(i)
	}
	for i, tenant := range cfg.Settings.Tenants {
		s.Tenants[tenant.Name] = uint16(i)
	}
	return s
}

// Next returns the Snapshot that replaces s after a reload. cfg is the result of Merge, and hash is the Hash of the
// configuration as read from the file.
func (s *Snapshot) Next(cfg *Config, hash string) *Snapshot {
	next := NewSnapshot(cfg)
	next.FileHash = hash
	next.Generation = s.Generation + 1
	return next
}

// LongestClientTimeout returns the longest time that clients wait for a response, over all classes.
func (c *Config) LongestClientTimeout() time.Duration {
	var longest balancer.Micros
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return time.Duration(longest) * time.Microsecond
}
