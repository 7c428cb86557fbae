package play

import (
	"context"
	"errors"
	"time"

	"oakproxy/internal/emulator/result"
)

// action is what happens in a phase beside the load.
type action func(ctx context.Context, phase *result.Phase) error

// measure plays a phase: for a time, and until its action is done, if it has one.
func (r *runner) measure(ctx context.Context, name string, length time.Duration, loaded bool, do action) error {
	r.setPhase(name)
	phase := result.Phase{Name: name}
	before, err := r.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	sending := r.startLoad(ctx, loaded)
	err = r.runAction(ctx, &phase, length, do)
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

// runAction does an action, and waits until the phase has had its time.
func (r *runner) runAction(ctx context.Context, phase *result.Phase, length time.Duration, do action) error {
	ends := time.Now().Add(length)
	if do != nil {
		if err := do(ctx, phase); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(ends))
}
