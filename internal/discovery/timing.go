package discovery

import (
	"math/rand/v2"
	"time"

	"oakproxy/balancer"
)

// Time limits of a watch. The protocol requires that the sidecar is notified of a change within
// balancer.NotificationDeadline, even if earlier calls failed. The deadline therefore covers a failed call, the backoff
// after it and the next call:
//
//	maxWatchWait + WatchGrace + backoff + callTimeout <= NotificationDeadline   after a watch got no answer
//	callTimeout + backoff + callTimeout               <= NotificationDeadline   after a call that timed out
//
// The balancer chooses the backoff. The constants of package balancer state how much time remains for it.
const (
	// WatchGrace is the time that a call of a watch may take in addition to its wait before the call is regarded as
	// failed.
	WatchGrace = time.Duration(balancer.WatchGrace) * time.Microsecond

	// maxWatchWait is the longest time that a call of a watch asks discovery to wait for a change.
	maxWatchWait = time.Duration(balancer.WatchDuration) * time.Microsecond

	// callTimeout is the timeout of a call that does not wait for a change, if lists are polled.
	callTimeout = time.Duration(balancer.DiscoveryCallTimeout) * time.Microsecond

	// If a call of a watch does not report a change, the protocol regards the sidecar as notified of the change
	// notificationDelay after the end of the call's wait (protocol page, section Figures). The list must not become
	// older than PollInterval, so the wait of a call satisfies
	//
	//	wait + notificationDelay <= PollInterval, unless wait is minWatchWait.
	notificationDelay = 2 * time.Second

	// minWatchWait is the shortest wait, even if the poll interval is shorter. Discovery serves all sidecars one after
	// another, and shorter waits would multiply the number of calls.
	minWatchWait = time.Second

	// watchWaitJitterDivisor limits the jitter of the wait: each wait is shortened by a random time below
	// wait/watchWaitJitterDivisor, so that sidecars that start at the same time do not call at the same time.
	watchWaitJitterDivisor = 4

	// watchPause is the pause between an answer and the next call of a watch. Without a pause, a watch could overload
	// discovery while versions change quickly. The pause satisfies
	//
	//	watchPause < 200 ms,
	//
	// because a call that comes later than 200 ms after the answer begins a new watch (protocol page, section Discovery).
	// The difference leaves time for a sidecar that has to wait for its CPU core.
	watchPause = 20 * time.Millisecond

	// malformedRetryDelay is the mean pause before a call is repeated because its answer was malformed.
	malformedRetryDelay = 50 * time.Millisecond
)

// Time limits for versions that decrease. A discovery service that has lost its state restarts its version numbers. A
// single older version does not show whether that happened or the answer is outdated.
const (
	// versionResetPolls is the number of poll intervals without a list after which an older version is accepted. It equals
	// the number of poll intervals for which the protocol regards a failed call as a watch (wire page,
	// contract.ask-within).
	versionResetPolls = 4

	// VersionResetTimeoutAfterReload replaces versionResetPolls poll intervals after a reload. The reload may have changed
	// the address of discovery, and the service there has its own version numbers. The timeout satisfies
	//
	//	VersionResetTimeoutAfterReload < NotificationDeadline,
	//
	// so that the list of the new service is in use when the sidecar must be notified of changes in it.
	VersionResetTimeoutAfterReload = 3 * time.Second
)

// Time limits if lists are pushed to an agent on the machine. The protocol regards a list as delivered when the agent
// has it, so requests to a draining endpoint must stop within the drain grace even if a call to the agent fails. A
// failed call and the pause after it, which Jitter makes up to 1.5 times as long as its mean, leave time for another
// call within the drain grace:
//
//	pushedCallTimeout + 1.5 pushedRetryDelay <= 11/16 DrainGrace, if DrainGrace >= 400 ms.
const (
	pushedCallTimeoutDivisor = 2 // call timeout = drain grace / divisor, within the limits below
	minPushedCallTimeout     = 200 * time.Millisecond
	maxPushedCallTimeout     = time.Second

	pushedRetryDelayDivisor = 8 // mean retry delay = drain grace / divisor, within the limits below
	minPushedRetryDelay     = 50 * time.Millisecond
	maxPushedRetryDelay     = time.Second
)

// pushedCallTimeout returns the timeout of a call that does not wait for a change, if lists are pushed.
func pushedCallTimeout(drainGrace time.Duration) time.Duration {
	return max(minPushedCallTimeout, min(drainGrace/pushedCallTimeoutDivisor, maxPushedCallTimeout))
}

// pushedRetryDelay returns the mean pause after a failed call, if lists are pushed.
func pushedRetryDelay(drainGrace time.Duration) time.Duration {
	return max(minPushedRetryDelay, min(drainGrace/pushedRetryDelayDivisor, maxPushedRetryDelay))
}

// watchWait returns how long calls of a watch ask discovery to wait for a change. Client.Watch shortens each wait by a
// random time.
func watchWait(pollInterval time.Duration) time.Duration {
	return max(minWatchWait, min(maxWatchWait, pollInterval-notificationDelay))
}

// Jitter returns a random duration between 0.5 d and 1.5 d, so that sidecars do not act at the same time.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(max(1, d)) }
