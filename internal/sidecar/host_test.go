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

// Tests that a sidecar that shares its process with others neither changes the process's memory limit nor writes files,
// and that a sidecar with a process of its own sets the memory limit.
func TestMemoryLimitDependsOnTheHost(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	debug.SetMemoryLimit(math.MaxInt64)

	h := start(t, nil, ready("s-1", newServingEndpoint(t).Address))
	sharedProcess := newConfig(t, h.discovery.address, nil)
	runUntilFirstList(t, sharedProcess)
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		t.Errorf("shared process: got memory limit %d, want it unchanged", limit)
	}
	if files, err := os.ReadDir(os.TempDir()); err != nil || len(files) > 0 {
		t.Errorf("shared process: got files %v, %v, want none", files, err)
	}

	ownProcess := newConfig(t, h.discovery.address, nil)
	ownProcess.Host = config.OwnProcessHost()
	runUntilFirstList(t, ownProcess)
	if limit, want := debug.SetMemoryLimit(-1), runtimeMemory(int64(ownProcess.Limits.MemoryMB)<<20); limit != want {
		t.Errorf("own process: got memory limit %d, want %d", limit, want)
	}
}

// runUntilFirstList runs a sidecar with this configuration until it has received its first endpoint list.
func runUntilFirstList(t *testing.T, cfg *config.Config) {
	t.Helper()
	received, reloads := make(chan struct{}, 1), make(chan *config.Config)
	close(reloads)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, cfg, reloads, slog.New(&messageWaiter{slog.DiscardHandler, "endpoint list received", received}))
	}()
	<-received
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// messageWaiter is a slog.Handler that sends to seen when a record with the message is logged.
type messageWaiter struct {
	slog.Handler
	message string
	seen    chan<- struct{}
}

func (h *messageWaiter) Enabled(context.Context, slog.Level) bool { return true }

func (h *messageWaiter) Handle(_ context.Context, record slog.Record) error {
	if record.Message == h.message {
		select {
		case h.seen <- struct{}{}:
		default:
		}
	}
	return nil
}
