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
	from, disc, subscribe := l.position, l.discovery, l.cfg.Settings.SubscribeToDiscovery
	tell := func(event func(now balancer.Micros)) {
		l.post(func(now balancer.Micros) {
			if ctx.Err() == nil { // else the watch was ended meanwhile
				event(now)
			}
		})
	}
	heard := func(list discovery.List) {
		tell(func(now balancer.Micros) { l.handleList(now, list) })
	}
	malformed := func(err error) {
		tell(func(now balancer.Micros) { l.handleWatchFailure(now, err) })
	}
	go func() {
		for ctx.Err() == nil {
			err := disc.Watch(ctx, from, heard, malformed)
			next := make(chan discovery.Position, 1)
			tell(func(now balancer.Micros) {
				l.handleWatchFailure(now, err)
				l.balancer.HandleEndpoints(now, balancer.ListFailed, nil)
				next <- l.position
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
type callCounts struct{ answered, timedOut, failed, malformed, unusableEntries uint64 }

// since tells what was counted since then, and how.
func (c callCounts) since(old callCounts) string {
	return fmt.Sprintf("[answered:%d timeout:%d failed:%d malformed:%d unusable_entries:%d]", c.answered-old.answered,
		c.timedOut-old.timedOut, c.failed-old.failed, c.malformed-old.malformed, c.unusableEntries-old.unusableEntries)
}

// handleList takes an answer of discovery.
func (l *loop) handleList(now balancer.Micros, list discovery.List) {
	if l.failing {
		l.log.Info("discovery recovered", "list_age_ms", (now-l.lastListAt)/1000, "seq", list.Seq)
	}
	l.failing, l.lastListAt = false, now
	l.calls.answered++
	l.log.Debug("endpoint list received", "seq", list.Seq, "whole", list.Whole, "hosts", len(list.Hosts))
	l.calls.unusableEntries += uint64(list.Unusable)
	kind := balancer.ListDelta
	if list.Whole {
		kind = balancer.ListFull
	}
	l.updateEndpoints(now, kind, list)
}

// handleWatchFailure takes the failure of a call of discovery.
func (l *loop) handleWatchFailure(now balancer.Micros, err error) {
	var bad *discovery.MalformedError
	switch {
	case errors.As(err, &bad):
		l.calls.malformed++
	case errors.Is(err, context.DeadlineExceeded):
		l.calls.timedOut++
	default:
		l.calls.failed++
	}
	if errors.Is(err, discovery.ErrOutdated) {
		l.position.After = nil // its changes since another numbering's version mean nothing
	}
	if !l.failing || now-l.lastWarningAt >= failureLogInterval.Microseconds() {
		l.lastWarningAt = now
		l.log.Warn("discovery call failed", "error", err, "list_age_ms", (now-l.lastListAt)/1000)
	}
	l.failing = true
}

// newDiscoveryClient returns the client of the discovery that a configuration names.
func newDiscoveryClient(cfg *config.Config) *discovery.Client {
	c := &cfg.Settings.Contract
	return discovery.NewClient(discovery.Options{Address: cfg.Discovery, Wait: cfg.DiscoveryWait, Dial: cfg.DiscoveryDial,
		Subscribe:    cfg.Settings.SubscribeToDiscovery,
		PollInterval: time.Duration(c.PollInterval) * time.Microsecond,
		DrainGrace:   time.Duration(c.DrainGrace) * time.Microsecond})
}
