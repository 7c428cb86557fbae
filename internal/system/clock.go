package system

import (
	"syscall"
	"time"
	"unsafe"
)

// Clock tells the time to what outlives a process. The zero value is that of the system.
type Clock struct {
	Wall   func() time.Time     // may be stepped, either way
	Uptime func() time.Duration // runs on evenly, for all processes of a machine, from its start on
}

// OrSystem returns the source with the system's clocks in place of those that are not set.
func (s Clock) OrSystem() Clock {
	if s.Wall == nil {
		s.Wall = time.Now
	}
	if s.Uptime == nil {
		s.Uptime = uptime
	}
	return s
}

// Timestamp is an instant that another process can read.
type Timestamp struct {
	UnixMS int64 // by the wall clock
	UpMS   int64 // by the machine's uptime; 0 where a process of an earlier version wrote it
}

// Now returns the present instant.
func (s Clock) Now() Timestamp { return Timestamp{s.Wall().UnixMilli(), s.Uptime().Milliseconds()} }

// Age returns how long ago an instant was. It is not known of one that is ahead of the machine's uptime, which is
// that of an earlier start of the machine.
func (s Clock) Age(at Timestamp) (age time.Duration, known bool) {
	if at.UpMS > 0 {
		age = s.Uptime() - time.Duration(at.UpMS)*time.Millisecond
	} else {
		age = s.Wall().Sub(time.UnixMilli(at.UnixMS))
	}
	return age, age >= -time.Millisecond // it was cut to whole milliseconds
}

// clockMonotonic is Linux's CLOCK_MONOTONIC.
const clockMonotonic = 1

// uptime reads the clock that steps of the wall clock leave alone; 0 where that fails.
func uptime() time.Duration {
	var now syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&now)), 0)
	if errno != 0 {
		return 0
	}
	return time.Duration(now.Nano())
}
