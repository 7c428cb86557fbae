package play

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"oakproxy/internal/emulator/fleet"
	"oakproxy/internal/emulator/load"
	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/sidecarlog"
)

const (
	readyPoll      = 20 * time.Millisecond
	configVariable = "BALANCER_CONFIG" // environment variable with the path of the configuration file

	// Real sidecars listen on 127.32.x.y, so that each has an address of its own and no outgoing
	// connection of another process takes its port.
	realOctet     = 32
	hostsPerOctet = 250
)

// realSidecar is a sidecar in a process of its own. Its child is nil while no process runs.
type realSidecar struct {
	fleet.Sidecar
	listen    string
	path      string // of its configuration file
	events    *sidecarlog.Events
	child     *process.Child
	started   time.Time
	pastUsage process.Usage // of earlier processes
}

// freeAddress returns a free port of the real sidecar's own address. It does not reserve the
// port: another process may take it.
func freeAddress(number int) (string, error) {
	address := fmt.Sprintf("127.%d.%d.%d:0", realOctet, number/hostsPerOctet, 1+number%hostsPerOctet)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startReal starts a real sidecar's process.
func (r *runner) startReal(s *realSidecar) error {
	s.events = sidecarlog.New()
	s.started = time.Now()
	program := r.options.Sidecar
	child, err := r.group.Start(process.Program{
		Name:        s.Name,
		Path:        program.Path,
		Arguments:   program.Arguments,
		Environment: append([]string{configVariable + "=" + s.path}, program.Environment...),
		Stderr:      sidecarlog.NewWriter(s.events),
	})
	if err != nil {
		return err
	}
	s.child = child
	r.watch(child)
	return nil
}

// killReal kills a real sidecar's process, as the loss of its machine does.
func (r *runner) killReal(s *realSidecar) error {
	usage, err := process.ReadUsage(s.child.PID())
	if err != nil {
		return err
	}
	r.expectExit(s.child)
	if err := s.child.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	usage.CPU = s.child.CPU()
	s.pastUsage.Add(process.Usage{CPU: usage.CPU, ReadBytes: usage.ReadBytes, WriteBytes: usage.WriteBytes})
	s.child = nil
	return nil
}

// awaitReady waits until a real sidecar is ready, and returns the time from its start.
func (s *realSidecar) awaitReady(ctx context.Context) (time.Duration, error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if load.IsReady(ctx, &client, s.listen) {
			return time.Since(s.started), nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return 0, fmt.Errorf("%s is not ready: %w", s.Name, context.Cause(ctx))
		}
	}
}
