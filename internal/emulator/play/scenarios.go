package play

import (
	"context"

	"oakproxy/internal/emulator/spec"
)

// scenarios holds the function that plays each kind of scenario.
var scenarios = map[spec.Kind]func(context.Context, *runner) error{
	spec.Steady:        playSteady,
	spec.ConfigChanges: playConfigChanges,
	spec.Replacements:  playReplacements,
	spec.ZoneFailure:   playZoneFailure,
}

// playSteady measures a fleet in which nothing changes: an idle phase without load, unless its length is 0, and a phase
// with load.
func playSteady(ctx context.Context, r *runner) error {
	scenario := r.options.Scenario
	if idle := scenario.Idle.Std(); idle > 0 {
		if err := r.measurePhase(ctx, phasePlan{name: "rest", duration: idle}); err != nil {
			return err
		}
	}
	return r.measureLoadedPhase(ctx)
}

// measureLoadedPhase measures the phase with load and nothing else, which is the baseline of other phases. It does
// nothing if the scenario's length of that phase is 0.
func (r *runner) measureLoadedPhase(ctx context.Context) error {
	duration := r.options.Scenario.Loaded.Std()
	if duration <= 0 {
		return nil
	}
	return r.measurePhase(ctx, phasePlan{name: "loaded", duration: duration, withLoad: true})
}
