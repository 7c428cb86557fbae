package balancer

const minPollDelay = second / 20 // the shortest pause after a call that failed, about

func (b *Balancer) schedulePoll(now, delay Micros) {
	b.nextPollAt = now + delay
	b.actions.StartTimer(delay, pollTimerToken)
}

// scheduleFirstPoll spreads the first calls: all balancers may start at once.
func (b *Balancer) scheduleFirstPoll(now Micros) {
	if b.settings.SubscribeToDiscovery {
		b.schedulePoll(now, 1+b.random.duration(min(b.settings.Contract.PollInterval/10, NotificationDeadline/6)))
	}
}

func (b *Balancer) poll(now Micros) {
	if b.settings.SubscribeToDiscovery && !b.subscribed && now >= b.nextPollAt {
		b.lastPollAt = now
		b.actions.Watch(true)
		// The answer may be lost, and without one we would never hear again.
		b.schedulePoll(now, 1+NotificationDeadline/2+b.random.duration(NotificationDeadline/10))
	}
}

// retryPoll asks discovery again with a growing, random delay, but in time for NotificationDeadline.
func (b *Balancer) retryPoll(now Micros) {
	if b.settings.SubscribeToDiscovery {
		first := b.settings.Contract.PollInterval / 20
		if b.subscribed {
			first = min(first, max(b.settings.Contract.DrainGrace/4, minPollDelay))
		}
		if b.pollBackoff = min(2*b.pollBackoff, b.settings.Contract.PollInterval/4); b.pollBackoff == 0 {
			b.pollBackoff = first
		}
		used := min(now-b.lastPollAt, DiscoveryCallTimeout)
		if b.subscribed {
			used = WatchDuration + WatchGrace
		}
		wait := min(b.pollBackoff, (NotificationDeadline-DiscoveryCallTimeout-used)*2/3)
		b.schedulePoll(now, 1+wait/2+b.random.duration(wait))
	}
}
