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

// hostedSidecar is one incarnation of a sidecar.
type hostedSidecar struct {
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

// startHosted starts a sidecar with its configuration file. It runs until its stop is called.
func startHosted(file SidecarFile) (*hostedSidecar, error) {
	cfg, err := readConfig(file.Path)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &hostedSidecar{
		file:    file,
		started: time.Now(),
		events:  sidecarlog.New(),
		stop:    stop,
		reloads: make(chan os.Signal, 1),
		done:    make(chan struct{}),
	}
	go func() {
		defer close(h.done)
		defer h.closeReloads()
		h.err = sidecar.Run(ctx, cfg, config.ReloadOnSignal(file.Path, h.reloads), h.events.Logger())
	}()
	return h, nil
}

// requestReload has the effect of SIGHUP. A request while another is pending adds nothing.
func (h *hostedSidecar) requestReload() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case h.reloads <- nil:
	default:
	}
}

// closeReloads ends the reload requests of a sidecar that has ended.
func (h *hostedSidecar) closeReloads() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.reloads)
	h.reloads = nil
}

// await waits until a condition is met, ctx is done or the sidecar has ended.
func (h *hostedSidecar) await(ctx context.Context, condition sidecarlog.Condition) (time.Time, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-h.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return h.events.Await(ctx, condition)
}

func (h *hostedSidecar) running() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

func (h *hostedSidecar) counts() SidecarCounts {
	c := SidecarCounts{Counts: h.events.Counts()}
	if h.running() {
		c.Running = 1
	} else if h.err != nil {
		c.Failed, c.FirstFailure = 1, h.file.Name+": "+h.err.Error()
	}
	return c
}
