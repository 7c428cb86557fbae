package sidecar

import (
	"oakproxy/balancer"
	"slices"
	"testing"
)

// Areas keep their numbers, by which the balancer knows them, in any order.
func TestAreasKeepTheirNumbers(t *testing.T) {
	c := &Config{zones: []string{"a", "b"}}
	next := &Config{zones: []string{"c", "b", "a"}, Settings: balancer.Settings{Zone: 1}}
	got := c.succeededBy(next)
	if !slices.Equal(got.zones, []string{"a", "b", "c"}) || got.Settings.Zone != 1 || !c.restartsWatch(got) {
		t.Errorf("areas %v, own %d", got.zones, got.Settings.Zone)
	}
	if fresh := newSnapshot(next); newSnapshot(c).replacedBy(got, next.Hash()).hash != fresh.hash {
		t.Error("the hash differs from that of a sidecar which starts with the file")
	}
	next.Settings.Zone = 0
	if got := c.succeededBy(next); got.Settings.Zone != 2 {
		t.Errorf("own area %d, want 2", got.Settings.Zone)
	}
}
