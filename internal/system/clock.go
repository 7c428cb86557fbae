package system

import (
	"syscall"
	"time"
	"unsafe"
)

// Clock is a source of instants that outlive a process. A zero field stands for the system's clock; OrSystem fills it
// in.
type Clock struct {
	Wall   func() time.Time     // may be stepped in either direction
	Uptime func() time.Duration // since the machine's start; never stepped, and the same for all processes
}

// OrSystem returns the clock with the system's in place of the fields that are not set.
func (c Clock) OrSystem() Clock {
	if c.Wall == nil {
		c.Wall = time.Now
	}
	if c.Uptime == nil {
		c.Uptime = uptime
	}
	return c
}

// Timestamp is an instant in a form that another process on the machine can read.
type Timestamp struct {
	UnixMS   int64 // wall clock time in milliseconds since 1970
	UptimeMS int64 // machine uptime in milliseconds; 0 if a version wrote it that did not record it
}

// Now returns the present instant. Both functions of the clock must be set.
func (c Clock) Now() Timestamp { return Timestamp{c.Wall().UnixMilli(), c.Uptime().Milliseconds()} }

// timestampError is how far a timestamp may be ahead of the clock that it is from: it has whole milliseconds.
const timestampError = time.Millisecond

// Age returns how long ago an instant was, by uptime if the timestamp has it, and else by the wall clock. The age is
// not known if the instant is ahead of the clock: it is then of an earlier start of the machine. Both functions of
// the clock must be set.
func (c Clock) Age(at Timestamp) (age time.Duration, known bool) {
	if at.UptimeMS > 0 {
		age = c.Uptime() - time.Duration(at.UptimeMS)*time.Millisecond
	} else {
		age = c.Wall().Sub(time.UnixMilli(at.UnixMS))
	}
	return age, age >= -timestampError
}

// clockMonotonic is Linux's CLOCK_MONOTONIC.
const clockMonotonic = 1

// uptime returns the time of the machine's monotonic clock, or 0 if it cannot be read.
func uptime() time.Duration {
	var now syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&now)), 0)
	if errno != 0 {
		return 0
	}
	return time.Duration(now.Nano())
}
