package discovery

import (
	"math/rand/v2"
	"time"

	"oakproxy/balancer"
)

// Time limits of a watch. They divide the time that the protocol allows for learning of a change, which is
// balancer.NotificationDeadline. The deadline holds whatever became of earlier calls, so it covers a call that fails,
// the backoff after it and the next call:
//
//	maxWatchWait + WatchGrace + backoff + callTimeout <= NotificationDeadline   after a watch went silent
//	callTimeout + backoff + callTimeout               <= NotificationDeadline   after a call that timed out
//
// The backoff is the balancer's, and the constants of package balancer state how much is left for it.
const (
	// WatchGrace is how much later than the end of its wait a call of a watch may be answered before it counts as failed.
	WatchGrace = time.Duration(balancer.WatchGrace) * time.Microsecond

	// maxWatchWait is the longest that a call of a watch asks discovery to wait for a change.
	maxWatchWait = time.Duration(balancer.WatchDuration) * time.Microsecond

	// callTimeout is the timeout of a call that does not wait for a change, where lists are polled.
	callTimeout = time.Duration(balancer.DiscoveryCallTimeout) * time.Microsecond

	// notificationDelay is how long after the end of a call's wait the sidecar counts as notified of what the call missed
	// (protocol page, section Figures). The list must not become older than the settings allow without a watch, so
	//
	//	wait + notificationDelay <= PollInterval, as far as minWatchWait allows.
	notificationDelay = 2 * time.Second

	// minWatchWait is the shortest wait, whatever the poll interval: discovery serves all sidecars in turn, and shorter
	// waits would multiply its calls.
	minWatchWait = time.Second

	// watchWaitJitterDivisor is the part of the wait, as a divisor, by which calls are shortened at random, so that sidecars that
	// started together do not call together.
	watchWaitJitterDivisor = 4

	// watchPause is the pause between an answer and the next call of a watch. It satisfies
	//
	//	watchPause < 200 ms, after which a later call is a new watch (protocol page, section Discovery),
	//
	// with room for a sidecar that waits for its core. A watch without a pause could flood discovery while versions change
	// quickly.
	watchPause = 20 * time.Millisecond

	// malformedRetryDelay is the mean pause before a call whose answer was malformed is made again.
	malformedRetryDelay = 50 * time.Millisecond
)

// Time limits for versions that go back. A discovery service that lost its state numbers its lists anew, and until
// that is known an older version may as well be a stale answer.
const (
	// versionResetPolls is the number of poll intervals without a list after which an older version is accepted. It is the
	// number for which a failed call stands for a watch (wire page, contract.ask-within).
	versionResetPolls = 4

	// VersionResetTimeoutAfterReload replaces that time after a reload, which may have moved discovery to another address with a
	// numbering of its own. It satisfies
	//
	//	VersionResetTimeoutAfterReload < NotificationDeadline, so that the moved list is in use by the time that changes in it count.
	VersionResetTimeoutAfterReload = 3 * time.Second
)

// Time limits where lists are pushed to an agent on the machine. The agent's list counts as delivered, so that
// requests to a draining endpoint must stop within the drain grace whether or not a call succeeded. A call and the
// pause after its failure (up to 1.5 times its mean, by Jitter) leave time in it for another:
//
//	pushedCallTimeout + 1.5 pushedRetryDelay <= 11/16 DrainGrace, for a DrainGrace of 400 ms or more.
const (
	pushedCallTimeoutDivisor = 2 // of the drain grace, as a divisor
	minPushedCallTimeout     = 200 * time.Millisecond
	maxPushedCallTimeout     = time.Second

	pushedRetryDelayDivisor = 8 // of the drain grace, as a divisor
	minPushedRetryDelay     = 50 * time.Millisecond
	maxPushedRetryDelay     = time.Second
)

// pushedCallTimeout returns the timeout of a call that does not wait for a change, where lists are pushed.
func pushedCallTimeout(drainGrace time.Duration) time.Duration {
	return max(minPushedCallTimeout, min(drainGrace/pushedCallTimeoutDivisor, maxPushedCallTimeout))
}

// pushedRetryDelay returns the mean pause after a call that failed, where lists are pushed.
func pushedRetryDelay(drainGrace time.Duration) time.Duration {
	return max(minPushedRetryDelay, min(drainGrace/pushedRetryDelayDivisor, maxPushedRetryDelay))
}

// watchWait returns how long calls of a watch ask discovery to wait for a change, before jitter.
func watchWait(pollInterval time.Duration) time.Duration {
	return max(minWatchWait, min(maxWatchWait, pollInterval-notificationDelay))
}

// Jitter returns a random duration between half of d and one and a half d, so that sidecars do not act in step.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(max(1, d)) }
