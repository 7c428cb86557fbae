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

// stopPollInterval is the interval at which Stop checks whether all children have exited.
const stopPollInterval = 10 * time.Millisecond

// Program describes a program to start as a child process.
type Program struct {
	Name        string // name of the child in error messages
	Path        string // path of the executable
	Arguments   []string
	Environment []string  // variables (key=value) in addition to those of the emulator
	Stderr      io.Writer // destination of the standard error; nil means the standard error of the emulator
	Piped       bool      // whether Child.Input and Child.Output are connected to the standard input and output
}

// Child is a child process.
type Child struct {
	Name   string
	Input  io.WriteCloser // standard input of the process; nil unless Program.Piped was set
	Output io.ReadCloser  // standard output of the process; nil unless Program.Piped was set

	command *exec.Cmd
	ended   chan struct{} // closed when the process has exited
	err     error         // result of the process, nil for exit status 0; valid once ended is closed
}

// PID returns the ID of the process.
func (c *Child) PID() int { return c.command.Process.Pid }

// Ended returns a channel that is closed when the process has exited.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Err waits until the process has exited. It returns nil for exit status 0, and an error that says how the process
// exited otherwise.
func (c *Child) Err() error {
	<-c.ended
	return c.err
}

// CPU waits until the process has exited and returns the processor time that it used.
func (c *Child) CPU() time.Duration {
	<-c.ended
	return c.command.ProcessState.UserTime() + c.command.ProcessState.SystemTime()
}

// Signal sends a signal to the process.
func (c *Child) Signal(signal os.Signal) error { return c.command.Process.Signal(signal) }

// Group is a group of child processes. NewGroup creates one. It is safe for concurrent use.
type Group struct {
	starts chan func() // functions that start children; a single thread, which lives until Stop, runs them

	mu       sync.Mutex
	children []*Child
	stopped  bool
}

// ErrStopped is wrapped by the error that Group.Start returns after Stop.
var ErrStopped = errors.New("process: group has been stopped")

// NewGroup returns an empty Group. Stop must be called to end the thread of the group.
func NewGroup() *Group {
	g := &Group{starts: make(chan func())}
	go func() {
		// The kernel sends the parent death signal when the thread that started the child ends, not when the
		// process of that thread ends. Hence all children are started by one thread that does not end before Stop.
		runtime.LockOSThread()
		for start := range g.starts {
			start()
		}
	}()
	return g
}

// Start starts a program as a child process. If the emulator dies without a call of Stop, the kernel kills the child,
// unless Program.Piped is set: a piped child instead reads the end of its input and can clean up before it exits.
func (g *Group) Start(program Program) (*Child, error) {
	command := exec.Command(program.Path, program.Arguments...)
	command.Env = append(os.Environ(), program.Environment...)
	command.Stderr = program.Stderr
	if program.Stderr == nil {
		command.Stderr = os.Stderr
	}
	// The child gets its own process group, because signals from the terminal must reach only the emulator.
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

// pipe connects Input and Output to the standard input and output of the child.
func (c *Child) pipe() error {
	var err error
	if c.Input, err = c.command.StdinPipe(); err != nil {
		return err
	}
	c.Output, err = c.command.StdoutPipe()
	return err
}

// launch starts a child on the thread of the group, and a goroutine that waits until the child has exited.
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

// Children returns the children that have not exited, in the order in which they were started.
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

// ResidentKB returns the resident memory of all running children, in KiB.
func (g *Group) ResidentKB() int64 {
	var sum int64
	for _, child := range g.Children() {
		resident, err := ResidentKB(child.PID())
		if err == nil { // an error means that the child has just exited
			sum += resident
		}
	}
	return sum
}

// Stop stops all children and returns when they have exited. It first closes the input of piped children and sends
// SIGTERM to the others. Children that still run after the grace period get SIGKILL.
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
