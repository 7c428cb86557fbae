package play

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/sidecarlog"
	"oakproxy/internal/emulator/worker"
)

// reloadTimeout is how long a sidecar may take to apply a change until it counts as missing.
const reloadTimeout = 10 * time.Second

// rollout is one replacement of all configuration files.
type rollout struct {
	startedAt  time.Time            // when the first file was about to be replaced
	replacedAt map[string]time.Time // when each was, by sidecar
	bytes      int64
}

// appliedTimes are when sidecars applied the configuration in their files.
type appliedTimes struct {
	at      map[string]time.Time // by sidecar
	missing int                  // sidecars that did not within reloadTimeout
}

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

// rollOut makes the next version of the configuration, replaces all files and makes all sidecars reload them.
func (r *runner) rollOut(ctx context.Context, phase *result.Phase) (*rollout, error) {
	r.version++
	change, err := r.writeConfigs()
	if err != nil {
		return nil, err
	}
	if _, err := callAll[control.Empty](ctx, r.sidecarWorkers, worker.ReloadSidecars, worker.Names{}); err != nil {
		return nil, err
	}
	for _, s := range r.real {
		if err := s.child.Signal(syscall.SIGHUP); err != nil {
			return nil, fmt.Errorf("%s: reload: %w", s.Name, err)
		}
	}
	phase.Events++
	phase.ConfigBytes += change.bytes
	return change, nil
}

// writeConfigs replaces all configuration files.
func (r *runner) writeConfigs() (*rollout, error) {
	change := &rollout{startedAt: time.Now(), replacedAt: map[string]time.Time{}}
	replace := func(s fleet.Sidecar, listen string) error {
		size, err := r.writeConfig(s, listen)
		change.bytes += int64(size)
		change.replacedAt[s.Name] = time.Now()
		return err
	}
	for _, s := range r.real {
		if err := replace(s.Sidecar, s.listen); err != nil {
			return nil, err
		}
	}
	for _, group := range r.simulated {
		for _, s := range group {
			if err := replace(s, simulatedListen); err != nil {
				return nil, err
			}
		}
	}
	return change, nil
}

// awaitConfig waits until each sidecar has applied the configuration in its file, at most for reloadTimeout.
func (r *runner) awaitConfig(ctx context.Context) (appliedTimes, error) {
	var waiting sync.WaitGroup
	var realErr error
	applied := appliedTimes{at: map[string]time.Time{}}
	waiting.Add(1)
	go func() {
		defer waiting.Done()
		realErr = r.awaitRealConfig(ctx, applied.at)
	}()
	request := worker.Await{Timeout: reloadTimeout}
	simulated, err := callAll[worker.Completions](ctx, r.sidecarWorkers, worker.AwaitConfig, request)
	waiting.Wait()
	if err := errors.Join(err, realErr); err != nil {
		return appliedTimes{}, err
	}
	applied.missing = len(r.real) - len(applied.at)
	for _, completions := range simulated {
		applied.missing += len(completions.Missing)
		for _, completion := range completions.Completed {
			applied.at[completion.Name] = completion.At
		}
	}
	return applied, nil
}

// awaitRealConfig does the same for the real sidecars, and adds their times to appliedAt.
func (r *runner) awaitRealConfig(ctx context.Context, appliedAt map[string]time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, reloadTimeout)
	defer cancel()
	for _, s := range r.real {
		cfg, err := config.Load(s.path)
		if err != nil {
			return err
		}
		if at, met := s.events.Await(ctx, sidecarlog.ConfigApplied(cfg.Hash())); met {
			appliedAt[s.Name] = at
		}
	}
	return nil
}
