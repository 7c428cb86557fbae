package worker

import (
	"context"
	"os"
	"sync"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/emulator/sidecarlog"
	"oakproxy/internal/sidecar"
)

// simulatedSidecar is one incarnation of a sidecar that runs within the worker process.
type simulatedSidecar struct {
	file    SidecarFile
	started time.Time
	events  *sidecarlog.Events
	stop    context.CancelFunc
	done    chan struct{} // closed when the sidecar has ended
	err     error         // error with which the sidecar ended, if any; valid once done is closed

	mu      sync.Mutex
	reloads chan os.Signal // requests to reload the configuration; nil once the sidecar has ended
}

// readConfig reads and parses the configuration file of a simulated sidecar.
func readConfig(path string) (*config.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

// startSimulated starts a simulated sidecar with its configuration file. The sidecar runs until its stop function is
// called or it fails.
func startSimulated(file SidecarFile) (*simulatedSidecar, error) {
	cfg, err := readConfig(file.Path)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &simulatedSidecar{
		file:    file,
		started: time.Now(),
		events:  sidecarlog.New(),
		stop:    stop,
		reloads: make(chan os.Signal, 1),
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		defer s.closeReloads()
		s.err = sidecar.Run(ctx, cfg, config.ReloadOnSignal(file.Path, s.reloads), s.events.Logger())
	}()
	return s, nil
}

// requestReload makes the sidecar reload its configuration, as SIGHUP does for a sidecar process. It has no effect
// while an earlier request is pending or after the sidecar has ended.
func (s *simulatedSidecar) requestReload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.reloads <- nil:
	default:
	}
}

// closeReloads closes the channel of reload requests after the sidecar has ended.
func (s *simulatedSidecar) closeReloads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.reloads)
	s.reloads = nil
}

// await waits until the condition is met, ctx is done or the sidecar has ended. It returns whether the condition is
// met, and since when.
func (s *simulatedSidecar) await(ctx context.Context, condition sidecarlog.Condition) (time.Time, bool) {
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

func (s *simulatedSidecar) running() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

func (s *simulatedSidecar) counts() SidecarCounts {
	c := SidecarCounts{Counts: s.events.Counts()}
	if s.running() {
		c.Running = 1
	} else if s.err != nil {
		c.Failed, c.FirstFailure = 1, s.file.Name+": "+s.err.Error()
	}
	return c
}
