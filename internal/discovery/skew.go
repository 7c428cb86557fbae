package discovery

import (
	"time"

	"oakproxy/balancer"
)

// MinSkew is the largest difference between the clocks of discovery and of this process that ClockSkew ignores. Such a
// small difference may be due to the date of an answer, which is truncated to seconds, and to the network delay.
const MinSkew = 2 * time.Second

// ClockSkew returns how far, in microseconds, the clock of discovery is ahead of the clock of this process. The start
// times in a list are according to the clock of discovery. The parameter now is the Unix time in microseconds according
// to the clock of this process. ClockSkew returns 0 if the answer had no date or the difference is at most MinSkew.
func (l *List) ClockSkew(now balancer.Micros) balancer.Micros {
	if l.date.IsZero() {
		return 0
	}
	if skew := l.date.UnixMicro() - now; skew > MinSkew.Microseconds() || skew < -MinSkew.Microseconds() {
		return skew
	}
	return 0
}
