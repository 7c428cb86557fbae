package process

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// stopPollInterval is the interval at which Stop checks whether children have exited.
const stopPollInterval = 10 * time.Millisecond

// Program is a program to start as a child process.
type Program struct {
	Name        string
	Path        string
	Arguments   []string
	Environment []string  // in addition to the emulator's own
	Stderr      io.Writer // receives its standard error; nil: the emulator's own
	Piped       bool      // its standard input and output are Child.Input and Child.Output
}

// Child is a child process.
type Child struct {
	Name   string
	Input  io.WriteCloser // nil unless piped
	Output io.ReadCloser  // nil unless piped

	command *exec.Cmd
	ended   chan struct{} // closed once it has exited
	err     error         // how it exited; valid once ended is closed
}

// PID returns the process ID.
func (c *Child) PID() int { return c.command.Process.Pid }

// Ended returns a channel that is closed once the process has exited.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Err waits for the process to exit and returns how it did; nil for exit status 0.
func (c *Child) Err() error {
	<-c.ended
	return c.err
}

// CPU waits for the process to exit and returns its processor time.
func (c *Child) CPU() time.Duration {
	<-c.ended
	return c.command.ProcessState.UserTime() + c.command.ProcessState.SystemTime()
}

// Signal sends a signal to the process.
func (c *Child) Signal(signal os.Signal) error { return c.command.Process.Signal(signal) }

// Group is a group of child processes. Make one with NewGroup. It is safe for concurrent use.
type Group struct {
	starts chan func() // run by one thread, which lives as long as the group

	mu       sync.Mutex
	children []*Child
	stopped  bool
}

// ErrStopped is returned by Start after Stop.
var ErrStopped = errors.New("process: group has been stopped")

// NewGroup returns a Group. Its thread lives until Stop.
func NewGroup() *Group {
	g := &Group{starts: make(chan func())}
	go func() {
		// The parent death signal is sent when the thread that started the child ends, not the process.
		runtime.LockOSThread()
		for start := range g.starts {
			start()
		}
	}()
	return g
}

// Start starts a process. If the emulator dies without stopping it, the kernel kills it, unless it is piped: then it
// reads the end of its input, and can clean up.
func (g *Group) Start(program Program) (*Child, error) {
	command := exec.Command(program.Path, program.Arguments...)
	command.Env = append(os.Environ(), program.Environment...)
	command.Stderr = program.Stderr
	if program.Stderr == nil {
		command.Stderr = os.Stderr
	}
	// Signals from the terminal must reach the emulator only.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if !program.Piped {
		command.SysProcAttr.Pdeathsig = syscall.SIGKILL
	}
	child := &Child{Name: program.Name, command: command, ended: make(chan struct{})}
	if program.Piped {
		if err := child.pipe(); err != nil {
			return nil, err
		}
	}
	if err := g.launch(child); err != nil {
		return nil, fmt.Errorf("start %s: %w", program.Name, err)
	}
	return child, nil
}

// pipe connects the child's standard input and output.
func (c *Child) pipe() error {
	var err error
	if c.Input, err = c.command.StdinPipe(); err != nil {
		return err
	}
	c.Output, err = c.command.StdoutPipe()
	return err
}

// launch starts a child on the group's thread, and a goroutine that waits for its exit.
func (g *Group) launch(child *Child) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return ErrStopped
	}
	started := make(chan error)
	g.starts <- func() { started <- child.command.Start() }
	if err := <-started; err != nil {
		return err
	}
	g.children = append(g.children, child)
	go func() {
		child.err = child.command.Wait()
		close(child.ended)
	}()
	return nil
}

// Children returns the children that have not exited.
func (g *Group) Children() []*Child {
	g.mu.Lock()
	defer g.mu.Unlock()
	var alive []*Child
	for _, child := range g.children {
		select {
		case <-child.ended:
		default:
			alive = append(alive, child)
		}
	}
	return alive
}

// ResidentKB returns the resident memory of all children.
func (g *Group) ResidentKB() int64 {
	var sum int64
	for _, child := range g.Children() {
		resident, err := ResidentKB(child.PID())
		if err == nil { // otherwise it has just exited
			sum += resident
		}
	}
	return sum
}

// Stop stops all children: first by closing their input or by SIGTERM, and those that still run after the grace
// period by SIGKILL. It returns once all have exited.
func (g *Group) Stop(grace time.Duration) {
	g.mu.Lock()
	if !g.stopped {
		close(g.starts)
	}
	g.stopped = true
	g.mu.Unlock()
	for _, child := range g.Children() {
		if child.Input != nil {
			_ = child.Input.Close()
		} else {
			_ = child.Signal(syscall.SIGTERM)
		}
	}
	deadline := time.Now().Add(grace)
	for len(g.Children()) > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
	}
	for _, child := range g.Children() {
		_ = child.Signal(syscall.SIGKILL)
		<-child.Ended()
	}
}
