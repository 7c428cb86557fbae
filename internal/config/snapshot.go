package config

import (
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
