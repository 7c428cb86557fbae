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
	readyPollInterval = 20 * time.Millisecond // interval between readiness checks of a sidecar that starts
	configVariable    = "BALANCER_CONFIG"     // environment variable that holds the path of the configuration file

	// Real sidecars listen on 127.realSidecarOctet.x.y, where index is the sidecar's number among the real sidecars,
	// counted from 0, x = index / hostsPerOctet, and y = 1 + index % hostsPerOctet. Each has an IP address of its own,
	// so that no outgoing connection of another process can occupy its port.
	realSidecarOctet = 32
	hostsPerOctet    = 250
)

// realSidecar is a sidecar in a process of its own.
type realSidecar struct {
	fleet.Sidecar
	listenAddress string
	configPath    string // path of the configuration file
	events        *sidecarlog.Events
	child         *process.Child // nil while no process of the sidecar runs
	startedAt     time.Time
	pastUsage     process.Usage // processor time and bytes read and written, of the sidecar's killed processes
}

// freeAddress returns an address with a free port for the real sidecar with the given index, on an IP address that no
// other sidecar uses. It does not reserve the port: another process may take it before the sidecar does.
func freeAddress(index int) (string, error) {
	address := fmt.Sprintf("127.%d.%d.%d:0", realSidecarOctet, index/hostsPerOctet, 1+index%hostsPerOctet)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startRealSidecar starts a real sidecar's process. An unexpected exit of the process ends the run.
func (r *runner) startRealSidecar(s *realSidecar) error {
	s.events = sidecarlog.New()
	s.startedAt = time.Now()
	program := r.options.Sidecar
	child, err := r.processes.Start(process.Program{
		Name:        s.Name,
		Path:        program.Path,
		Arguments:   program.Arguments,
		Environment: append([]string{configVariable + "=" + s.configPath}, program.Environment...),
		Stderr:      sidecarlog.NewWriter(s.events),
	})
	if err != nil {
		return err
	}
	s.child = child
	r.watchForExit(child)
	return nil
}

// killRealSidecar kills a real sidecar's process with SIGKILL, as if its machine had failed, and adds the process's
// processor time and bytes to pastUsage.
func (r *runner) killRealSidecar(s *realSidecar) error {
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

// awaitReady waits until a real sidecar is ready, and returns the time since the sidecar's start. It returns an error
// if ctx is done first.
func (s *realSidecar) awaitReady(ctx context.Context) (time.Duration, error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if load.IsReady(ctx, &client, s.listenAddress) {
			return time.Since(s.startedAt), nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return 0, fmt.Errorf("%s did not become ready: %w", s.Name, context.Cause(ctx))
		}
	}
}
