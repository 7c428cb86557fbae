package discovery

import (
	"testing"
	"time"

	"oakproxy/balancer"
)

// The time limits satisfy the inequalities in their comments.
func TestTimeLimitsSatisfyInequalities(t *testing.T) {
	deadline := time.Duration(balancer.NotificationDeadline) * time.Microsecond
	for name, limits := range map[string]struct{ used, allowed time.Duration }{
		"an unanswered watch and a call":   {maxWatchWait + WatchGrace + callTimeout, deadline},
		"two calls":                        {2 * callTimeout, deadline},
		"the pause of a watch":             {watchPause, 200 * time.Millisecond},
		"the version reset after a reload": {VersionResetTimeoutAfterReload, deadline},
		"two calls that were malformed":    {2*callTimeout + malformedRetryDelay*3/2 + watchPause, deadline},
	} {
		if limits.used >= limits.allowed {
			t.Errorf("%s: got %v, want less than %v", name, limits.used, limits.allowed)
		}
	}
	for interval := minWatchWait + notificationDelay; interval < time.Minute; interval += 100 * time.Millisecond {
		if wait := watchWait(interval); wait < minWatchWait || wait > maxWatchWait || wait+notificationDelay > interval {
			t.Errorf("poll interval %v: got a wait of %v, want one from %v to %v that ends %v before the interval or earlier",
				interval, wait, minWatchWait, maxWatchWait, notificationDelay)
		}
	}
	for grace := 400 * time.Millisecond; grace < time.Minute; grace += 100 * time.Millisecond {
		if used := pushedCallTimeout(grace) + pushedRetryDelay(grace)*3/2; used > grace*11/16 {
			t.Errorf("drain grace %v: a call and a pause use %v, want at most %v", grace, used, grace*11/16)
		}
	}
}
