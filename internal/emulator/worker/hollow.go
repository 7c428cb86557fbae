package worker

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/sidecarlog"
	"oakproxy/internal/sidecar"
)

// errRunning is returned for a sidecar that is to be started and runs.
var errRunning = errors.New("the sidecar runs already")

// hollowPlayer hosts sidecars that have no application beside them: the same code as in a
// process of its own, many times.
type hollowPlayer struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	sidecars map[string]*hosted // the latest life of each
	names    []string           // in the order of their first start
	past     SidecarCounts      // of lives that are over
}

func newHollowPlayer() *hollowPlayer {
	ctx, cancel := context.WithCancel(context.Background())
	return &hollowPlayer{ctx: ctx, cancel: cancel, sidecars: map[string]*hosted{}}
}

func (p *hollowPlayer) handlers() control.Handlers {
	return control.Handlers{
		StartSidecars:  control.Handle(p.start),
		StopSidecars:   control.Handle(p.stop),
		ReloadSidecars: control.Handle(p.reload),
		AwaitReady:     control.Handle(p.awaitReady),
		AwaitHeard:     control.Handle(p.awaitHeard),
		AwaitInForce:   control.Handle(p.awaitInForce),
		CountSidecars:  control.Handle(p.count),
	}
}

// start starts sidecars one after the other.
func (p *hollowPlayer) start(ctx context.Context, asked Sidecars) (control.Empty, error) {
	pause := asked.Spread / time.Duration(max(1, len(asked.Files)))
	for i, file := range asked.Files {
		if i > 0 && !pauseFor(ctx, pause) {
			return control.Empty{}, ctx.Err()
		}
		if err := p.startOne(file); err != nil {
			return control.Empty{}, fmt.Errorf("%s: %w", file.Name, err)
		}
	}
	return control.Empty{}, nil
}

// pauseFor waits for a time and says whether ctx lasts until then.
func pauseFor(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *hollowPlayer) startOne(file SidecarFile) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.sidecars[file.Name]
	if before != nil {
		if before.running() {
			return errRunning
		}
		p.past.Add(before.counts())
	}
	next, err := host(p.ctx, file)
	if err != nil {
		return err
	}
	if before == nil {
		p.names = append(p.names, file.Name)
	}
	p.sidecars[file.Name] = next
	return nil
}

// stop ends sidecars as SIGTERM does, and waits for them.
func (p *hollowPlayer) stop(_ context.Context, asked Names) (control.Empty, error) {
	stopping := p.selected(asked.Names)
	for _, s := range stopping {
		s.stop()
	}
	for _, s := range stopping {
		<-s.ended
	}
	return control.Empty{}, nil
}

// reload has sidecars read their files again, as SIGHUP does.
func (p *hollowPlayer) reload(_ context.Context, asked Names) (control.Empty, error) {
	for _, s := range p.selected(asked.Names) {
		s.hangUp()
	}
	return control.Empty{}, nil
}

// selected returns the sidecars of these names; of none: all that run.
func (p *hollowPlayer) selected(names []string) []*hosted {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []*hosted
	for _, name := range p.names {
		s := p.sidecars[name]
		if slices.Contains(names, name) || len(names) == 0 && s.running() {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

func (p *hollowPlayer) awaitReady(ctx context.Context, asked Await) (Arrivals, error) {
	return p.await(ctx, asked, func(*hosted) sidecarlog.Condition { return sidecarlog.Ready })
}

func (p *hollowPlayer) awaitHeard(ctx context.Context, asked Await) (Arrivals, error) {
	return p.await(ctx, asked, func(*hosted) sidecarlog.Condition { return sidecarlog.Heard(asked.Seq) })
}

func (p *hollowPlayer) awaitInForce(ctx context.Context, asked Await) (Arrivals, error) {
	return p.await(ctx, asked, func(s *hosted) sidecarlog.Condition {
		cfg, err := readConfig(s.file.Path)
		if err != nil {
			return func(*sidecarlog.Events) (time.Time, bool) { return time.Time{}, false }
		}
		return sidecarlog.InForce(cfg.Hash())
	})
}

// await waits for a condition at each sidecar that a request is about. One that ends
// meanwhile is neither among those that came nor missing.
func (p *hollowPlayer) await(ctx context.Context, asked Await, of func(*hosted) sidecarlog.Condition) (Arrivals, error) {
	ctx, cancel := context.WithTimeout(ctx, asked.Within)
	defer cancel()
	var all Arrivals
	for _, s := range p.selected(asked.Names) {
		at, came := s.await(ctx, of(s))
		switch {
		case came:
			all.Arrived = append(all.Arrived, Arrival{s.file.Name, s.started, at})
		case s.running():
			all.Missing = append(all.Missing, s.file.Name)
		}
	}
	return all, nil
}

func (p *hollowPlayer) count(context.Context, control.Empty) (SidecarCounts, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := p.past
	for _, s := range p.sidecars {
		sum.Add(s.counts())
	}
	sum.Goroutines = runtime.NumGoroutine()
	return sum, nil
}

// Add adds what other lives counted.
func (c *SidecarCounts) Add(other SidecarCounts) {
	c.Running += other.Running
	c.Counts.Add(other.Counts)
	c.Failed += other.Failed
	if c.FirstFailure == "" {
		c.FirstFailure = other.FirstFailure
	}
}

// close ends the sidecars without waiting for their drains: the process ends with them.
func (p *hollowPlayer) close() { p.cancel() }

// hosted is one life of a sidecar.
type hosted struct {
	file    SidecarFile
	started time.Time
	events  *sidecarlog.Events
	stop    context.CancelFunc
	ended   chan struct{} // closed when the sidecar has ended
	err     error         // why; valid once ended is closed

	mu      sync.Mutex
	hangups chan os.Signal // nil once the sidecar has ended
}

// readConfig reads a configuration file for a sidecar that shares its process.
func readConfig(path string) (*config.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

// host starts a sidecar by its configuration file.
func host(ctx context.Context, file SidecarFile) (*hosted, error) {
	cfg, err := readConfig(file.Path)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	s := &hosted{file: file, started: time.Now(), events: sidecarlog.New(), stop: stop, hangups: make(chan os.Signal, 1), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		defer s.endHangups()
		s.err = sidecar.Run(ctx, cfg, config.ReloadOnSignal(file.Path, s.hangups), s.events.Logger())
	}()
	return s, nil
}

// hangUp is SIGHUP: one that comes while another waits adds nothing.
func (s *hosted) hangUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.hangups <- nil:
	default:
	}
}

// endHangups ends the signals of a sidecar that has ended.
func (s *hosted) endHangups() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.hangups)
	s.hangups = nil
}

// await waits for a condition, until ctx or the sidecar ends.
func (s *hosted) await(ctx context.Context, condition sidecarlog.Condition) (time.Time, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-s.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return s.events.Await(ctx, condition)
}

func (s *hosted) running() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

func (s *hosted) counts() SidecarCounts {
	c := SidecarCounts{Counts: s.events.Counts()}
	if s.running() {
		c.Running = 1
	} else if s.err != nil {
		c.Failed, c.FirstFailure = 1, s.file.Name+": "+s.err.Error()
	}
	return c
}
