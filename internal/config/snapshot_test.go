package config

import (
	"slices"
	"testing"

	"oakproxy/balancer"
)

// Merge keeps the numbers of zones, whatever their order in the new file.
func TestMergeKeepsZoneNumbers(t *testing.T) {
	current := &Config{Zones: []string{"a", "b"}}
	next := &Config{Zones: []string{"c", "b", "a"}, Settings: balancer.Settings{Zone: 1}}
	got := current.Merge(next)
	if !slices.Equal(got.Zones, []string{"a", "b", "c"}) || got.Settings.Zone != 1 || !current.ChangesDiscovery(got) {
		t.Errorf("got zones %v, own zone %d; want a, b, c, own zone 1 and a change of discovery",
			got.Zones, got.Settings.Zone)
	}
	if fresh := NewSnapshot(next); NewSnapshot(current).Next(got, next.Hash()).FileHash != fresh.FileHash {
		t.Errorf("got a hash after the reload that is not %s, the hash after a start with the same file", fresh.FileHash)
	}
	next.Settings.Zone = 0
	if got := current.Merge(next); got.Settings.Zone != 2 {
		t.Errorf("got own zone %d, want 2", got.Settings.Zone)
	}
}
