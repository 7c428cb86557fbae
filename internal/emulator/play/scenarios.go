package play

import (
	"context"

	"oakproxy/internal/emulator/spec"
)

// scenarios are what can be played. A new kind of scenario is a function more.
var scenarios = map[spec.Kind]func(context.Context, *runner) error{
	spec.Steady:  playSteady,
	spec.Changes: playChanges,
	spec.Replace: playReplace,
	spec.Zone:    playZone,
}

// playSteady changes nothing: a phase at rest, and one with load.
func playSteady(ctx context.Context, r *runner) error {
	scenario := r.options.Scenario
	if rest := scenario.Idle.Std(); rest > 0 {
		if err := r.measure(ctx, "rest", rest, false, nil); err != nil {
			return err
		}
	}
	return r.measureLoaded(ctx)
}

// measureLoaded plays the phase with load and nothing else, which the phases of other
// scenarios are held against.
func (r *runner) measureLoaded(ctx context.Context) error {
	length := r.options.Scenario.Loaded.Std()
	if length <= 0 {
		return nil
	}
	return r.measure(ctx, "loaded", length, true, nil)
}
