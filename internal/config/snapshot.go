package config

import (
	"time"

	"oakproxy/balancer"
)

// FirstGeneration is the generation of the configuration that a sidecar starts with.
const FirstGeneration = 1

// Snapshot is a configuration in force, with what is derived from it. It does not change: the goroutines of clients
// read it while the event loop puts the next one into force.
type Snapshot struct {
	*Config
	Generation int               // FirstGeneration at the start, and one more with each change
	FileHash   string            // the Hash of the file that it is from, as it is and not as it is merged
	Classes    map[string]uint8  // index in Settings.Classes, by name
	Tenants    map[string]uint16 // index in Settings.Tenants, by name
}

// NewSnapshot returns the first configuration in force of a sidecar.
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

// Next returns the configuration in force after s. cfg is a result of Merge, and hash that of the file merged.
func (s *Snapshot) Next(cfg *Config, hash string) *Snapshot {
	next := NewSnapshot(cfg)
	next.FileHash = hash
	next.Generation = s.Generation + 1
	return next
}

// LongestClientTimeout returns the longest time that a client of any class waits for a response.
func (c *Config) LongestClientTimeout() time.Duration {
	var longest balancer.Micros
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return time.Duration(longest) * time.Microsecond
}
