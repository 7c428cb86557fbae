package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file that lists what was sent, answered and run. Several processes append whole lines to it.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// newRecord opens a record. Times in it count from start.
func newRecord(path string, start time.Time, truncate bool) (*record, error) {
	flags := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	if truncate {
		flags |= os.O_TRUNC
	}
	file, err := os.OpenFile(path, flags, 0o644)
	return &record{file: file, start: start}, err
}

// line appends a line with the time since the start in seconds and the party that saw the event.
func (r *record) line(party, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), party, fmt.Sprintf(format, args...))
}

// platform starts and ends the processes of a case and holds its temporary folder.
type platform struct {
	root       string // root of the repository
	dir        string // temporary folder of the case
	rec        *record
	trouble    bool // whether the disruption takes place
	recordPath string

	mu        sync.Mutex
	processes []*process
}

// process is a program that the case started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// pid returns the process's id.
func (p *process) pid() int { return p.cmd.Process.Pid }

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// runCommand returns the command of the key run in the deploy file.
func (p *platform) runCommand() (string, error) {
	data, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no key run")
}

// start starts a program. The kernel kills it if the case's own process ends.
func (p *platform) start(name string, env []string, output, command string, args ...string) (*process, error) {
	cmd := exec.Command(command, args...)
	cmd.Dir = p.root
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(p.dir, output), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started := &process{name: name, cmd: cmd, done: make(chan struct{})}
	p.mu.Lock()
	p.processes = append(p.processes, started)
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.rec.line("platform", "%s ended: %v", name, errOrOK(err))
		close(started.done)
	}()
	p.rec.line("platform", "%s started", name)
	return started, nil
}

// startSidecar writes a sidecar's configuration and starts it with the command of the deploy file.
func (p *platform) startSidecar(cfg *sidecarConfig, env ...string) (*process, error) {
	command, err := p.runCommand()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(p.dir, "config.json")
	if err := p.writeConfig(path, cfg); err != nil {
		return nil, err
	}
	tmp := filepath.Join(p.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return nil, err
	}
	env = append(env, "TMPDIR="+tmp, "BALANCER_NAME="+cfg.Name, "BALANCER_LISTEN="+cfg.Listen,
		"BALANCER_DISCOVERY="+cfg.Discovery, "BALANCER_CONFIG="+path)
	return p.start("sidecar", env, "sidecar.log", "/bin/sh", "-c", command)
}

// writeConfig replaces a sidecar's configuration file.
func (p *platform) writeConfig(path string, cfg *sidecarConfig) error {
	text, err := json.MarshalIndent(cfg, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// awaitReady waits until the sidecar at an address says that it is ready.
func (p *platform) awaitReady(address string) error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, "GET /health/ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		c.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			p.rec.line("platform", "the sidecar is ready")
			return nil
		}
	}
	return errors.New("the sidecar was not ready within 30 s")
}

// stop kills all processes that the case started and removes its temporary folder.
func (p *platform) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.processes {
		started.cmd.Process.Kill()
		<-started.done
	}
	os.RemoveAll(p.dir)
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func errOrOK(err error) string {
	if err == nil {
		return "status 0"
	}
	return err.Error()
}
