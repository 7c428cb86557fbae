package config

import (
	"slices"
	"testing"

	"oakproxy/balancer"
)

// Zones keep the numbers by which the balancer knows them, whatever their order in the next file.
func TestMergeKeepsZoneNumbers(t *testing.T) {
	current := &Config{Zones: []string{"a", "b"}}
	next := &Config{Zones: []string{"c", "b", "a"}, Settings: balancer.Settings{Zone: 1}}
	got := current.Merge(next)
	if !slices.Equal(got.Zones, []string{"a", "b", "c"}) || got.Settings.Zone != 1 || !current.ChangesDiscovery(got) {
		t.Errorf("zones %v, own %d", got.Zones, got.Settings.Zone)
	}
	if fresh := NewSnapshot(next); NewSnapshot(current).Next(got, next.Hash()).FileHash != fresh.FileHash {
		t.Error("the hash differs from that of a sidecar which starts with the file")
	}
	next.Settings.Zone = 0
	if got := current.Merge(next); got.Settings.Zone != 2 {
		t.Errorf("own zone %d, want 2", got.Settings.Zone)
	}
}
