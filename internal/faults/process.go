package faults

import (
	"fmt"
	"os"
	"syscall"
	"time"
	"unsafe"
)

// Pause stops a process for a duration, as a machine does that has no processor time for it.
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

const rlimitNoFile = 7 // Linux's RLIMIT_NOFILE

// LimitDescriptors sets the limit on open descriptors of a process and returns the limit before. While the process has
// more of them open, accept and socket fail with EMFILE.
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

// prlimit sets and reads RLIMIT_NOFILE of a process; next and old may be nil.
func prlimit(pid int, next, old *syscall.Rlimit) error {
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), rlimitNoFile,
		uintptr(unsafe.Pointer(next)), uintptr(unsafe.Pointer(old)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}
