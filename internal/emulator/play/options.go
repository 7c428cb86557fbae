// Package play plays a scenario: it starts a fleet, lets happen to it what the
// scenario says, measures, and ends all that it started.
package play

import (
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"

	"oakproxy/internal/emulator/process"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/spec"
)

// Options are what to play, and with which programs.
type Options struct {
	File     *spec.File
	Name     string // of the scenario
	Scenario spec.Scenario
	Size     spec.Size
	Play     int // which play of this size it is
	Seed     uint64
	Commit   string

	Emulator    Program // run with a role as its last argument, it is a worker
	Sidecar     Program
	Progress    io.Writer // lines on how the run goes; nil: none
	ScratchRoot string    // where the folder for configuration files is made; empty: the system's
}

// Program is a program to run.
type Program struct {
	Path        string
	Arguments   []string
	Environment []string
}

// Validate finds what keeps a scenario from being played. Nothing has been started by then.
func (o Options) Validate() error {
	if err := o.Size.Validate(); err != nil {
		return err
	}
	if _, known := scenarios[o.Scenario.Kind]; !known {
		return spec.Invalid("scenario %s: kind %q is not known", o.Name, o.Scenario.Kind)
	}
	for _, program := range []Program{o.Emulator, o.Sidecar} {
		if _, err := exec.LookPath(program.Path); err != nil {
			return spec.Invalid("program %s is missing; build it first", program.Path)
		}
	}
	memoryKB, err := process.MachineMemoryKB()
	if err != nil {
		return err
	}
	if int64(o.File.Limits.MemoryMB)*kbPerMB*2 >= memoryKB {
		return spec.Invalid("limits.memory_mb: %d is not under half of this machine's %d MB", o.File.Limits.MemoryMB, memoryKB/kbPerMB)
	}
	return nil
}

const kbPerMB = 1024

// machine describes this machine.
func machine() result.Machine {
	memoryKB, _ := process.MachineMemoryKB() // has been read before
	kernel, _ := os.ReadFile("/proc/sys/kernel/osrelease")
	return result.Machine{
		Cores:    runtime.NumCPU(),
		MemoryMB: memoryKB / kbPerMB,
		Kernel:   strings.TrimSpace(string(kernel)),
		Go:       runtime.Version(),
	}
}
