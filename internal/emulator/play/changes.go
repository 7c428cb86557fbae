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

// inForceWithin is how long a change may take until it counts as missing.
const inForceWithin = 10 * time.Second

// handOut is one replacement of all configuration files.
type handOut struct {
	first    time.Time            // when the first file was replaced
	replaced map[string]time.Time // when each was, by sidecar
	bytes    int64
}

// playChanges changes the configuration time and again, then many times at once.
func playChanges(ctx context.Context, r *runner) error {
	if err := r.measureLoaded(ctx); err != nil {
		return err
	}
	if err := r.measure(ctx, "changes", 0, true, r.changeInTurn); err != nil {
		return err
	}
	if r.options.Scenario.Burst == 0 {
		return nil
	}
	return r.measure(ctx, "burst", r.options.Scenario.Loaded.Std()/2, true, r.changeAtOnce)
}

// changeInTurn makes one change after the other, each once the one before is in force
// and its time has come.
func (r *runner) changeInTurn(ctx context.Context, phase *result.Phase) error {
	scenario := r.options.Scenario
	var own, all []time.Duration
	missing := 0
	next := time.Now()
	for range scenario.Events {
		if err := pause(ctx, time.Until(next)); err != nil {
			return err
		}
		next = next.Add(scenario.Interval())
		handed, err := r.change(ctx, phase)
		if err != nil {
			return err
		}
		times, late, err := r.awaitInForce(ctx)
		if err != nil {
			return err
		}
		for name, at := range times {
			own = append(own, at.Sub(handed.replaced[name]))
			all = append(all, at.Sub(handed.first))
		}
		if missing += late; len(times) == 0 {
			phase.Notes = append(phase.Notes, "the change came into force at no sidecar: no other was made")
			break
		}
	}
	phase.Spreads = append(phase.Spreads,
		result.NewSpread("from a file's replacement to its being in force there", len(own)+missing, own),
		result.NewSpread("from the first file's replacement to a change's being in force", len(all)+missing, all))
	return nil
}

// changeAtOnce makes many changes without a pause, and awaits the last.
func (r *runner) changeAtOnce(ctx context.Context, phase *result.Phase) error {
	var first time.Time
	var last *handOut
	for i := range r.options.Scenario.Burst {
		if err := ctx.Err(); err != nil {
			return context.Cause(ctx)
		}
		handed, err := r.change(ctx, phase)
		if err != nil {
			return err
		}
		if i == 0 {
			first = handed.first
		}
		last = handed
	}
	times, missing, err := r.awaitInForce(ctx)
	if err != nil {
		return err
	}
	var fromFirst, fromLast []time.Duration
	for name, at := range times {
		fromFirst = append(fromFirst, at.Sub(first))
		fromLast = append(fromLast, at.Sub(last.replaced[name]))
	}
	phase.Spreads = append(phase.Spreads,
		result.NewSpread("from the first of all replacements to the last change's being in force", len(times)+missing, fromFirst),
		result.NewSpread("from a file's last replacement to its being in force there", len(times)+missing, fromLast))
	return nil
}

// change makes the next version of the configuration, replaces all files and has all
// sidecars read them again.
func (r *runner) change(ctx context.Context, phase *result.Phase) (*handOut, error) {
	r.version++
	handed, err := r.writeAll()
	if err != nil {
		return nil, err
	}
	if _, err := callAll[worker.Names, control.Empty](ctx, r.hosts, worker.ReloadSidecars, worker.Names{}); err != nil {
		return nil, err
	}
	for _, s := range r.real {
		if err := s.child.Signal(syscall.SIGHUP); err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	phase.Events++
	phase.HandedOutBytes += handed.bytes
	return handed, nil
}

// writeAll replaces all configuration files.
func (r *runner) writeAll() (*handOut, error) {
	handed := &handOut{first: time.Now(), replaced: map[string]time.Time{}}
	for _, s := range r.real {
		if err := r.hand(handed, s.Sidecar.Name, func() (int, error) { return r.write(s.Sidecar, s.listen) }); err != nil {
			return nil, err
		}
	}
	for _, some := range r.hollow {
		for _, s := range some {
			if err := r.hand(handed, s.Name, func() (int, error) { return r.write(s, hollowListen) }); err != nil {
				return nil, err
			}
		}
	}
	return handed, nil
}

// hand writes one file and notes when.
func (r *runner) hand(handed *handOut, name string, write func() (int, error)) error {
	size, err := write()
	handed.bytes += int64(size)
	handed.replaced[name] = time.Now()
	return err
}

// awaitConfig waits until each sidecar has in force what its file holds. It returns
// when, by sidecar, and the number of those at which it did not come in time.
func (r *runner) awaitInForce(ctx context.Context) (map[string]time.Time, int, error) {
	times := map[string]time.Time{}
	missing := 0
	var waiting sync.WaitGroup
	var realErr error
	realTimes := map[string]time.Time{}
	waiting.Add(1)
	go func() {
		defer waiting.Done()
		realErr = r.awaitRealInForce(ctx, realTimes)
	}()
	hollow, err := callAll[worker.Await, worker.Completions](ctx, r.hosts, worker.AwaitConfig, worker.Await{Timeout: inForceWithin})
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

// awaitRealInForce does the same for the real sidecars.
func (r *runner) awaitRealInForce(ctx context.Context, times map[string]time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, inForceWithin)
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
