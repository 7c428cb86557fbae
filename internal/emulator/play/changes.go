package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/result"
)

// playConfigChanges measures load without events, then load while configuration changes are rolled out one by one, and
// last load during a burst of changes, unless the scenario's burst is 0.
func playConfigChanges(ctx context.Context, r *runner) error {
	if err := r.measureLoadedPhase(ctx); err != nil {
		return err
	}
	if err := r.measurePhase(ctx, phasePlan{name: "changes", withLoad: true, action: r.rollOutSequentially}); err != nil {
		return err
	}
	if r.options.Scenario.Burst == 0 {
		return nil
	}
	return r.measurePhase(ctx, phasePlan{name: "burst", duration: r.options.Scenario.Loaded.Std() / 2, withLoad: true,
		action: r.rollOutBurst})
}

// rollOutSequentially rolls out as many changes as the scenario has events, one at each interval of the scenario. It
// starts a change only after every sidecar has applied the previous change or reloadTimeout has passed. If no sidecar
// applies a change in time, the remaining changes are not made and the phase gets a note.
func (r *runner) rollOutSequentially(ctx context.Context, phase *result.Phase) error {
	scenario := r.options.Scenario
	var delaysFromOwnReplacement, delaysFromFirstReplacement []time.Duration
	missingCount := 0
	nextRolloutAt := time.Now()
	for range scenario.Events {
		if err := pause(ctx, time.Until(nextRolloutAt)); err != nil {
			return err
		}
		nextRolloutAt = nextRolloutAt.Add(scenario.Interval())
		change, err := r.rollOutNextVersion(ctx, phase)
		if err != nil {
			return err
		}
		applied, err := r.awaitConfig(ctx)
		if err != nil {
			return err
		}
		for name, at := range applied.byName {
			delaysFromOwnReplacement = append(delaysFromOwnReplacement, at.Sub(change.replacedAt[name]))
			delaysFromFirstReplacement = append(delaysFromFirstReplacement, at.Sub(change.startedAt))
		}
		if missingCount += applied.missing; len(applied.byName) == 0 {
			phase.Notes = append(phase.Notes, "no sidecar applied the change in time; the remaining changes were not made")
			break
		}
	}
	phase.Distributions = append(phase.Distributions,
		result.NewDistribution("from a file's replacement to its being in force there",
			len(delaysFromOwnReplacement)+missingCount, delaysFromOwnReplacement),
		result.NewDistribution("from the first file's replacement to a change's being in force",
			len(delaysFromFirstReplacement)+missingCount, delaysFromFirstReplacement))
	return nil
}

// rollOutBurst rolls out the scenario's burst of changes without a pause, and waits until every sidecar has applied the
// last change or reloadTimeout has passed.
func (r *runner) rollOutBurst(ctx context.Context, phase *result.Phase) error {
	var firstStartedAt time.Time
	var lastRollout *rollout
	for i := range r.options.Scenario.Burst {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		change, err := r.rollOutNextVersion(ctx, phase)
		if err != nil {
			return err
		}
		if i == 0 {
			firstStartedAt = change.startedAt
		}
		lastRollout = change
	}
	applied, err := r.awaitConfig(ctx)
	if err != nil {
		return err
	}
	var delaysFromFirstReplacement, delaysFromLastReplacement []time.Duration
	for name, at := range applied.byName {
		delaysFromFirstReplacement = append(delaysFromFirstReplacement, at.Sub(firstStartedAt))
		delaysFromLastReplacement = append(delaysFromLastReplacement, at.Sub(lastRollout.replacedAt[name]))
	}
	total := len(applied.byName) + applied.missing
	phase.Distributions = append(phase.Distributions,
		result.NewDistribution("from the first of all replacements to the last change's being in force", total,
			delaysFromFirstReplacement),
		result.NewDistribution("from a file's last replacement to its being in force there", total,
			delaysFromLastReplacement))
	return nil
}
