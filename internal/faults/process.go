package faults

import (
	"os"
	"syscall"
	"time"
	"unsafe"
)

// Hold stops a process for a while, as a machine does that has no time for it.
func Hold(process *os.Process, d time.Duration) error {
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return process.Signal(syscall.SIGCONT)
}

const rlimitNoFile = 7 // Linux's RLIMIT_NOFILE

// LimitDescriptors sets how many descriptors a process may have, and returns the limit before. Below what it has open,
// accept and socket fail with EMFILE until the limit is higher again.
func LimitDescriptors(process *os.Process, most uint64) (before uint64, err error) {
	var old syscall.Rlimit
	if err := prlimit(process.Pid, nil, &old); err != nil {
		return 0, err
	}
	return old.Cur, prlimit(process.Pid, &syscall.Rlimit{Cur: most, Max: old.Max}, nil)
}

func prlimit(pid int, next, old *syscall.Rlimit) error {
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), rlimitNoFile,
		uintptr(unsafe.Pointer(next)), uintptr(unsafe.Pointer(old)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}
