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

// reloadTimeout is how long the emulator waits for the sidecars to apply a change. A sidecar that has not applied the
// change by then is recorded as missing.
const reloadTimeout = 10 * time.Second

// rollout describes one replacement of all configuration files.
type rollout struct {
	startedAt   time.Time            // time just before the first file was replaced
	replacedAt  map[string]time.Time // time at which each file was replaced, by sidecar name
	configBytes int64                // total size of the files
}

// appliedTimes holds the times at which sidecars applied the configuration in their files.
type appliedTimes struct {
	byName  map[string]time.Time // time at which each sidecar applied its configuration, by sidecar name
	missing int                  // number of sidecars that had not applied their configuration after reloadTimeout
}

// rollOutNextVersion increments the configuration's version, replaces all configuration files and makes all sidecars
// reload them. It doesn't wait until they have applied the change.
func (r *runner) rollOutNextVersion(ctx context.Context, phase *result.Phase) (*rollout, error) {
	r.configVersion++
	change, err := r.writeConfigs()
	if err != nil {
		return nil, err
	}
	if _, err := callAll[control.Empty](
		ctx, r.simulatedSidecarWorkers, worker.ReloadSidecars, worker.SidecarNames{}); err != nil {
		return nil, err
	}
	for _, s := range r.real {
		if err := s.child.Signal(syscall.SIGHUP); err != nil {
			return nil, fmt.Errorf("%s: sending SIGHUP for a reload: %w", s.Name, err)
		}
	}
	phase.Events++
	phase.ConfigBytes += change.configBytes
	return change, nil
}

// awaitConfig waits until each sidecar has applied the configuration in its file, for at most reloadTimeout.
func (r *runner) awaitConfig(ctx context.Context) (appliedTimes, error) {
	var waiting sync.WaitGroup
	var realErr error
	applied := appliedTimes{byName: map[string]time.Time{}}
	waiting.Add(1)
	go func() {
		defer waiting.Done()
		realErr = r.awaitRealConfig(ctx, applied.byName)
	}()
	request := worker.AwaitRequest{Timeout: reloadTimeout}
	simulated, err := callAll[worker.Completions](ctx, r.simulatedSidecarWorkers, worker.AwaitConfig, request)
	waiting.Wait()
	if err := errors.Join(err, realErr); err != nil {
		return appliedTimes{}, err
	}
	applied.missing = len(r.real) - len(applied.byName)
	for _, completions := range simulated {
		applied.missing += len(completions.Missing)
		for _, completion := range completions.Completed {
			applied.byName[completion.Name] = completion.At
		}
	}
	return applied, nil
}

// awaitRealConfig waits until each real sidecar has applied the configuration in its file, for at most reloadTimeout,
// and adds the times to appliedAt, by sidecar name. A sidecar that misses the timeout gets no entry.
func (r *runner) awaitRealConfig(ctx context.Context, appliedAt map[string]time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, reloadTimeout)
	defer cancel()
	for _, s := range r.real {
		cfg, err := config.Load(s.configPath)
		if err != nil {
			return err
		}
		if at, met := s.events.Await(ctx, sidecarlog.ConfigApplied(cfg.Hash())); met {
			appliedAt[s.Name] = at
		}
	}
	return nil
}
