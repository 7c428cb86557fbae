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

// errAlreadyRunning is returned for a sidecar that is to be started and runs.
var errAlreadyRunning = errors.New("the sidecar runs already")

// sidecarService hosts sidecars that have no application beside them: the same code as in a
// process of its own, many times.
type sidecarService struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	sidecars   map[string]*hostedSidecar // the latest life of each
	names      []string                  // in the order of their first start
	pastCounts SidecarCounts             // of lives that are over
}

func newSidecarService() *sidecarService {
	ctx, cancel := context.WithCancel(context.Background())
	return &sidecarService{ctx: ctx, cancel: cancel, sidecars: map[string]*hostedSidecar{}}
}

func (p *sidecarService) handlers() control.Handlers {
	return control.Handlers{
		StartSidecars:  control.Handle(p.start),
		StopSidecars:   control.Handle(p.stop),
		ReloadSidecars: control.Handle(p.reload),
		AwaitReady:     control.Handle(p.awaitReady),
		AwaitList:      control.Handle(p.awaitList),
		AwaitConfig:    control.Handle(p.awaitConfig),
		CountSidecars:  control.Handle(p.count),
	}
}

// start starts sidecars one after the other.
func (p *sidecarService) start(ctx context.Context, asked Sidecars) (control.Empty, error) {
	pause := asked.Over / time.Duration(max(1, len(asked.Files)))
	for i, file := range asked.Files {
		if i > 0 && !sleep(ctx, pause) {
			return control.Empty{}, ctx.Err()
		}
		if err := p.startOne(file); err != nil {
			return control.Empty{}, fmt.Errorf("%s: %w", file.Name, err)
		}
	}
	return control.Empty{}, nil
}

// sleep waits for a time and says whether ctx lasts until then.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *sidecarService) startOne(file SidecarFile) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.sidecars[file.Name]
	if before != nil {
		if before.running() {
			return errAlreadyRunning
		}
		p.pastCounts.Add(before.counts())
	}
	next, err := startHosted(p.ctx, file)
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
func (p *sidecarService) stop(_ context.Context, asked Names) (control.Empty, error) {
	stopping := p.selected(asked.Names)
	for _, s := range stopping {
		s.stop()
	}
	for _, s := range stopping {
		<-s.done
	}
	return control.Empty{}, nil
}

// reload has sidecars read their files again, as SIGHUP does.
func (p *sidecarService) reload(_ context.Context, asked Names) (control.Empty, error) {
	for _, s := range p.selected(asked.Names) {
		s.requestReload()
	}
	return control.Empty{}, nil
}

// selected returns the sidecars of these names; of none: all that run.
func (p *sidecarService) selected(names []string) []*hostedSidecar {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []*hostedSidecar
	for _, name := range p.names {
		s := p.sidecars[name]
		if slices.Contains(names, name) || len(names) == 0 && s.running() {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

func (p *sidecarService) awaitReady(ctx context.Context, asked Await) (Completions, error) {
	return p.await(ctx, asked, func(*hostedSidecar) sidecarlog.Condition { return sidecarlog.Ready })
}

func (p *sidecarService) awaitList(ctx context.Context, asked Await) (Completions, error) {
	return p.await(ctx, asked, func(*hostedSidecar) sidecarlog.Condition { return sidecarlog.ListReceived(asked.Version) })
}

func (p *sidecarService) awaitConfig(ctx context.Context, asked Await) (Completions, error) {
	return p.await(ctx, asked, func(s *hostedSidecar) sidecarlog.Condition {
		cfg, err := readConfig(s.file.Path)
		if err != nil {
			return func(*sidecarlog.Events) (time.Time, bool) { return time.Time{}, false }
		}
		return sidecarlog.ConfigApplied(cfg.Hash())
	})
}

// await waits for a condition at each sidecar that a request is about. One that ends
// meanwhile is neither among those that came nor missing.
func (p *sidecarService) await(ctx context.Context, asked Await, of func(*hostedSidecar) sidecarlog.Condition) (Completions, error) {
	ctx, cancel := context.WithTimeout(ctx, asked.Timeout)
	defer cancel()
	var all Completions
	for _, s := range p.selected(asked.Names) {
		at, came := s.await(ctx, of(s))
		switch {
		case came:
			all.Completed = append(all.Completed, Completion{s.file.Name, s.started, at})
		case s.running():
			all.Missing = append(all.Missing, s.file.Name)
		}
	}
	return all, nil
}

func (p *sidecarService) count(context.Context, control.Empty) (SidecarCounts, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := p.pastCounts
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
func (p *sidecarService) close() { p.cancel() }

// hostedSidecar is one life of a sidecar.
type hostedSidecar struct {
	file    SidecarFile
	started time.Time
	events  *sidecarlog.Events
	stop    context.CancelFunc
	done    chan struct{} // closed when the sidecar has ended
	err     error         // why; valid once ended is closed

	mu      sync.Mutex
	reloads chan os.Signal // nil once the sidecar has ended
}

// readConfig reads a configuration file for a sidecar that shares its process.
func readConfig(path string) (*config.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

// startHosted starts a sidecar by its configuration file.
func startHosted(ctx context.Context, file SidecarFile) (*hostedSidecar, error) {
	cfg, err := readConfig(file.Path)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	s := &hostedSidecar{file: file, started: time.Now(), events: sidecarlog.New(), stop: stop, reloads: make(chan os.Signal, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		defer s.closeReloads()
		s.err = sidecar.Run(ctx, cfg, config.ReloadOnSignal(file.Path, s.reloads), s.events.Logger())
	}()
	return s, nil
}

// requestReload is SIGHUP: one that comes while another waits adds nothing.
func (s *hostedSidecar) requestReload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.reloads <- nil:
	default:
	}
}

// closeReloads ends the signals of a sidecar that has ended.
func (s *hostedSidecar) closeReloads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.reloads)
	s.reloads = nil
}

// await waits for a condition, until ctx or the sidecar ends.
func (s *hostedSidecar) await(ctx context.Context, condition sidecarlog.Condition) (time.Time, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-s.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return s.events.Await(ctx, condition)
}

func (s *hostedSidecar) running() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

func (s *hostedSidecar) counts() SidecarCounts {
	c := SidecarCounts{Counts: s.events.Counts()}
	if s.running() {
		c.Running = 1
	} else if s.err != nil {
		c.Failed, c.FirstFailure = 1, s.file.Name+": "+s.err.Error()
	}
	return c
}
