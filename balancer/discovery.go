package balancer

// Discovery: when the balancer calls discovery to subscribe to the endpoint list.

// minInitialBackoff is the lower bound of DrainGrace/4 in the first backoff after a watch broke:
//
//	min(PollInterval/20, max(DrainGrace/4, minInitialBackoff))
//
// The delay before a call is drawn from 0.5 to 1.5 times the backoff, or times the limit in failed if that is
// less.
const minInitialBackoff = second / 20

// discoveryPoller subscribes to changes of the endpoint list and retries failed calls to discovery.
type discoveryPoller struct {
	*environment
	subscribed bool
	nextPollAt Micros // instant of the next call, which is skipped if subscribed by then
	lastPollAt Micros // instant of the latest call
	backoff    Micros // mean delay before the next call, unless failed shortens it; 0 after a success
}

// start schedules the first call after a random delay, since all balancers may start at the same time.
func (d *discoveryPoller) start(now Micros) {
	if d.settings.SubscribeToDiscovery {
		d.schedule(now, 1+d.random.duration(min(d.settings.Contract.PollInterval/10, NotificationDeadline/6)))
	}
}

// schedule starts the timer for the next call.
func (d *discoveryPoller) schedule(now, delay Micros) {
	d.nextPollAt = now + delay
	d.actions.StartTimer(delay, pollTimerToken)
}

// poll calls discovery if the next call is due and the balancer is not subscribed.
func (d *discoveryPoller) poll(now Micros) {
	if d.settings.SubscribeToDiscovery && !d.subscribed && now >= d.nextPollAt {
		d.lastPollAt = now
		d.actions.Watch(true)
		// The answer may be lost. Without a further call, the endpoint list would then never change again.
		d.schedule(now, 1+NotificationDeadline/2+d.random.duration(NotificationDeadline/10))
	}
}

// succeeded records that discovery answered: the balancer is subscribed and the backoff ends.
func (d *discoveryPoller) succeeded() {
	if d.settings.SubscribeToDiscovery {
		d.subscribed, d.backoff = true, 0
	}
}

// failed schedules the next call after a call that failed or a watch that broke. The delay grows
// exponentially and has jitter. It is limited so that the next call can still return a change within
// NotificationDeadline.
func (d *discoveryPoller) failed(now Micros) {
	wasSubscribed := d.subscribed
	d.subscribed = false
	if !d.settings.SubscribeToDiscovery {
		return
	}
	initialBackoff := d.settings.Contract.PollInterval / 20
	if wasSubscribed {
		initialBackoff = min(initialBackoff, max(d.settings.Contract.DrainGrace/4, minInitialBackoff))
	}
	if d.backoff = min(2*d.backoff, d.settings.Contract.PollInterval/4); d.backoff == 0 {
		d.backoff = initialBackoff
	}
	elapsed := min(now-d.lastPollAt, DiscoveryCallTimeout)
	if wasSubscribed {
		elapsed = WatchDuration + WatchGrace
	}
	meanDelay := min(d.backoff, (NotificationDeadline-DiscoveryCallTimeout-elapsed)*2/3)
	d.schedule(now, 1+meanDelay/2+d.random.duration(meanDelay))
}
