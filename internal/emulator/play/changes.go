package play

import (
	"context"
	"time"

	"oakproxy/internal/emulator/result"
)

// playChanges rolls out changes of the configuration one by one, then a burst of them.
func playChanges(ctx context.Context, r *runner) error {
	if err := r.measureLoaded(ctx); err != nil {
		return err
	}
	if err := r.measure(ctx, phasePlan{name: "changes", loaded: true, action: r.rollOutSequentially}); err != nil {
		return err
	}
	if r.options.Scenario.Burst == 0 {
		return nil
	}
	return r.measure(ctx, phasePlan{name: "burst", duration: r.options.Scenario.Loaded.Std() / 2, loaded: true,
		action: r.rollOutBurst})
}

// rollOutSequentially rolls out one change after the other at the scenario's interval, each no earlier than
// the one before has been applied.
func (r *runner) rollOutSequentially(ctx context.Context, phase *result.Phase) error {
	scenario := r.options.Scenario
	var fromFile, fromFirst []time.Duration
	missing := 0
	next := time.Now()
	for range scenario.Events {
		if err := pause(ctx, time.Until(next)); err != nil {
			return err
		}
		next = next.Add(scenario.Interval())
		change, err := r.rollOut(ctx, phase)
		if err != nil {
			return err
		}
		applied, err := r.awaitConfig(ctx)
		if err != nil {
			return err
		}
		for name, at := range applied.at {
			fromFile = append(fromFile, at.Sub(change.replacedAt[name]))
			fromFirst = append(fromFirst, at.Sub(change.startedAt))
		}
		if missing += applied.missing; len(applied.at) == 0 {
			phase.Notes = append(phase.Notes, "the change came into force at no sidecar: no other was made")
			break
		}
	}
	phase.Distributions = append(phase.Distributions,
		result.NewDistribution("from a file's replacement to its being in force there", len(fromFile)+missing, fromFile),
		result.NewDistribution("from the first file's replacement to a change's being in force",
			len(fromFirst)+missing, fromFirst))
	return nil
}

// rollOutBurst rolls out many changes without a pause and waits until the last is applied.
func (r *runner) rollOutBurst(ctx context.Context, phase *result.Phase) error {
	var first time.Time
	var last *rollout
	for i := range r.options.Scenario.Burst {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		change, err := r.rollOut(ctx, phase)
		if err != nil {
			return err
		}
		if i == 0 {
			first = change.startedAt
		}
		last = change
	}
	applied, err := r.awaitConfig(ctx)
	if err != nil {
		return err
	}
	var fromFirst, fromLast []time.Duration
	for name, at := range applied.at {
		fromFirst = append(fromFirst, at.Sub(first))
		fromLast = append(fromLast, at.Sub(last.replacedAt[name]))
	}
	total := len(applied.at) + applied.missing
	phase.Distributions = append(phase.Distributions,
		result.NewDistribution("from the first of all replacements to the last change's being in force", total, fromFirst),
		result.NewDistribution("from a file's last replacement to its being in force there", total, fromLast))
	return nil
}
