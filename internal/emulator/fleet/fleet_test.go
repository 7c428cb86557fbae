package fleet

import (
	"testing"

	"oakproxy/internal/config"
	"oakproxy/internal/emulator/spec"
)

// readShippedFile returns the scenario file that is part of the project.
func readShippedFile(t *testing.T) *spec.File {
	t.Helper()
	file, err := spec.Read("../../../deploy/emulator.toml")
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func TestLayoutSpreadsTheFleetEvenly(t *testing.T) {
	l := New(readShippedFile(t), spec.Size{Sidecars: 860, Endpoints: 860, Real: 16})
	names, addresses, zones := map[string]bool{}, map[string]bool{}, map[int]int{}
	for _, e := range l.Endpoints {
		names[e.Name], addresses[e.Address] = true, true
		zones[e.Zone]++
	}
	if len(l.Zones) != 6 || len(names) != 860 || len(addresses) != 860 {
		t.Errorf("got %d zones, %d distinct names, %d distinct addresses, want 6, 860, 860",
			len(l.Zones), len(names), len(addresses))
	}
	for zone, count := range zones {
		if count < 143 || count > 144 {
			t.Errorf("got %d endpoints in zone %d, want 143 or 144", count, zone)
		}
	}
	realZones := map[int]bool{}
	realCount := 0
	for _, s := range l.Sidecars {
		if s.Real {
			realZones[s.Zone] = true
			realCount++
		}
	}
	if realCount != 16 || len(realZones) != 6 {
		t.Errorf("got %d real sidecars in %d zones, want 16 in 6", realCount, len(realZones))
	}
}

// A sidecar can parse the configuration files. Their hashes are equal for all sidecars, and differ between versions.
func TestConfigurationsParseAndDifferByVersion(t *testing.T) {
	file := readShippedFile(t)
	layout := New(file, spec.Size{Sidecars: 12, Endpoints: 12})
	c := &Configurations{File: file, Layout: layout, Discovery: "127.0.0.1:1", Seed: 7}
	parse := func(position, version int) *config.Config {
		text, err := c.Encode(c.Layout.Sidecars[position], "127.0.0.1:0", version)
		if err != nil {
			t.Fatal(err)
		}
		cfg, err := config.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	base, otherSidecar, nextVersion := parse(0, 1), parse(5, 1), parse(0, 2)
	s := base.Settings
	if s.Balancers != 12 || !s.SubscribeToDiscovery || !s.Limits.Probes || len(s.Classes) != 3 ||
		len(s.Tenants) != 4 || len(s.ReportFields) != 1 {
		t.Errorf("got settings %+v, want 12 balancers, a subscription to discovery, probes, 3 classes, 4 tenants "+
			"and 1 report field", s)
	}
	if base.Hash() != otherSidecar.Hash() {
		t.Errorf("got hashes %v and %v for two sidecars, want equal hashes", base.Hash(), otherSidecar.Hash())
	}
	if base.Hash() == nextVersion.Hash() {
		t.Errorf("got hash %v for two versions, want different hashes", base.Hash())
	}
}
