package worker

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/sidecarlog"
	"oakproxy/internal/system"
)

// errAlreadyRunning is returned for a request to start a sidecar that is running.
var errAlreadyRunning = errors.New("sidecar is already running")

// sidecarService implements the role hollow: it hosts simulated sidecars. They run the same code as a sidecar that has
// a process of its own, but many of them share the worker process, and no application sends requests to them.
type sidecarService struct {
	mu         sync.Mutex
	sidecars   map[string]*simulatedSidecar // latest incarnation of each sidecar, by name
	names      []string                     // names of the sidecars, in the order of their first starts
	pastCounts SidecarCounts                // sum of the counts of earlier incarnations
}

func newSidecarService() *sidecarService {
	return &sidecarService{sidecars: map[string]*simulatedSidecar{}}
}

func (s *sidecarService) handlers() control.Handlers {
	return control.Handlers{
		StartSidecars:  control.Handle(s.start),
		StopSidecars:   control.Handle(s.stop),
		ReloadSidecars: control.Handle(s.reload),
		AwaitReady:     control.Handle(s.awaitReady),
		AwaitList:      control.Handle(s.awaitList),
		AwaitConfig:    control.Handle(s.awaitConfig),
		CountSidecars:  control.Handle(s.count),
	}
}

// start starts sidecars one after another, evenly spread over the duration request.Over.
func (s *sidecarService) start(ctx context.Context, request Sidecars) (control.Empty, error) {
	interval := request.Over / time.Duration(max(1, len(request.Files)))
	for i, file := range request.Files {
		if i > 0 {
			system.Sleep(ctx, interval)
			if err := ctx.Err(); err != nil {
				return control.Empty{}, err
			}
		}
		if err := s.startOne(file); err != nil {
			return control.Empty{}, fmt.Errorf("%s: %w", file.Name, err)
		}
	}
	return control.Empty{}, nil
}

// startOne starts a sidecar. A sidecar that has ended is started again as a new incarnation.
func (s *sidecarService) startOne(file SidecarFile) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.sidecars[file.Name]
	if previous != nil {
		if previous.running() {
			return errAlreadyRunning
		}
		s.pastCounts.Add(previous.counts())
	}
	next, err := startSimulated(file)
	if err != nil {
		return err
	}
	if previous == nil {
		s.names = append(s.names, file.Name)
	}
	s.sidecars[file.Name] = next
	return nil
}

// stop shuts sidecars down gracefully, as SIGTERM does for a sidecar process, and waits until they have ended.
func (s *sidecarService) stop(_ context.Context, request SidecarNames) (control.Empty, error) {
	stopping := s.selected(request.Names)
	for _, sidecar := range stopping {
		sidecar.stop()
	}
	for _, sidecar := range stopping {
		<-sidecar.done
	}
	return control.Empty{}, nil
}

// reload makes sidecars reload their configuration files, as SIGHUP does for a sidecar process.
func (s *sidecarService) reload(_ context.Context, request SidecarNames) (control.Empty, error) {
	for _, sidecar := range s.selected(request.Names) {
		sidecar.requestReload()
	}
	return control.Empty{}, nil
}

// selected returns the sidecars with the given names, or all running sidecars if names is empty.
func (s *sidecarService) selected(names []string) []*simulatedSidecar {
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []*simulatedSidecar
	for _, name := range s.names {
		sidecar := s.sidecars[name]
		if slices.Contains(names, name) || len(names) == 0 && sidecar.running() {
			chosen = append(chosen, sidecar)
		}
	}
	return chosen
}

func (s *sidecarService) awaitReady(ctx context.Context, request AwaitRequest) (Completions, error) {
	return s.await(ctx, request, func(*simulatedSidecar) sidecarlog.Condition { return sidecarlog.Ready })
}

func (s *sidecarService) awaitList(ctx context.Context, request AwaitRequest) (Completions, error) {
	received := sidecarlog.ListReceived(request.Version)
	return s.await(ctx, request, func(*simulatedSidecar) sidecarlog.Condition { return received })
}

func (s *sidecarService) awaitConfig(ctx context.Context, request AwaitRequest) (Completions, error) {
	return s.await(ctx, request, func(sidecar *simulatedSidecar) sidecarlog.Condition {
		cfg, err := readConfig(sidecar.file.Path)
		if err != nil {
			// No configuration can match an unreadable file, so the sidecar is reported as missing.
			return func(*sidecarlog.Events) (time.Time, bool) { return time.Time{}, false }
		}
		return sidecarlog.ConfigApplied(cfg.Hash())
	})
}

// await waits until each sidecar of the request meets its condition. A sidecar that ends before it meets the condition
// is neither in Completed nor in Missing of the result.
func (s *sidecarService) await(
	ctx context.Context, request AwaitRequest, conditionOf func(*simulatedSidecar) sidecarlog.Condition,
) (Completions, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	var result Completions
	for _, sidecar := range s.selected(request.Names) {
		at, met := sidecar.await(ctx, conditionOf(sidecar))
		switch {
		case met:
			result.Completed = append(result.Completed, Completion{Name: sidecar.file.Name, StartedAt: sidecar.started, At: at})
		case sidecar.running():
			result.Missing = append(result.Missing, sidecar.file.Name)
		}
	}
	return result, nil
}

func (s *sidecarService) count(context.Context, control.Empty) (SidecarCounts, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.pastCounts
	for _, sidecar := range s.sidecars {
		sum.Add(sidecar.counts())
	}
	sum.Goroutines = runtime.NumGoroutine()
	return sum, nil
}

// close tells the sidecars to stop, but does not wait for their graceful shutdown: the worker process ends right after
// close.
func (s *sidecarService) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sidecar := range s.sidecars {
		sidecar.stop()
	}
}
