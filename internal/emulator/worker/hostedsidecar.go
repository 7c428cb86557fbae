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

// simulatedSidecar is one incarnation of a sidecar.
type simulatedSidecar struct {
	file    SidecarFile
	started time.Time
	events  *sidecarlog.Events
	stop    context.CancelFunc
	done    chan struct{} // closed when the sidecar has ended
	err     error         // how it ended; valid once done is closed

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

// startSimulated starts a sidecar with its configuration file. It runs until its stop is called.
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

// requestReload has the effect of SIGHUP. A request while another is pending adds nothing.
func (s *simulatedSidecar) requestReload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.reloads <- nil:
	default:
	}
}

// closeReloads ends the reload requests of a sidecar that has ended.
func (s *simulatedSidecar) closeReloads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.reloads)
	s.reloads = nil
}

// await waits until a condition is met, ctx is done or the sidecar has ended.
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
