// Package process starts and stops child processes and reads the resource usage of processes and of the machine.
//
// No child process outlives its group: Group.Stop waits until all children have exited, and if the emulator dies, the
// children are stopped by the kernel or by the end of their input. Resource usage is read from /proc of Linux.
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
	ticksPerSecond = 100 // ticks per second; /proc gives processor times in ticks (USER_HZ)
	bytesPerKB     = 1024
)

// Usage is the resource usage of a process, or the sum for several processes.
type Usage struct {
	CPU         time.Duration // user and system time since the start of the process
	ResidentKB  int64         // resident memory
	PeakKB      int64         // highest resident memory so far
	Descriptors int           // open file descriptors
	ReadBytes   uint64        // bytes read by system calls, sockets included
	WriteBytes  uint64        // bytes written by system calls, sockets included
}

// Add adds the usage of another process to u.
func (u *Usage) Add(other Usage) {
	u.CPU += other.CPU
	u.ResidentKB += other.ResidentKB
	u.PeakKB += other.PeakKB
	u.Descriptors += other.Descriptors
	u.ReadBytes += other.ReadBytes
	u.WriteBytes += other.WriteBytes
}

// ReadUsage reads the resource usage of a process.
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

// MaxDescriptors returns the soft limit on the open file descriptors of this process. The emulator takes it as the
// limit of its child processes as well.
func MaxDescriptors() (int, error) {
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	return int(limit.Cur), err
}

// ResidentKB reads the resident memory of a process, in KiB.
func ResidentKB(pid int) (int64, error) {
	status, err := readFields(filepath.Join(procDirectory, strconv.Itoa(pid), "status"))
	return status["VmRSS"], err
}

// readCPU reads the processor time of a process from the file stat in its /proc directory.
func readCPU(directory string) (time.Duration, error) {
	text, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return 0, err
	}
	// The second field, the program name in parentheses, may contain any characters. Therefore the last closing
	// parenthesis ends the second field, and the field after it has number 3.
	const firstField, userField, systemField = 3, 14, 15
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemField-firstField {
		return 0, fmt.Errorf("%s/stat has %d fields after the program name, want at least %d",
			directory, len(fields), systemField-firstField+1)
	}
	var ticks int64
	for _, field := range []int{userField, systemField} {
		value, err := strconv.ParseInt(string(fields[field-firstField]), 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += value
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// readFields reads a file with lines such as "VmRSS: 1234 kB". It returns the numbers by their names and skips lines
// without a number.
func readFields(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fields := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(line, ":")
		words := strings.Fields(value)
		if len(words) == 0 {
			continue
		}
		if number, err := strconv.ParseInt(words[0], 10, 64); err == nil {
			fields[key] = number
		}
	}
	return fields, nil
}

// MachineCPU is the processor time of the machine, summed over all cores. Total includes idle time; Busy does not.
type MachineCPU struct{ Busy, Total time.Duration }

// ReadMachineCPU reads the processor time of the machine since it started.
func ReadMachineCPU() (MachineCPU, error) {
	text, err := os.ReadFile(filepath.Join(procDirectory, "stat"))
	if err != nil {
		return MachineCPU{}, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	// The fields after the first countedFieldCount are guest times, which user time already includes.
	const idleField, iowaitField, countedFieldCount = 3, 4, 8
	var cpu MachineCPU
	for i, field := range strings.Fields(strings.TrimPrefix(line, "cpu")) {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return MachineCPU{}, err
		}
		if i >= countedFieldCount {
			break
		}
		elapsed := time.Duration(ticks) * time.Second / ticksPerSecond
		cpu.Total += elapsed
		if i != idleField && i != iowaitField {
			cpu.Busy += elapsed
		}
	}
	return cpu, nil
}

// BusyShare returns the fraction of the processor time since an earlier reading in which the cores were busy. It is 0
// if no time has passed.
func (c MachineCPU) BusyShare(earlier MachineCPU) float64 {
	if c.Total <= earlier.Total {
		return 0
	}
	return float64(c.Busy-earlier.Busy) / float64(c.Total-earlier.Total)
}

// MachineMemoryKB reads the memory size of the machine, in KiB.
func MachineMemoryKB() (int64, error) {
	fields, err := readFields(filepath.Join(procDirectory, "meminfo"))
	return fields["MemTotal"], err
}
