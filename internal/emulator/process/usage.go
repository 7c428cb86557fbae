// Package process starts the emulator's child processes, ends them, and reads what
// they spend.
package process

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	procDirectory  = "/proc"
	ticksPerSecond = 100 // of processor times there
	bytesPerKB     = 1024
)

// Usage is what a process, or several together, spent and hold.
type Usage struct {
	CPU         time.Duration // user and system, since the start
	ResidentKB  int64
	PeakKB      int64
	Descriptors int
	ReadBytes   uint64 // by all system calls that read, sockets included
	WriteBytes  uint64
}

// Add adds another process's figures.
func (u *Usage) Add(other Usage) {
	u.CPU += other.CPU
	u.ResidentKB += other.ResidentKB
	u.PeakKB += other.PeakKB
	u.Descriptors += other.Descriptors
	u.ReadBytes += other.ReadBytes
	u.WriteBytes += other.WriteBytes
}

// ReadUsage reads a process's figures.
func ReadUsage(pid int) (Usage, error) {
	directory := filepath.Join(procDirectory, strconv.Itoa(pid))
	var u Usage
	var err error
	if u.CPU, err = readCPU(directory); err != nil {
		return u, err
	}
	status, err := readFields(filepath.Join(directory, "status"))
	if err != nil {
		return u, err
	}
	u.ResidentKB, u.PeakKB = status["VmRSS"], status["VmHWM"]
	transfers, err := readFields(filepath.Join(directory, "io"))
	if err != nil {
		return u, err
	}
	u.ReadBytes, u.WriteBytes = uint64(transfers["rchar"]), uint64(transfers["wchar"])
	descriptors, err := os.ReadDir(filepath.Join(directory, "fd"))
	u.Descriptors = len(descriptors)
	return u, err
}

// MaxDescriptors returns how many descriptors a process may have open.
func MaxDescriptors() (int, error) {
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	return int(limit.Cur), err
}

// ResidentKB reads the memory that a process holds.
func ResidentKB(pid int) (int64, error) {
	status, err := readFields(filepath.Join(procDirectory, strconv.Itoa(pid), "status"))
	return status["VmRSS"], err
}

// readCPU reads the processor time of a process from its stat file.
func readCPU(directory string) (time.Duration, error) {
	text, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return 0, err
	}
	// The program's name, in parentheses, may hold anything; what follows is numbered from 3.
	const firstField, userField, systemField = 3, 14, 15
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemField-firstField {
		return 0, fmt.Errorf("%s/stat is too short", directory)
	}
	var ticks int64
	for _, field := range []int{userField, systemField} {
		spent, err := strconv.ParseInt(string(fields[field-firstField]), 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += spent
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// readFields reads a file of lines such as "VmRSS: 1234 kB".
func readFields(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fields := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		key, rest, _ := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		if value, err := strconv.ParseInt(words[0], 10, 64); err == nil {
			fields[key] = value
		}
	}
	return fields, nil
}

// MachineCPU is the processor time of the whole machine.
type MachineCPU struct{ Busy, Total time.Duration }

// ReadMachineCPU reads the processor time of the machine since it started.
func ReadMachineCPU() (MachineCPU, error) {
	text, err := os.ReadFile(filepath.Join(procDirectory, "stat"))
	if err != nil {
		return MachineCPU{}, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	const idleField, waitField, countedFields = 3, 4, 8 // guests are part of user time
	var cpu MachineCPU
	for i, word := range strings.Fields(strings.TrimPrefix(line, "cpu")) {
		ticks, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return MachineCPU{}, err
		}
		if i >= countedFields {
			break
		}
		spent := time.Duration(ticks) * time.Second / ticksPerSecond
		cpu.Total += spent
		if i != idleField && i != waitField {
			cpu.Busy += spent
		}
	}
	return cpu, nil
}

// BusyShare returns the busy share of the time since an earlier reading.
func (c MachineCPU) BusyShare(earlier MachineCPU) float64 {
	if c.Total <= earlier.Total {
		return 0
	}
	return float64(c.Busy-earlier.Busy) / float64(c.Total-earlier.Total)
}

// MachineMemoryKB reads how much memory the machine has.
func MachineMemoryKB() (int64, error) {
	fields, err := readFields(filepath.Join(procDirectory, "meminfo"))
	return fields["MemTotal"], err
}
