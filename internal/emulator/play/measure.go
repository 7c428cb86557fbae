package play

import (
	"context"
	"errors"
	"time"

	"oakproxy/internal/emulator/result"
)

// action plays the events of a phase, such as restarts, while load is sent. It records its results in the phase.
type action func(ctx context.Context, phase *result.Phase) error

// phasePlan describes a phase to measure.
type phasePlan struct {
	name     string
	duration time.Duration // minimum duration; the phase lasts longer if the action does
	withLoad bool          // whether requests are sent during the phase
	action   action        // nil if nothing but load happens in the phase
}

// measurePhase plays a phase and appends it to the run's phases. The phase lasts for the plan's duration, and until the
// plan's action is done. The results are the difference between a snapshot before it and one after it.
func (r *runner) measurePhase(ctx context.Context, plan phasePlan) error {
	r.setPhase(plan.name)
	phase := result.Phase{Name: plan.name}
	before, err := r.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	loadDone := r.startLoad(ctx, plan.withLoad)
	err = plan.run(ctx, &phase)
	reports, loadErr := r.stopLoad(ctx, loadDone)
	if err := errors.Join(err, loadErr); err != nil {
		return err
	}
	after, err := r.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	phase.Proxied, phase.Direct = result.NewRequests(reports.Proxied), result.NewRequests(reports.Direct)
	after.recordSince(before, &phase)
	r.run.Phases = append(r.run.Phases, phase)
	return nil
}

// run runs the plan's action, if there is one, and waits until the plan's duration has passed since run was called.
func (p phasePlan) run(ctx context.Context, phase *result.Phase) error {
	end := time.Now().Add(p.duration)
	if p.action != nil {
		if err := p.action(ctx, phase); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(end))
}
