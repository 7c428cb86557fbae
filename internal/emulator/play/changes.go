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
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/sidecarlog"
	"oakproxy/internal/emulator/worker"
)

// reloadTimeout is how long a change may take until it counts as missing.
const reloadTimeout = 10 * time.Second

// rollout is one replacement of all configuration files.
type rollout struct {
	startedAt  time.Time            // when the first file was replaced
	replacedAt map[string]time.Time // when each was, by sidecar
	bytes      int64
}

// playChanges changes the configuration time and again, then many times at once.
func playChanges(ctx context.Context, r *runner) error {
	if err := r.measureLoaded(ctx); err != nil {
		return err
	}
	if err := r.measure(ctx, "changes", 0, true, r.rollOutSequentially); err != nil {
		return err
	}
	if r.options.Scenario.Burst == 0 {
		return nil
	}
	return r.measure(ctx, "burst", r.options.Scenario.Loaded.Std()/2, true, r.rollOutBurst)
}

// rollOutSequentially makes one change after the other, each once the one before is in force
// and its time has come.
func (r *runner) rollOutSequentially(ctx context.Context, phase *result.Phase) error {
	scenario := r.options.Scenario
	var own, all []time.Duration
	missing := 0
	next := time.Now()
	for range scenario.Events {
		if err := pause(ctx, time.Until(next)); err != nil {
			return err
		}
		next = next.Add(scenario.Interval())
		handed, err := r.rollOut(ctx, phase)
		if err != nil {
			return err
		}
		times, late, err := r.awaitConfig(ctx)
		if err != nil {
			return err
		}
		for name, at := range times {
			own = append(own, at.Sub(handed.replacedAt[name]))
			all = append(all, at.Sub(handed.startedAt))
		}
		if missing += late; len(times) == 0 {
			phase.Notes = append(phase.Notes, "the change came into force at no sidecar: no other was made")
			break
		}
	}
	phase.Distributions = append(phase.Distributions,
		result.NewDistribution("from a file's replacement to its being in force there", len(own)+missing, own),
		result.NewDistribution("from the first file's replacement to a change's being in force", len(all)+missing, all))
	return nil
}

// rollOutBurst makes many changes without a pause, and awaits the last.
func (r *runner) rollOutBurst(ctx context.Context, phase *result.Phase) error {
	var first time.Time
	var last *rollout
	for i := range r.options.Scenario.Burst {
		if err := ctx.Err(); err != nil {
			return context.Cause(ctx)
		}
		handed, err := r.rollOut(ctx, phase)
		if err != nil {
			return err
		}
		if i == 0 {
			first = handed.startedAt
		}
		last = handed
	}
	times, missing, err := r.awaitConfig(ctx)
	if err != nil {
		return err
	}
	var fromFirst, fromLast []time.Duration
	for name, at := range times {
		fromFirst = append(fromFirst, at.Sub(first))
		fromLast = append(fromLast, at.Sub(last.replacedAt[name]))
	}
	phase.Distributions = append(phase.Distributions,
		result.NewDistribution("from the first of all replacements to the last change's being in force", len(times)+missing, fromFirst),
		result.NewDistribution("from a file's last replacement to its being in force there", len(times)+missing, fromLast))
	return nil
}

// rollOut makes the next version of the configuration, replaces all files and has all
// sidecars read them again.
func (r *runner) rollOut(ctx context.Context, phase *result.Phase) (*rollout, error) {
	r.version++
	handed, err := r.writeConfigs()
	if err != nil {
		return nil, err
	}
	if _, err := callAll[worker.Names, control.Empty](ctx, r.sidecarWorkers, worker.ReloadSidecars, worker.Names{}); err != nil {
		return nil, err
	}
	for _, s := range r.real {
		if err := s.child.Signal(syscall.SIGHUP); err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	phase.Events++
	phase.ConfigBytes += handed.bytes
	return handed, nil
}

// writeConfigs replaces all configuration files.
func (r *runner) writeConfigs() (*rollout, error) {
	handed := &rollout{startedAt: time.Now(), replacedAt: map[string]time.Time{}}
	for _, s := range r.real {
		if err := r.writeOne(handed, s.Sidecar.Name, func() (int, error) { return r.writeConfig(s.Sidecar, s.listen) }); err != nil {
			return nil, err
		}
	}
	for _, some := range r.simulated {
		for _, s := range some {
			if err := r.writeOne(handed, s.Name, func() (int, error) { return r.writeConfig(s, simulatedListen) }); err != nil {
				return nil, err
			}
		}
	}
	return handed, nil
}

// writeOne writes one file and notes when.
func (r *runner) writeOne(handed *rollout, name string, write func() (int, error)) error {
	size, err := write()
	handed.bytes += int64(size)
	handed.replacedAt[name] = time.Now()
	return err
}

// awaitConfig waits until each sidecar has in force what its file holds. It returns
// when, by sidecar, and the number of those at which it did not come in time.
func (r *runner) awaitConfig(ctx context.Context) (map[string]time.Time, int, error) {
	times := map[string]time.Time{}
	missing := 0
	var waiting sync.WaitGroup
	var realErr error
	realTimes := map[string]time.Time{}
	waiting.Add(1)
	go func() {
		defer waiting.Done()
		realErr = r.awaitRealConfig(ctx, realTimes)
	}()
	hollow, err := callAll[worker.Await, worker.Completions](ctx, r.sidecarWorkers, worker.AwaitConfig, worker.Await{Timeout: reloadTimeout})
	waiting.Wait()
	if err := errors.Join(err, realErr); err != nil {
		return nil, 0, err
	}
	for _, some := range hollow {
		missing += len(some.Missing)
		for _, arrival := range some.Completed {
			times[arrival.Name] = arrival.At
		}
	}
	for name, at := range realTimes {
		times[name] = at
	}
	return times, missing + len(r.real) - len(realTimes), nil
}

// awaitRealConfig does the same for the real sidecars.
func (r *runner) awaitRealConfig(ctx context.Context, times map[string]time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, reloadTimeout)
	defer cancel()
	for _, s := range r.real {
		cfg, err := config.Load(s.path)
		if err != nil {
			return err
		}
		if at, met := s.events.Await(ctx, sidecarlog.ConfigApplied(cfg.Hash())); met {
			times[s.Name] = at
		}
	}
	return nil
}
