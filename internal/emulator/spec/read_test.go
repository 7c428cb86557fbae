package spec

import (
	"errors"
	"slices"
	"testing"
	"time"
)

func TestShippedScenarioFileIsValid(t *testing.T) {
	file, err := Read("../../../deploy/emulator.toml")
	if err != nil {
		t.Fatal(err)
	}
	if want := []string{"changes", "replace", "steady", "zone"}; !slices.Equal(file.Names(), want) {
		t.Errorf("got scenarios %v, want %v", file.Names(), want)
	}
	scenario, err := file.Scenario("changes")
	if err != nil || scenario.Kind != ConfigChanges {
		t.Fatalf("got scenario %+v, error %v, want kind %s", scenario, err, ConfigChanges)
	}
	// 1,300 changes per day, played 66.5 times as fast, are one change every 0.9994 s.
	if interval := scenario.Interval().Round(time.Millisecond); interval != 999*time.Millisecond {
		t.Errorf("got an interval of %v, want 999 ms", interval)
	}
}

func TestSizesOutOfRangeAreRejected(t *testing.T) {
	for _, size := range []Size{{1, 1, 0}, {1, 1, 1}, {860, 860, 100}, {maxSidecars, maxEndpoints, maxReal}} {
		if err := size.Validate(); err != nil {
			t.Errorf("size %+v: got error %v, want none", size, err)
		}
	}
	for _, size := range []Size{{0, 1, 0}, {1, 0, 0}, {1, 1, 2}, {200, 200, 101}, {1, 1, -1},
		{maxSidecars + 1, 1, 0}, {1, maxEndpoints + 1, 0}} {
		var inputErr *InputError
		if err := size.Validate(); !errors.As(err, &inputErr) {
			t.Errorf("size %+v: got error %v, want an *InputError", size, err)
		}
	}
}
