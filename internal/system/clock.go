package system

import (
	"syscall"
	"time"
	"unsafe"
)

// Clock is a source of instants that remain meaningful after the process has ended. WithDefaults sets each field that
// is nil to the clock of the operating system.
type Clock struct {
	Wall   func() time.Time     // wall clock, which may be stepped in either direction
	Uptime func() time.Duration // time since the machine's start; never stepped, and the same for all processes
}

// WithDefaults returns a copy of the clock in which the system's functions replace the fields that are nil.
func (c Clock) WithDefaults() Clock {
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
	UptimeMS int64 // machine uptime in milliseconds; 0 if written by a version that did not record it
}

// Now returns the current time as a Timestamp. Both functions of the clock must be set.
func (c Clock) Now() Timestamp { return Timestamp{c.Wall().UnixMilli(), c.Uptime().Milliseconds()} }

// timestampResolution is the resolution of a Timestamp, which has whole milliseconds. Age accepts a timestamp that is
// ahead of the clock by at most this much, because the difference may be due to rounding.
const timestampResolution = time.Millisecond

// Age returns how long ago a timestamp was taken. It uses the uptime if the timestamp has one, and otherwise the wall
// clock. The age is not known if the timestamp is ahead of the clock by more than timestampResolution; an uptime that
// is ahead of the clock was recorded before the latest start of the machine. Both functions of the clock must be set.
func (c Clock) Age(timestamp Timestamp) (age time.Duration, known bool) {
	if timestamp.UptimeMS > 0 {
		age = c.Uptime() - time.Duration(timestamp.UptimeMS)*time.Millisecond
	} else {
		age = c.Wall().Sub(time.UnixMilli(timestamp.UnixMS))
	}
	return age, age >= -timestampResolution
}

// clockMonotonic is Linux's CLOCK_MONOTONIC.
const clockMonotonic = 1

// uptime returns the time of the machine's monotonic clock, or 0 if the clock cannot be read.
func uptime() time.Duration {
	var now syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&now)), 0)
	if errno != 0 {
		return 0
	}
	return time.Duration(now.Nano())
}
