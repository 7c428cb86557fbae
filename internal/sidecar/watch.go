package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/system"
)

// Watch begins to watch discovery's list, from the last version on, or ends it.
func (l *loop) Watch(on bool) {
	l.stopWatch()
	if !on {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	from, disc, subscribe := l.from, l.disc, l.cfg.Settings.SubscribeToDiscovery
	tell := func(event func(now balancer.Micros)) {
		l.post(func(now balancer.Micros) {
			if ctx.Err() == nil { // else the watch was ended meanwhile
				event(now)
			}
		})
	}
	heard := func(list discovery.List) {
		tell(func(now balancer.Micros) { l.hear(now, list) })
	}
	malformed := func(err error) {
		tell(func(now balancer.Micros) { l.miss(now, err) })
	}
	go func() {
		for ctx.Err() == nil {
			err := disc.Watch(ctx, from, heard, malformed)
			next := make(chan discovery.Position, 1)
			tell(func(now balancer.Micros) {
				l.miss(now, err)
				l.balancer.HandleEndpoints(now, balancer.ListFailed, nil)
				next <- l.from
			})
			if subscribe {
				return // when to ask again is the balancer's decision
			}
			system.Sleep(ctx, discovery.Jitter(disc.RetryDelay)) // the balancer never asks: the watch begins again by itself
			select {
			case from = <-next:
			case <-ctx.Done():
			}
		}
	}()
}

// callCounts counts calls of discovery by how they ended, and entries of lists that
// could not be used.
type callCounts struct{ answered, silent, failed, malformed, lost uint64 }

// since tells what was counted since then, and how.
func (c callCounts) since(old callCounts) string {
	return fmt.Sprintf("[answered:%d timeout:%d failed:%d malformed:%d unusable_entries:%d]", c.answered-old.answered,
		c.silent-old.silent, c.failed-old.failed, c.malformed-old.malformed, c.lost-old.lost)
}

// hear takes an answer of discovery.
func (l *loop) hear(now balancer.Micros, list discovery.List) {
	if l.unheard {
		l.log.Info("discovery recovered", "list_age_ms", (now-l.heard)/1000, "seq", list.Seq)
	}
	l.unheard, l.heard = false, now
	l.calls.answered++
	l.log.Debug("endpoint list received", "seq", list.Seq, "whole", list.Whole, "hosts", len(list.Hosts))
	l.calls.lost += uint64(list.Unusable)
	kind := balancer.ListDelta
	if list.Whole {
		kind = balancer.ListFull
	}
	l.members(now, kind, list)
}

// miss takes the failure of a call of discovery.
func (l *loop) miss(now balancer.Micros, err error) {
	var bad *discovery.MalformedError
	switch {
	case errors.As(err, &bad):
		l.calls.malformed++
	case errors.Is(err, context.DeadlineExceeded):
		l.calls.silent++
	default:
		l.calls.failed++
	}
	if errors.Is(err, discovery.ErrOutdated) {
		l.from.After = nil // its changes since another numbering's version mean nothing
	}
	if !l.unheard || now-l.warned >= missEvery.Microseconds() {
		l.warned = now
		l.log.Warn("discovery call failed", "error", err, "list_age_ms", (now-l.heard)/1000)
	}
	l.unheard = true
}

// newDiscoveryFor returns the client of the discovery that a configuration names.
func newDiscoveryFor(cfg *config.Config) *discovery.Client {
	c := &cfg.Settings.Contract
	return discovery.NewClient(discovery.Options{Address: cfg.Discovery, Wait: cfg.DiscoveryWait, Dial: cfg.DiscoveryDial,
		Subscribe:    cfg.Settings.SubscribeToDiscovery,
		PollInterval: time.Duration(c.PollInterval) * time.Microsecond,
		DrainGrace:   time.Duration(c.DrainGrace) * time.Microsecond})
}
