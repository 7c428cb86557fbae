// Command sidecar runs one load-balancing sidecar beside an application. It accepts the application's requests and
// forwards them to the endpoints that discovery lists.
//
// Its settings come from the file that $BALANCER_CONFIG names, read at the start and again at each SIGHUP. SIGTERM and
// SIGINT shut it down gracefully. It logs to standard error; docs/operations.md describes the lines.
package main

import (
	"context"
	"errors"
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

const (
	// configVar names the path of the configuration file.
	configVar = "BALANCER_CONFIG"

	// logLevelVar names the minimum level of log lines, info by default. At debug each request's attempts, responses
	// and end are logged with its id.
	logLevelVar = "BALANCER_LOG_LEVEL"

	// logFlushTimeout limits the wait for the last log lines to be written at the end.
	logFlushTimeout = 100 * time.Millisecond
)

// errNoConfig says that the environment names no configuration file.
var errNoConfig = errors.New("environment: " + configVar + " is not set")

func main() {
	if err := run(func(*config.Host) {}); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// logLevel returns the minimum level of log lines that the environment sets.
func logLevel() (level slog.Level, err error) {
	text := os.Getenv(logLevelVar)
	if text == "" {
		return slog.LevelInfo, nil
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return level, fmt.Errorf("environment: %s: %w", logLevelVar, err)
	}
	return level, nil
}

// run runs a sidecar until a signal shuts it down. adjustHost may replace what the sidecar uses of its host, for tests
// that inject faults.
func run(adjustHost func(*config.Host)) error {
	// Unhandled, SIGHUP would end the process. It is caught before the file is read: a signal that comes meanwhile
	// has the file read again.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	path := os.Getenv(configVar)
	if path == "" {
		return errNoConfig
	}
	cfg, err := config.Load(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	adjustHost(&cfg.Host)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	level, err := logLevel()
	if err != nil {
		return err
	}
	// A log without a reader must neither block requests nor end the process.
	signal.Ignore(syscall.SIGPIPE)
	lines := asynclog.New(os.Stderr)
	defer lines.Close(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: level})).With("sidecar", cfg.Name)
	return sidecar.Run(ctx, cfg, config.ReloadOnSignal(path, hangup), log)
}
