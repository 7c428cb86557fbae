package sidecar

import (
	"time"

	"oakproxy/balancer"
)

// clock gives the balancer's time: microseconds that never run backwards. It counts from the Unix time at its start,
// so that the times of discovery map onto it unchanged.
type clock struct {
	start       time.Time
	startMicros balancer.Micros // Unix time at start, by the wall clock at that moment
}

func newClock(wall func() time.Time) clock { return clock{time.Now(), wall().UnixMicro()} }

// now returns the present time.
func (c clock) now() balancer.Micros { return c.startMicros + time.Since(c.start).Microseconds() }

// timeAt converts a time of the balancer's, for deadlines and timers.
func (c clock) timeAt(at balancer.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.startMicros) * time.Microsecond)
}
