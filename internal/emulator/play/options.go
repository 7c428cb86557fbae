// Package play plays a scenario and measures it.
//
// It starts a fleet of worker processes and sidecars on the loopback interface, injects the scenario's changes
// and faults, sends load, and reads counters before and after each phase. It stops every process that it
// started, however the run ends. The limits of the scenario file bound a run's time, memory and requests.
// Package result stores and interprets the results; this package does not.
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

// Options define one run: the scenario to play, the size of the fleet and the programs to start.
type Options struct {
	File     *spec.File
	Name     string // name of the scenario
	Scenario spec.Scenario
	Size     spec.Size
	Play     int // number of this run among the runs of the same size, counted from 1
	Seed     uint64
	Commit   string

	Emulator    Program   // program of the workers; each gets its role as an additional last argument
	Sidecar     Program   // program of a real sidecar
	Progress    io.Writer // destination of progress lines; nil discards them
	ScratchRoot string    // parent of the run's temporary directory; empty means the system's default
}

// Program is an executable with its arguments, and variables to add to its environment.
type Program struct {
	Path        string
	Arguments   []string
	Environment []string
}

// Validate returns an error if the scenario cannot be played. The error is a *spec.InputError if the user's input is at
// fault. Among other things, limits.memory_mb must be less than half of this machine's memory.
func (o Options) Validate() error {
	if err := o.Size.Validate(); err != nil {
		return err
	}
	if _, known := scenarios[o.Scenario.Kind]; !known {
		return spec.InputErrorf("scenario %s: unknown kind %q", o.Name, o.Scenario.Kind)
	}
	for _, program := range []Program{o.Emulator, o.Sidecar} {
		if _, err := exec.LookPath(program.Path); err != nil {
			return spec.InputErrorf("program %s not found or not executable; build it first", program.Path)
		}
	}
	memoryKB, err := process.MachineMemoryKB()
	if err != nil {
		return err
	}
	if int64(o.File.Limits.MemoryMB)*kbPerMB*2 >= memoryKB {
		return spec.InputErrorf("limits.memory_mb: %d must be less than half of this machine's %d MB",
			o.File.Limits.MemoryMB, memoryKB/kbPerMB)
	}
	return nil
}

const kbPerMB = 1024 // KiB per MiB

// describeMachine returns the size and the software versions of this machine, for the result file.
func describeMachine() result.Machine {
	memoryKB, _ := process.MachineMemoryKB() // Validate has already read it without an error
	kernel, _ := os.ReadFile("/proc/sys/kernel/osrelease")
	return result.Machine{
		Cores:    runtime.NumCPU(),
		MemoryMB: memoryKB / kbPerMB,
		Kernel:   strings.TrimSpace(string(kernel)),
		Go:       runtime.Version(),
	}
}
