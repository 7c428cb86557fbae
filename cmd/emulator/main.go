// Command emulator runs a fleet of sidecars and endpoints on the loopback interface of this machine and reports the
// resource usage of each role, such as sidecars, endpoints and discovery.
//
// It exits with 1 if a run fails or is interrupted. It exits with 2 on invalid input, before it starts a process.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"oakproxy/internal/emulator/spec"
)

// Exit codes.
const (
	exitFailure  = 1
	exitBadInput = 2
)

// errInterrupted is the cause with which a signal ends a run.
var errInterrupted = errors.New("interrupted")

func main() {
	ctx, cancel := context.WithCancelCause(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		cancel(errInterrupted)
	}()
	os.Exit(execute(ctx, os.Args[1:]))
}

// execute runs the command with these arguments, prints an error as one line and returns the exit code.
func execute(ctx context.Context, arguments []string) int {
	command := newRootCommand()
	command.SetArgs(arguments)
	err := command.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "emulator:", strings.ReplaceAll(err.Error(), "\n", "; "))
	var inputErr *spec.InputError
	if errors.As(err, &inputErr) || !command.parsed {
		return exitBadInput
	}
	return exitFailure
}
