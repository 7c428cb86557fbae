package discovery

import (
	"math/rand/v2"
	"time"

	"oakproxy/balancer"
)

const (
	MaxListBytes = 8 << 20 // bytes of a list

	// A call is held for news so long that, should it fall silent, its change is heard of in time
	// all the same, and never for so long that a list is older than the settings allow one without
	// a watch; less of it now and then, so that sidecars that began together do not go on in step.
	minWait       = time.Second
	waitSpread    = 4 // a part of the wait
	toldAfterWait = 2 * time.Second

	// The balancer's parts of the time for hearing of a change.
	maxWait      = time.Duration(balancer.WatchDuration) * time.Microsecond
	WatchGrace   = time.Duration(balancer.WatchGrace) * time.Microsecond
	listPatience = time.Duration(balancer.DiscoveryCallTimeout) * time.Microsecond

	// A discovery that has lost its versions begins to count anew. An older version is not
	// believed for as long as a failed call stands for its watch, or, after SIGHUP, for most
	// of the time in which a new address has to be followed.
	olderPeriods      = 4 // of ask-within
	MovedVersionGrace = 3 * time.Second

	// A watch ends when its next call comes later than 200 ms after the last
	// answer; calls without any pause could become a flood.
	watchPause = 20 * time.Millisecond

	// Where lists are pushed, an agent has them at hand and what it has counts as told: whatever
	// the grace on drains, a call that gets no answer is not worth waiting for beyond a part of
	// that, nor is the pause after a failure.
	agentPatience = 200 * time.Millisecond // at least: the sidecar may be short of its core
	agentPause    = 50 * time.Millisecond  // at least
)

// pushedTimes returns how long a call may take and how long a pause lasts where lists are pushed.
func pushedTimes(grace time.Duration) (patience, rest time.Duration) {
	return max(agentPatience, min(grace/2, time.Second)), max(agentPause, min(grace/8, time.Second))
}

// Jitter is d, half of it to one and a half, so that sidecars do not go in step.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(max(1, d)) }
