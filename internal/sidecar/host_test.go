package sidecar

import (
	"context"
	"log/slog"
	"math"
	"os"
	"runtime/debug"
	"testing"

	"oakproxy/internal/config"
)

// A sidecar that shares its process leaves that process's memory limit and files alone; one that has the process to
// itself limits its memory.
func TestMemoryLimitDependsOnTheHost(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	debug.SetMemoryLimit(math.MaxInt64)

	w := start(t, nil, ready("s-1", newServingEndpoint(t).Address))
	shared := configure(t, w.discovery.address, nil)
	runOnce(t, shared)
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		t.Errorf("the memory limit is %d after a sidecar that shares its process", limit)
	}
	if files, err := os.ReadDir(os.TempDir()); err != nil || len(files) > 0 {
		t.Errorf("files after a sidecar that shares its process: %v, %v", files, err)
	}

	own := configure(t, w.discovery.address, nil)
	own.Host = config.OwnProcessHost()
	runOnce(t, own)
	if limit, want := debug.SetMemoryLimit(-1), int64(own.Limits.MemoryMB)<<20/10*heapTenths; limit != want {
		t.Errorf("the memory limit is %d after a sidecar with a process of its own, want %d", limit, want)
	}
}

// runOnce runs a sidecar until it has asked discovery.
func runOnce(t *testing.T, cfg *config.Config) {
	t.Helper()
	heard, reloads := make(chan struct{}, 1), make(chan *config.Config)
	close(reloads)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, cfg, reloads, slog.New(&messageHandler{slog.DiscardHandler, "endpoint list received", heard}))
	}()
	<-heard
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// messageHandler tells of records with a message.
type messageHandler struct {
	slog.Handler
	message string
	seen    chan<- struct{}
}

func (h *messageHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h *messageHandler) Handle(_ context.Context, record slog.Record) error {
	if record.Message == h.message {
		select {
		case h.seen <- struct{}{}:
		default:
		}
	}
	return nil
}
