package play

import (
	"context"

	"oakproxy/internal/emulator/spec"
)

// scenarios holds the function that plays each kind of scenario.
var scenarios = map[spec.Kind]func(context.Context, *runner) error{
	spec.Steady:  playSteady,
	spec.Changes: playChanges,
	spec.Replace: playReplace,
	spec.Zone:    playZone,
}

// playSteady changes nothing: a phase without load, and one with it.
func playSteady(ctx context.Context, r *runner) error {
	scenario := r.options.Scenario
	if idle := scenario.Idle.Std(); idle > 0 {
		if err := r.measure(ctx, phasePlan{name: "rest", duration: idle}); err != nil {
			return err
		}
	}
	return r.measureLoaded(ctx)
}

// measureLoaded plays the phase with load and nothing else, the baseline of the other phases.
func (r *runner) measureLoaded(ctx context.Context) error {
	duration := r.options.Scenario.Loaded.Std()
	if duration <= 0 {
		return nil
	}
	return r.measure(ctx, phasePlan{name: "loaded", duration: duration, loaded: true})
}
