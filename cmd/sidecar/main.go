// Command sidecar is one sidecar: it takes the requests of the application
// beside it and passes them on to endpoints that discovery names. The file at
// $BALANCER_CONFIG tells it all it has to know.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"oakproxy/internal/asynclog"
	"oakproxy/internal/config"
	"oakproxy/internal/sidecar"
)

func main() {
	if err := run(func(*config.Host) {}); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// levelVar names the least level of the log's lines; unset, it is info. At debug each request's attempts, answers
// and ends are recorded with its id.
const levelVar = "BALANCER_LOG_LEVEL"

// logPatience is for the last lines of the log to be written at the end.
const logPatience = 100 * time.Millisecond

func logLevel() (level slog.Level, err error) {
	text := os.Getenv(levelVar)
	if text == "" {
		return slog.LevelInfo, nil
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return level, fmt.Errorf("environment: %s: %w", levelVar, err)
	}
	return level, nil
}

// run is one sidecar. adjust may put shims into its host.
func run(adjust func(*config.Host)) error {
	// Unhandled, SIGHUP would end the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return fmt.Errorf("environment: BALANCER_CONFIG is not set")
	}
	cfg, err := config.Load(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	adjust(&cfg.Host)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	level, err := logLevel()
	if err != nil {
		return err
	}
	// Nobody may be reading the log: that must neither hold requests up nor end the process.
	signal.Ignore(syscall.SIGPIPE)
	lines := asynclog.New(os.Stderr)
	defer lines.Close(logPatience)
	log := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: level})).With("sidecar", cfg.Name)
	return sidecar.Run(ctx, cfg, config.ReloadOnSignal(path, hangup), log)
}
