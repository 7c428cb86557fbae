package config

import "slices"

// UnknownIndex is the number of a zone or machine kind that the settings do not list. It is the largest of a uint8, so
// smaller numbers are left for names.
const UnknownIndex = 255

// Merge returns the configuration of a sidecar that runs by c once it has put next into force. Keys that need a restart
// keep their values. Zones and machine kinds keep their numbers, and those that only next lists follow.
func (c *Config) Merge(next *Config) *Config {
	merged := *c
	merged.DiscoveryAddress, merged.Limits.Sockets = next.DiscoveryAddress, next.Limits.Sockets
	merged.Settings, merged.ReportFields, merged.IdleTimeout = next.Settings, next.ReportFields, next.IdleTimeout
	merged.Zones = appendNewNames(c.Zones, next.Zones)
	merged.MachineKinds = appendNewNames(c.MachineKinds, next.MachineKinds)
	if zone := next.Settings.Zone; zone >= 0 && zone < len(next.Zones) {
		merged.Settings.Zone = slices.Index(merged.Zones, next.Zones[zone])
	}
	return &merged
}

// appendNewNames returns names with those of next that they lack, up to UnknownIndex of them. A name's index is the
// number by which the balancer knows it, so no index may change its name while a process runs.
func appendNewNames(names, next []string) []string {
	all := slices.Clone(names)
	for _, name := range next {
		if !slices.Contains(all, name) && len(all) < UnknownIndex {
			all = append(all, name)
		}
	}
	return all
}

// NameIndex returns the number of a zone or machine kind in names, or UnknownIndex if it is not among them.
func NameIndex(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < UnknownIndex {
		return uint8(i)
	}
	return UnknownIndex
}
