package balancer

// Discovery: when the balancer subscribes to the endpoint list.

// minPollDelay is about the shortest delay of the first call after a watch that broke.
const minPollDelay = second / 20

// discoveryPoller subscribes to discovery and retries calls that fail.
type discoveryPoller struct {
	*environment
	subscribed bool
	nextPollAt Micros // instant of the next call, unless subscribed by then
	lastPollAt Micros
	backoff    Micros // before the next call; 0 after a success
}

// start spreads the first calls: all balancers may start at once.
func (d *discoveryPoller) start(now Micros) {
	if d.settings.SubscribeToDiscovery {
		d.schedule(now, 1+d.random.duration(min(d.settings.Contract.PollInterval/10, NotificationDeadline/6)))
	}
}

func (d *discoveryPoller) schedule(now, delay Micros) {
	d.nextPollAt = now + delay
	d.actions.StartTimer(delay, pollTimerToken)
}

// poll calls discovery when its time has come, unless subscribed.
func (d *discoveryPoller) poll(now Micros) {
	if d.settings.SubscribeToDiscovery && !d.subscribed && now >= d.nextPollAt {
		d.lastPollAt = now
		d.actions.Watch(true)
		// The answer may be lost: without another call, the endpoint list would never change again.
		d.schedule(now, 1+NotificationDeadline/2+d.random.duration(NotificationDeadline/10))
	}
}

// succeeded records an answer of discovery.
func (d *discoveryPoller) succeeded() {
	if d.settings.SubscribeToDiscovery {
		d.subscribed, d.backoff = true, 0
	}
}

// failed schedules the next call after one that failed, or after a watch that broke: with exponential backoff
// and jitter, but early enough to be notified of a change by NotificationDeadline.
func (d *discoveryPoller) failed(now Micros) {
	wasSubscribed := d.subscribed
	d.subscribed = false
	if !d.settings.SubscribeToDiscovery {
		return
	}
	first := d.settings.Contract.PollInterval / 20
	if wasSubscribed {
		first = min(first, max(d.settings.Contract.DrainGrace/4, minPollDelay))
	}
	if d.backoff = min(2*d.backoff, d.settings.Contract.PollInterval/4); d.backoff == 0 {
		d.backoff = first
	}
	used := min(now-d.lastPollAt, DiscoveryCallTimeout)
	if wasSubscribed {
		used = WatchDuration + WatchGrace
	}
	wait := min(d.backoff, (NotificationDeadline-DiscoveryCallTimeout-used)*2/3)
	d.schedule(now, 1+wait/2+d.random.duration(wait))
}
