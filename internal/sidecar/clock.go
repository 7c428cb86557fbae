package sidecar

import (
	"time"

	"oakproxy/balancer"
)

// clock provides the balancer's time: microseconds from a monotonic clock. It starts at the Unix time of its creation,
// so that the Unix times in discovery's answers need no conversion except for clock skew.
type clock struct {
	start       time.Time       // time when the clock was created, with a monotonic reading
	startMicros balancer.Micros // Unix time in microseconds at start, according to the wall clock
}

func newClock(wall func() time.Time) clock { return clock{time.Now(), wall().UnixMicro()} }

// now returns the current time of the clock.
func (c clock) now() balancer.Micros { return c.startMicros + time.Since(c.start).Microseconds() }

// timeAt converts a time of the clock to a time.Time that can be used for deadlines and timers.
func (c clock) timeAt(at balancer.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.startMicros) * time.Microsecond)
}
