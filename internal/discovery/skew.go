package discovery

import (
	"oakproxy/balancer"
	"time"
)

// MinSkew is how far the clocks of discovery and of this process must be apart to be told so: discovery's date is cut to
// the second, and its answer takes a while.
const MinSkew = 2 * time.Second

// ClockSkew is how far the clock by which a list tells starts is ahead of the loop's, as far as the list lets it be known.
func (r *List) ClockSkew(now balancer.Micros) balancer.Micros {
	if r.date.IsZero() {
		return 0
	}
	if skew := r.date.UnixMicro() - now; skew > MinSkew.Microseconds() || skew < -MinSkew.Microseconds() {
		return skew
	}
	return 0
}
