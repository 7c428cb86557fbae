package faults

import (
	"fmt"
	"os"
	"syscall"
	"time"
	"unsafe"
)

// Pause stops a process for a duration, as if a busy machine gave it no processor time.
func Pause(process *os.Process, duration time.Duration) error {
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("stop process %d: %w", process.Pid, err)
	}
	time.Sleep(duration)
	if err := process.Signal(syscall.SIGCONT); err != nil {
		return fmt.Errorf("continue process %d: %w", process.Pid, err)
	}
	return nil
}

const rlimitNoFile = 7 // RLIMIT_NOFILE on Linux

// LimitDescriptors sets the soft limit on the file descriptors of a process, and returns the previous limit. While the
// process has at least limit descriptors open, accept and socket fail with EMFILE.
func LimitDescriptors(process *os.Process, limit uint64) (previous uint64, err error) {
	var old syscall.Rlimit
	if err := prlimit(process.Pid, nil, &old); err != nil {
		return 0, fmt.Errorf("read the descriptor limit of process %d: %w", process.Pid, err)
	}
	if err := prlimit(process.Pid, &syscall.Rlimit{Cur: limit, Max: old.Max}, nil); err != nil {
		return old.Cur, fmt.Errorf("set the descriptor limit of process %d to %d: %w", process.Pid, limit, err)
	}
	return old.Cur, nil
}

// prlimit stores the RLIMIT_NOFILE of a process in old, and sets the limit to next. If old is nil, it stores nothing.
// If next is nil, it does not change the limit.
func prlimit(pid int, next, old *syscall.Rlimit) error {
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), rlimitNoFile,
		uintptr(unsafe.Pointer(next)), uintptr(unsafe.Pointer(old)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}
