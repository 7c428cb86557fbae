package discovery

import (
	"time"

	"oakproxy/balancer"
)

// MinSkew is the least difference between the clocks of discovery and of this process that is taken for one. A
// smaller one may come from the date of an answer, which is truncated to the second, and from the answer's way.
const MinSkew = 2 * time.Second

// ClockSkew returns how far, in microseconds, the clock by which a list gives start times is ahead of a clock that
// shows now. It returns 0 if the answer had no date or the difference is at most MinSkew.
func (l *List) ClockSkew(now balancer.Micros) balancer.Micros {
	if l.date.IsZero() {
		return 0
	}
	if skew := l.date.UnixMicro() - now; skew > MinSkew.Microseconds() || skew < -MinSkew.Microseconds() {
		return skew
	}
	return 0
}
