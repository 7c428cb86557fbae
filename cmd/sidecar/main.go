// Command sidecar runs one load-balancing sidecar beside an application. It accepts the application's requests and
// forwards them to the endpoints that discovery lists.
//
// The environment variable BALANCER_CONFIG holds the path of the configuration file. The sidecar reads the file at the
// start and again after each SIGHUP. SIGTERM and SIGINT shut the sidecar down gracefully. It logs to standard error;
// docs/operations.md describes the log lines.
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
	// configVar is the environment variable that holds the path of the configuration file.
	configVar = "BALANCER_CONFIG"

	// logLevelVar is the environment variable that holds the minimum level of log lines; the default is info. At level
	// debug, the attempts, the responses and the end of each request are logged with the request's id.
	logLevelVar = "BALANCER_LOG_LEVEL"

	// logFlushTimeout limits how long the exit of the process waits until the last log lines are written.
	logFlushTimeout = 100 * time.Millisecond
)

// errNoConfig is the error of a start if the environment variable configVar is empty or not set.
var errNoConfig = errors.New("environment variable " + configVar + " is not set")

func main() {
	if err := run(func(*config.Host) {}); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

// logLevel returns the minimum level of log lines. It reads the level from the environment variable logLevelVar, and
// returns info if the variable is empty or not set.
func logLevel() (level slog.Level, err error) {
	text := os.Getenv(logLevelVar)
	if text == "" {
		return slog.LevelInfo, nil
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return level, fmt.Errorf("environment variable %s: %w", logLevelVar, err)
	}
	return level, nil
}

// run runs a sidecar until a signal shuts it down. adjustHost may replace fields of the config.Host before the sidecar
// starts; tests use it to inject faults.
func run(adjustHost func(*config.Host)) error {
	// The default action of SIGHUP would end the process. Catch the signal before the configuration file is read, so that
	// a SIGHUP during the read makes the sidecar read the file again.
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
	// A log that nobody reads must not block requests, so asynclog drops lines. It must not end the process either, so
	// SIGPIPE is ignored.
	signal.Ignore(syscall.SIGPIPE)
	logWriter := asynclog.New(os.Stderr)
	defer logWriter.Close(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(logWriter, &slog.HandlerOptions{Level: level})).With("sidecar", cfg.Name)
	return sidecar.Run(ctx, cfg, config.ReloadOnSignal(path, hangup), log)
}
