// Package play plays a scenario and measures it.
//
// It starts a fleet of worker processes and sidecars on the loopback interface, injects the scenario's changes
// and faults, sends load, reads counters at the ends of each phase, and stops all that it started, however the
// run ends. The limits of the scenario file bound a run's time, memory and requests. It neither stores nor
// interprets the results: package result does.
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

// Options say what to play, and with which programs.
type Options struct {
	File     *spec.File
	Name     string // of the scenario
	Scenario spec.Scenario
	Size     spec.Size
	Play     int // number of this play among those of the same size, from 1
	Seed     uint64
	Commit   string

	Emulator    Program // becomes a worker when run with a role as its last argument
	Sidecar     Program
	Progress    io.Writer // receives progress lines; nil: none
	ScratchRoot string    // parent of the directory for configuration files; empty: the system's
}

// Program is a program and the arguments and environment to run it with.
type Program struct {
	Path        string
	Arguments   []string
	Environment []string
}

// Validate returns what keeps a scenario from being played, as a *spec.InputError where it is the user's input.
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
		return spec.Invalid("limits.memory_mb: %d is not under half of this machine's %d MB",
			o.File.Limits.MemoryMB, memoryKB/kbPerMB)
	}
	return nil
}

const kbPerMB = 1024

// machine returns a description of this machine.
func machine() result.Machine {
	memoryKB, _ := process.MachineMemoryKB() // Validate has read it before
	kernel, _ := os.ReadFile("/proc/sys/kernel/osrelease")
	return result.Machine{
		Cores:    runtime.NumCPU(),
		MemoryMB: memoryKB / kbPerMB,
		Kernel:   strings.TrimSpace(string(kernel)),
		Go:       runtime.Version(),
	}
}
