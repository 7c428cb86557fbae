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

// rollOut makes the next version of the configuration, replaces all files and makes all sidecars reload them.
func (r *runner) rollOut(ctx context.Context, phase *result.Phase) (*rollout, error) {
	r.version++
	change, err := r.writeConfigs()
	if err != nil {
		return nil, err
	}
	if _, err := callAll[control.Empty](ctx, r.sidecarWorkers, worker.ReloadSidecars, worker.SidecarNames{}); err != nil {
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
	request := worker.AwaitRequest{Timeout: reloadTimeout}
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
