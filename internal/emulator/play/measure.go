package play

import (
	"context"
	"errors"
	"time"

	"oakproxy/internal/emulator/result"
)

// action is what happens in a phase in addition to the load. It records its results in the phase.
type action func(ctx context.Context, phase *result.Phase) error

// phasePlan describes a phase to measure.
type phasePlan struct {
	name     string
	duration time.Duration // at least; the action may take longer
	loaded   bool          // requests are sent
	action   action        // nil: none
}

// measure plays a phase: for its duration, and until its action is done.
func (r *runner) measure(ctx context.Context, plan phasePlan) error {
	r.setPhase(plan.name)
	phase := result.Phase{Name: plan.name}
	before, err := r.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	sending := r.startLoad(ctx, plan.loaded)
	err = plan.run(ctx, &phase)
	reports, loadErr := r.stopLoad(ctx, sending)
	if err := errors.Join(err, loadErr); err != nil {
		return err
	}
	after, err := r.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	phase.Proxied, phase.Direct = result.NewRequests(reports.Proxied), result.NewRequests(reports.Direct)
	after.since(before, &phase)
	r.run.Phases = append(r.run.Phases, phase)
	return nil
}

// run runs the plan's action and waits until the duration is over.
func (p phasePlan) run(ctx context.Context, phase *result.Phase) error {
	end := time.Now().Add(p.duration)
	if p.action != nil {
		if err := p.action(ctx, phase); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(end))
}
