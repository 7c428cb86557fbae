package config

import "slices"

// UnknownIndex is the number of every zone or machine kind that the settings do not list. It is the largest uint8;
// names in the settings have the numbers below it.
const UnknownIndex = 255

// Merge returns the configuration in force after a reload from c to next. Keys that can change only by a restart keep
// their values in c. Zones and machine kinds in c keep their numbers. Zones and machine kinds that only next lists get
// the numbers that follow.
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

// appendNewNames returns names, followed by the elements of next that are not in names. The result is limited to
// UnknownIndex elements. The balancer identifies a name by its index, so the index of a name must not change while the
// process runs.
func appendNewNames(names, next []string) []string {
	all := slices.Clone(names)
	for _, name := range next {
		if !slices.Contains(all, name) && len(all) < UnknownIndex {
			all = append(all, name)
		}
	}
	return all
}

// NameIndex returns the index of a name in the list of zones or of machine kinds, or UnknownIndex if the list does not
// contain the name.
func NameIndex(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < UnknownIndex {
		return uint8(i)
	}
	return UnknownIndex
}
