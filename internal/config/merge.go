package config

import (
	"slices"
)

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

// UnknownName numbers a zone or kind that the settings do not list.
const UnknownName = 255

func NameIndex(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < UnknownName {
		return uint8(i)
	}
	return UnknownName
}
