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

const stopPoll = 10 * time.Millisecond

// Program is a child process to start.
type Program struct {
	Name        string
	Path        string
	Arguments   []string
	Environment []string  // beside the emulator's own
	Stderr      io.Writer // takes its standard error; nil: the emulator's own
	Piped       bool      // it is talked to by its standard input and output
}

// Child is a child process.
type Child struct {
	Name   string
	Input  io.WriteCloser // nil unless piped
	Output io.ReadCloser  // nil unless piped

	command *exec.Cmd
	ended   chan struct{} // closed once it has ended
	err     error         // how; valid once ended is closed
}

// PID returns the process's number.
func (c *Child) PID() int { return c.command.Process.Pid }

// Ended is closed once the process has ended.
func (c *Child) Ended() <-chan struct{} { return c.ended }

// Err tells how the process ended; nil if it ended well.
func (c *Child) Err() error {
	<-c.ended
	return c.err
}

// CPU returns the processor time of a process that has ended.
func (c *Child) CPU() time.Duration {
	<-c.ended
	return c.command.ProcessState.UserTime() + c.command.ProcessState.SystemTime()
}

// Signal sends a signal to the process.
func (c *Child) Signal(signal os.Signal) error { return c.command.Process.Signal(signal) }

// Group is all child processes of the emulator. Make one with NewGroup.
type Group struct {
	starts chan func() // run by one thread, which lives as long as the group

	mu       sync.Mutex
	children []*Child
	stopped  bool
}

// ErrStopped is returned for a start in a group that has been stopped.
var ErrStopped = errors.New("process: the group has been stopped")

// NewGroup returns a Group. End it with Stop.
func NewGroup() *Group {
	g := &Group{starts: make(chan func())}
	go func() {
		// The kernel ends a child with the thread that started it, not with the process.
		runtime.LockOSThread()
		for start := range g.starts {
			start()
		}
	}()
	return g
}

// Start starts a process. It is killed should the emulator end without stopping it,
// unless it is piped: then it sees the end of its input, and can clean up.
func (g *Group) Start(program Program) (*Child, error) {
	command := exec.Command(program.Path, program.Arguments...)
	command.Env = append(os.Environ(), program.Environment...)
	command.Stderr = program.Stderr
	if program.Stderr == nil {
		command.Stderr = os.Stderr
	}
	// A signal from the terminal is for the emulator alone.
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

func (c *Child) pipe() error {
	var err error
	if c.Input, err = c.command.StdinPipe(); err != nil {
		return err
	}
	c.Output, err = c.command.StdoutPipe()
	return err
}

// launch starts a child on the group's thread and watches for its end.
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

// Children returns the children that have not ended.
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

// ResidentKB adds up the memory that the children hold.
func (g *Group) ResidentKB() int64 {
	var sum int64
	for _, child := range g.Children() {
		resident, err := ResidentKB(child.PID())
		if err == nil { // else it has just ended
			sum += resident
		}
	}
	return sum
}

// Stop ends all children: by the end of their input or SIGTERM first, and those that
// still run after the grace by SIGKILL. It returns once none is left.
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
		time.Sleep(stopPoll)
	}
	for _, child := range g.Children() {
		_ = child.Signal(syscall.SIGKILL)
		<-child.Ended()
	}
}
